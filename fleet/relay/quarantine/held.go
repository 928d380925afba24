package quarantine

import "time"

// Held is a request that is held back, or was.
type Held struct {
	Print    Print
	Round    int  // how many times it was held back; what is said of a later round holds
	Released bool // of this round: an operator let it go, it was served, or the ends are another's
	Stored   bool // the store has it so: a request that is held back outlasts all nodes
	Since    time.Time
	For      time.Duration
	Customer string
	Route    string
	Ends     []string // ids of the endpoints that ended under it, the last ones
	Answered bool     // endpoints had answered it before: it may have been under way by chance where they ended
	Tried    bool     // an endpoint ended under it once its time before was over: that was a send like a probe
	Probes   int      // that nodes claimed in this round, as far as this one knows
	armed    bool     // this node's next call of it is a probe
	Why      string   // it was released
}

// inForce is whether the request is sent to no endpoint.
func (h Held) inForce(now time.Time) bool { return !h.Released && now.Sub(h.Since) < h.For }

// until is when it was let go, or will be.
func (h Held) until() time.Time {
	if h.Released {
		return h.Since
	}
	return h.Since.Add(h.For)
}

// says is whether two words on a request say the same.
func (h Held) says(o Held) bool { return h.Round == o.Round && h.Released == o.Released }

// newer is whether one word on a request holds over another: a later round, and within a
// round its end.
func (h Held) newer(than Held) bool {
	return h.Round > than.Round || h.Round == than.Round && h.Released && !than.Released
}

// holdFor is how long a request is held back in a round.
func (r Rule) holdFor(round int) time.Duration { return r.doubled(r.Hold, round) }

// probeAfter is how long a request is held back in a round until it is probed.
func (r Rule) probeAfter(round int) time.Duration { return r.doubled(r.Probe, round) }

// doubled is a time that doubles with each round after the first, up to the longest hold. It
// stops there: a word may name any round.
func (r Rule) doubled(first time.Duration, round int) time.Duration {
	d := first
	for i := 1; i < round && d < r.MostHold; i++ {
		d = min(2*d, r.MostHold)
	}
	return d
}

// mostNamed is how many of the endpoints that ended are named with a request.
const mostNamed = 8
