package backend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/holder"
)

const (
	oneChunk  = "data: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}\n\n"
	lastChunk = "data: {\"id\":\"r\",\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n"
	endMarker = "data: [DONE]\n\n"
)

// read serves an answer to the client and returns the chunks, usage and error that it yields.
func read(t testing.TB, status int, header http.Header, body string) (chunks int, usage *holder.Usage, err error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	c := backend.NewClient(server.Client(), noop.NewTracerProvider().Tracer(""))
	stream, err := c.Start(context.Background(), holder.Attempt{Number: 1, Endpoint: "e", URL: server.URL}, "r", "c", backend.Completion{})
	if err != nil {
		return 0, nil, err
	}
	for chunk, err := range stream.Chunks() {
		if err != nil {
			return chunks, usage, err
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		if !chunk.Done {
			chunks++
		}
	}
	return chunks, usage, nil
}

func TestStreamErrors(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header http.Header
		body   string
		want   error
	}{
		{"complete", 200, nil, oneChunk + lastChunk + endMarker, nil},
		{"no end marker", 200, nil, oneChunk + lastChunk, backend.ErrTruncated},
		{"half an event", 200, nil, oneChunk + "data: {\"id\"", backend.ErrTruncated},
		{"cancelled at the engine", 200, nil, "data: {\"choices\":[{\"finish_reason\":\"cancelled\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n" + endMarker, backend.ErrTruncated},
		{"invalid JSON", 200, nil, "data: <html>\n\n", backend.ErrMalformed},
		{"negative tokens", 200, nil, "data: {\"usage\":{\"prompt_tokens\":-3,\"completion_tokens\":1}}\n\n", backend.ErrMalformed},
		{"another request's answer", 200, http.Header{backend.HeaderRequest: {"other"}}, oneChunk + lastChunk + endMarker, backend.ErrWrongAttempt},
		{"another attempt's answer", 200, http.Header{backend.HeaderAttempt: {"7"}}, oneChunk + lastChunk + endMarker, backend.ErrWrongAttempt},
		{"unavailable", 503, nil, "", backend.ErrNotStarted},
		{"bad request", 400, nil, "bad", backend.ErrRejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			chunks, usage, err := read(t, c.status, c.header, c.body)
			if c.want != nil {
				assert.True(t, errors.Is(err, c.want), "%v", err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, 2, chunks)
			assert.Equal(t, &holder.Usage{Prompt: 3, Output: 1}, usage)
		})
	}
}

func TestRefusedConnectionIsNotStarted(t *testing.T) {
	c := backend.NewClient(http.DefaultClient, noop.NewTracerProvider().Tracer(""))
	_, err := c.Start(context.Background(), holder.Attempt{Endpoint: "e", URL: "http://127.0.0.1:1"}, "r", "c", backend.Completion{})
	assert.True(t, errors.Is(err, backend.ErrNotStarted), "%v", err)
}

func FuzzStream(f *testing.F) {
	f.Add(oneChunk + lastChunk + endMarker)
	f.Add("data: {\"usage\":{}}\n\n" + endMarker)
	f.Add("id: 7\nevent: x\ndata\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		_, usage, err := read(t, 200, nil, body)
		if err == nil && usage != nil && (usage.Prompt < 0 || usage.Output < 0) {
			t.Fatal("negative tokens passed")
		}
	})
}
