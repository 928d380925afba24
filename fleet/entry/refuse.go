package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// The headers of calls and answers.
const (
	headerRequest  = "Lynxshed-Request-Id"
	headerBudget   = "Lynxshed-Budget"
	headerAttempt  = "Lynxshed-Attempt"
	headerDeadline = "Lynxshed-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerLastID   = "Last-Event-ID"
)

const (
	maxKeyBytes  = 256
	maxAttempt   = 1000
	maxDeadline  = time.Hour
	bearerPrefix = "Bearer "
)

// headers holds the values of a call's headers.
type headers struct {
	customer      catalog.Customer
	budget        string
	key           string
	attemptNumber int
	deadline      time.Duration // 0 if not given
}

// readHeaders authenticates the caller and parses the headers.
func (e *Entry) readHeaders(r *http.Request) (headers, *problem.Problem) {
	customer, refusal := e.authenticate(r)
	if refusal != nil {
		return headers{}, refusal
	}
	h := headers{customer: customer, budget: r.Header.Get(headerBudget), key: r.Header.Get(headerKey)}
	if len(h.key) > maxKeyBytes || !utf8.ValidString(h.key) {
		return h, badHeader(headerKey, "at most 256 bytes of UTF-8")
	}
	number, refusal := intHeader(r, headerAttempt, maxAttempt)
	if refusal != nil {
		return h, refusal
	}
	deadline, refusal := intHeader(r, headerDeadline, maxDeadline.Milliseconds())
	if refusal != nil {
		return h, refusal
	}
	h.attemptNumber, h.deadline = int(number), time.Duration(deadline)*time.Millisecond
	return h, nil
}

func intHeader(r *http.Request, name string, limit int64) (int64, *problem.Problem) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > limit {
		return 0, badHeader(name, "a whole number from 1 to "+strconv.FormatInt(limit, 10))
	}
	return n, nil
}

func badHeader(name, rule string) *problem.Problem {
	return problem.New(problem.BadHeader, "header "+name+": want "+rule)
}

func (e *Entry) authenticate(r *http.Request) (catalog.Customer, *problem.Problem) {
	c := e.Catalog()
	if c.Revision == 0 {
		return catalog.Customer{}, problem.New(problem.NotConfigured, "no revision of the table has reached this node").At(string(event.Authenticate), string(e.Self.Node))
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return catalog.Customer{}, problem.New(problem.BadKey, "header Authorization: want Bearer KEY").At(string(event.Authenticate), string(e.Self.Node))
	}
	customer, ok := c.Customer(key)
	if !ok {
		return catalog.Customer{}, problem.New(problem.BadKey, "the key names no customer").At(string(event.Authenticate), string(e.Self.Node))
	}
	return customer, nil
}

// withRequestID sets a request id on every answer. A request that runs replaces it by its own.
func (e *Entry) withRequestID(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequest, string(ident.NewRequest(e.Self.Zone, 0, e.NewSerial())))
		next(w, r)
	}
}

// refuse answers with a problem and counts it.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, p *problem.Problem) {
	if p.RequestID == "" {
		p = p.WithRequest(ident.Request(w.Header().Get(headerRequest)))
	}
	e.Metrics.Refused(r.Context(), string(p.Reason))
	p.Write(w)
}
