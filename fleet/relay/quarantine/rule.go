package quarantine

import "time"

// Rule defines when a request is quarantined, and for how long.
type Rule struct {
	Ends           int           // occasions on which endpoints ended under the request
	PartEnds       int           // the same for a part of prompts, which several requests hold
	AnsweredEnds   int           // the same for a part that was answered before: nearly all of a customer's requests may hold it
	Apart          time.Duration // ends closer together are one occasion: a power loss, a partition, a rack
	Memory         time.Duration // how long an end counts
	Hold           time.Duration // length of the first quarantine; doubles each further time
	MaxHold        time.Duration // upper bound of Hold
	ConfirmTimeout time.Duration // how long an interrupted call waits for confirmation that its endpoint ended
	Probe          time.Duration // delay until a quarantined request is probed; doubles each further time
}

// DefaultRule returns the rule in force. The requirements allow three ends and three further
// sends. An end is confirmed by a refused connection within some 20 ms, or else by the
// endpoint's entry, which lapses some 2.5 s after a crash. Memory is long enough to recognize a
// request that comes every few minutes. A request that the next version of an engine can serve
// is tried once after each hold. For parts the requirements allow five ends. A request that was interrupted by chance is probed after the
// report of a third end has reached all nodes.
func DefaultRule() Rule {
	return Rule{
		Ends: 3, PartEnds: 4, AnsweredEnds: 5, Apart: 200 * time.Millisecond, Memory: 15 * time.Minute,
		Hold: 10 * time.Minute, MaxHold: 24 * time.Hour, ConfirmTimeout: 5 * time.Second, Probe: 5 * time.Second,
	}
}

// Bounds of what is kept and sent, so that neither many ends at once nor callers that send many
// requests fill memory or links.
const (
	maxEnds     = 256 // known ends; the oldest are dropped first
	maxSuspects = 64  // per end, requests and parts; those with the least progress take precedence
	maxPending  = 64  // endpoints that may have ended
	maxNear     = 128 // suspects announced to nodes that do not judge
	maxServed   = 512 // served suspects
	maxHeld     = 256 // quarantined requests; the oldest are dropped first
)
