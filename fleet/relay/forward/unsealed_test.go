package forward_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// unsealed is a script whose answers lack the endpoint's seal.
func unsealed(of script) script {
	return func(f *fleet, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Unsealed", "1")
		of(f, w, r)
	}
}

// Guards against a success that its endpoint has not sealed and that reaches a caller, who then does not call again.
func TestASuccessWithoutItsSealIsAFailure(t *testing.T) {
	tests := []struct {
		name, path string
		first      script
		status     int
		runs       int
	}{
		{"may run again", "/repeat/", unsealed(good("spoiled")), 200, 2},
		{"may run once", "/once/", unsealed(good("spoiled")), 502, 1},
		{"a stream that may be resumed", "/resume/", unsealed(events(0, 3, true)), 200, 2},
		{"a stream that may run once", "/stream/", unsealed(events(0, 3, true)), 502, 1},
		{"without content", "/repeat/", unsealed(status(204, false)), 200, 2},
		{"refused as not run", "/once/", unsealed(status(503, true)), 200, 2},
		{"a failure without a seal is passed on", "/once/", unsealed(status(404, false)), 404, 1},
		{"sealed", "/once/", good("sound"), 200, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			began := false
			f := newFleet(t, 1000)
			turn := func(f *fleet, w http.ResponseWriter, r *http.Request) {
				if !began {
					began = true
					c.first(f, w, r)
					return
				}
				events(0, 3, true)(f, w, r)
			}
			for _, id := range []string{"e0", "e1"} {
				f.engines = append(f.engines, f.startEngine(t, id, turn))
			}
			f.start(t, f.engines)
			got := f.do(t, f.request(t, "POST", c.path, ""))
			assert.Equal(t, c.status, got.status)
			assert.NotContains(t, got.body, "spoiled")
			assert.Len(t, f.received(), c.runs)
			assert.Empty(t, got.header.Get("Unsealed"))
		})
	}
}
