// Package call defines the heads of relayed calls and of their answers, and the interface of the
// adapter that translates them from and to HTTP headers.
package call

import (
	"net/http"
	"time"
)

// Part is a piece of a prompt that calls may share.
type Part struct {
	ID     string
	Tokens int64
}

// Call is the head of a call.
type Call struct {
	ID          string
	Key         string        // API key of the tenant; "": none
	Deadline    time.Duration // how long the caller waits from the call's arrival; 0: not stated
	PromptMax   int64         // maximum tokens of the prompt
	OutputMax   int64         // maximum generated tokens
	Parts       []Part        // in the prompt's order
	LastEventID string        // last event that a caller received of a stream that it resumes
	Resumes     string        // id of the call that brought the first event of that stream; "": not stated
}

// Shared returns the parts that other calls may share: all but the last, which belongs to the call or
// its session.
func (c Call) Shared() []Part {
	if len(c.Parts) == 0 {
		return nil
	}
	return c.Parts[:len(c.Parts)-1]
}

// StreamID returns the id of the call that began the stream: the one that the caller resumes, or this one.
func (c Call) StreamID() string {
	if c.LastEventID != "" && c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// Cost returns the maximum number of tokens that the call can be charged.
func (c Call) Cost() int64 { return c.PromptMax + c.OutputMax }

// AttemptHead is what the relay adds to the head of an attempt.
type AttemptHead struct {
	Tenant      string
	EndpointID  string        // id of the intended endpoint
	Remaining   time.Duration // until the deadline
	Priority    int
	LastEventID string
	FetchFrom   string // address of an endpoint from which to fetch missing prompt parts; "": none
}

// Load is the load that an endpoint reports in an answer, in calls.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Limit is the rate limit that an endpoint under pressure sets in its answers, for the calls of all
// nodes together.
type Limit struct {
	PerSecond float64 // calls; valid if Kind is ValidLimit, not negative
	Kind      LimitKind
}

// LimitKind describes whether an answer contains a limit.
type LimitKind int

// Kinds of limits in an answer.
const (
	NoLimit      LimitKind = iota // the answer contains no limit
	ValidLimit                    // the answer contains a limit
	InvalidLimit                  // the limit is not a rate and is ignored
)

// AnswerHead is the parsed head of an endpoint's answer.
type AnswerHead struct {
	CallID      string // echoed by the endpoint; "" if it does not
	NotExecuted bool   // the endpoint guarantees that the call did not run there
	Moved       bool   // the address now belongs to another endpoint
	Sealed      bool   // the answer comes from the endpoint itself
	Load        Load
	HasLoad     bool
	Limit       Limit
	Notices     []Notice
	IdleTimeout time.Duration // how long the endpoint keeps the connection open while idle; 0: not stated
}

// Wire translates heads from and to HTTP headers. An adapter implements it.
type Wire interface {
	// Parse reads the head of a call; an error means that the head is invalid.
	Parse(r *http.Request) (Call, error)
	// Prepare returns the headers of an attempt, based on the caller's.
	Prepare(from http.Header, c Call, s AttemptHead) http.Header
	// Expect adds the header by which any other endpoint rejects a request with 421.
	Expect(to http.Header, endpointID string)
	// ParseAnswer reads the head of an endpoint's answer.
	ParseAnswer(resp *http.Response) AnswerHead
	// Answer copies the headers of an endpoint's answer for the caller.
	Answer(to http.Header, resp *http.Response)
	// Refuse adds the headers of a refusal by the relay itself.
	Refuse(to http.Header, c Call)
	// IdentityPath is the path at which an endpoint that generates tokens tells of itself.
	IdentityPath() string
	// ParseIdentity reads from that answer when the endpoint's incarnation started, in Unix milliseconds; 0
	// if its software does not tell.
	ParseIdentity(body []byte) (born int64, err error)
}
