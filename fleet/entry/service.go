package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// plainCall is a validated call of a plain service.
type plainCall struct {
	headers
	service    catalog.Service
	call       backend.Call
	repeatable bool
	hash       string
}

// timeout returns how long the call may run.
func (c plainCall) timeout() time.Duration { return min(c.service.Timeout, plainTimeout) }

func (e *Entry) readPlain(w http.ResponseWriter, r *http.Request, m *callMemory) (plainCall, *problem.Problem) {
	h, refusal := e.readHeaders(r)
	if refusal != nil {
		return plainCall{}, refusal
	}
	service, ok := e.Catalog().Service(ident.Service(r.PathValue("service")))
	if !ok || service.Model {
		return plainCall{}, problem.New(problem.UnknownService, "there is no plain service "+quote(r.PathValue("service")))
	}
	body, refusal := e.readBody(w, r, h, m)
	if refusal != nil {
		return plainCall{}, refusal
	}
	path := "/" + r.PathValue("path")
	call := plainCall{
		headers:    h,
		service:    service,
		repeatable: service.MayRepeat(r.Method),
		hash:       hashCall(strings.Join([]string{r.Method, string(service.Name), path, r.URL.RawQuery}, "\x00"), body),
		call: backend.Call{
			Method: r.Method, Path: path, Query: r.URL.RawQuery, Body: body,
			ContentType: r.Header.Get("Content-Type"), Customer: h.customer.Name,
		},
	}
	return call, nil
}
