package entry

import (
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"

	"github.com/lynxshed/lynxshed/fleet/problem"
)

// Describe adds the callers' paths to the OpenAPI document. They are not served by huma
// because they stream.
func Describe(doc *huma.OpenAPI) {
	operations := []struct {
		method, path, id, summary string
		success                   int
	}{
		{http.MethodPost, "/v1/chat/completions", "chat", "A chat completion in the OpenAI form, whole or as server-sent events", http.StatusOK},
		{http.MethodGet, "/v1/models", "models", "The models that callers may name", http.StatusOK},
		{http.MethodGet, "/v1/services/{service}/{path}", "service-get", "A call of a plain service; any method may be used", http.StatusOK},
		{http.MethodPost, "/v1/services/{service}/{path}", "service-post", "A call of a plain service; any method may be used", http.StatusOK},
		{http.MethodGet, "/v1/requests/{id}", "request", "State and bill of a request", http.StatusOK},
		{http.MethodGet, "/v1/requests/{id}/stream", "request-stream", "The answer again from Last-Event-ID on", http.StatusOK},
		{http.MethodDelete, "/v1/requests/{id}", "request-cancel", "Cancels a request; what ran is billed", http.StatusOK},
	}
	for _, o := range operations {
		doc.AddOperation(&huma.Operation{
			OperationID: o.id, Method: o.method, Path: o.path, Summary: o.summary,
			Responses: map[string]*huma.Response{
				strconv.Itoa(o.success): {Description: "the answer"},
				"default":               {Description: "a refusal, as " + problem.ContentType},
			},
		})
	}
}
