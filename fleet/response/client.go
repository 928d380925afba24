package response

import (
	"net/http"

	"github.com/samber/lo"
)

// Checked returns a copy of a client that takes answers with a malformed head for none.
func Checked(c *http.Client) *http.Client {
	checked := *c
	checked.Transport = checkedTransport{lo.CoalesceOrEmpty(c.Transport, http.DefaultTransport)}
	return &checked
}

// checkedTransport fails at answers with a malformed head.
type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
