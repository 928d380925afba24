// Package problem defines the refusals that callers and operators receive, in the format of
// RFC 9457 (application/problem+json).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Outcome states whether the refused request ran.
type Outcome string

// The outcomes. NotRun guarantees that no endpoint started the request.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Problem is a refusal; it implements error.
type Problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail,omitempty"`
	Reason    Reason        `json:"reason"`
	Outcome   Outcome       `json:"outcome"`
	RequestID ident.Request `json:"requestId,omitempty"`
	Step      string        `json:"step,omitempty"`
	Peer      string        `json:"peer,omitempty"`
	// RetryAfterSeconds is the time until a retry may succeed; 0 if waiting does not help.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// New returns a refusal for a documented reason, with the outcome not-run.
func New(r Reason, detail string) *Problem {
	d := Describe(r)
	return &Problem{
		Type:              "urn:lynxshed:reason:" + string(r),
		Title:             d.Title,
		Status:            d.Status,
		Detail:            detail,
		Reason:            r,
		Outcome:           NotRun,
		RetryAfterSeconds: d.RetryAfterSeconds,
	}
}

// Error returns the reason, the step, the peer and the detail in one line.
func (p *Problem) Error() string {
	text := string(p.Reason)
	if p.Step != "" {
		text += " at " + p.Step
	}
	if p.Peer != "" {
		text += " with " + p.Peer
	}
	return text + ": " + p.Detail
}

// WithOutcome returns the problem with another outcome.
func (p Problem) WithOutcome(o Outcome) *Problem {
	p.Outcome = o
	return &p
}

// WithRequest returns the problem with the id of the refused request.
func (p Problem) WithRequest(id ident.Request) *Problem {
	p.RequestID = id
	return &p
}

// At returns the problem with the step and the peer at which it occurred.
func (p Problem) At(step, peer string) *Problem {
	p.Step, p.Peer = step, peer
	return &p
}

// WithRetryAfter returns the problem with the time until a retry may succeed, rounded up to
// seconds.
func (p Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterSeconds = max(1, int(math.Ceil(d.Seconds())))
	return &p
}

// Write writes the problem as the response.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	if p.RequestID != "" {
		w.Header().Set("Lynxshed-Request-Id", string(p.RequestID))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
