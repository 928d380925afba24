// Package call is one relayed call as a value, and the wire that an adapter
// speaks towards callers and endpoints.
package call

import (
	"net/http"
	"time"
)

// Part is a piece of a prompt that calls may share, in the prompt's order.
type Part struct {
	ID     string
	Tokens int64
}

// Call is what the head of a call says.
type Call struct {
	ID          string
	Key         string        // of the tenant; "" is none
	Deadline    time.Duration // how long the caller waits from the arrival; 0 is not said
	PromptMax   int64         // tokens of the prompt
	OutputMax   int64         // tokens generated at most
	Parts       []Part
	LastEventID string // where a caller takes a stream up again
}

// Shared are the parts that other calls may share: the last one is the call's or
// its session's own.
func (c Call) Shared() []Part {
	if len(c.Parts) == 0 {
		return nil
	}
	return c.Parts[:len(c.Parts)-1]
}

// Cost is the most tokens that the call can be charged.
func (c Call) Cost() int64 { return c.PromptMax + c.OutputMax }

// Send is what the relay adds for one attempt.
type Send struct {
	Tenant      string
	Instance    string        // the endpoint meant
	Left        time.Duration // until the deadline
	Priority    int
	LastEventID string
	FetchFrom   string // address of an endpoint from which it takes the parts of the prompt that it lacks; "" is none
}

// Load is what an endpoint tells of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Limit is how many calls a second an endpoint in need says that it takes from all nodes
// together.
type Limit struct {
	PerSecond float64 // where it is named: 0 or more
	Said      Said
}

// Said is what an answer says of a limit.
type Said int

// What an answer may say.
const (
	NoLimit    Said = iota // the endpoint has none
	Named                  // it has one
	Unreadable             // something that is no rate: nothing follows
)

// Verdict is what the head of an endpoint's answer says about the attempt.
type Verdict struct {
	CallID      string // as the endpoint repeats it; "" where it does not
	NotExecuted bool   // a promise that the call did not run there
	Moved       bool   // another endpoint has the address
	Sealed      bool   // the answer is the endpoint's own word
	Load        Load
	HasLoad     bool
	Limit       Limit
	Notices     []Notice
	Keeps       time.Duration // for which the endpoint keeps the connection while it rests; 0: it does not say
}

// Wire translates heads. It is filled by an adapter.
type Wire interface {
	// Parse reads the head of a caller's call; an error is the caller's fault.
	Parse(r *http.Request) (Call, error)
	// Prepare returns the headers of an attempt, from the caller's own.
	Prepare(from http.Header, c Call, s Send) http.Header
	// Judge reads the head of an endpoint's answer.
	Judge(resp *http.Response) Verdict
	// Answer copies the headers of an endpoint's answer for the caller.
	Answer(to http.Header, resp *http.Response)
	// Refuse marks a refusal of the relay's own.
	Refuse(to http.Header, c Call)
}
