package quarantine

import "time"

// Rule says from when on a request is held back, and for how long.
type Rule struct {
	Ends     int           // occasions on which endpoints ended under it
	Apart    time.Duration // ends that lie closer together are one occasion: a loss of power, a cut, a rack
	Memory   time.Duration // how long an end counts
	Hold     time.Duration // how long a request is held back at first; twice as long each further time
	MostHold time.Duration // and at the most
	Doubted  time.Duration // how long a cut call waits for word on whether its endpoint ended
	Probe    time.Duration // after which a request that is held back is probed; twice as long each further time
}

// DefaultRule is the rule in force: the users allow three ends and three sends more. An
// end is believed by a refused connection within some 20 ms, and else by the endpoint's
// entry, which lapses some 2.5 s after a crash. A request that comes every few minutes is
// still told again, and one that the next version of an engine bears is tried once each
// hold's end. A request that was cut by chance is probed once the word on a third end has
// reached all nodes.
func DefaultRule() Rule {
	return Rule{
		Ends: 3, Apart: 200 * time.Millisecond, Memory: 15 * time.Minute,
		Hold: 10 * time.Minute, MostHold: 24 * time.Hour, Doubted: 5 * time.Second, Probe: 5 * time.Second,
	}
}

// Bounds of what is kept and told, so that many ends at once, or callers that send many
// requests, fill neither memory nor links.
const (
	mostEnds     = 256 // that are known; the oldest go first
	mostSuspects = 32  // of one end; calls of which nothing was answered come first
	mostPending  = 64  // endpoints of which it is not known yet whether they ended
	mostNear     = 128 // suspects that are named to those who don't judge
	mostServed   = 512 // suspects that were served since
	mostHeld     = 256 // requests that are held back; the oldest are let go first
)
