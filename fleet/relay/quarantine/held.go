package quarantine

import "time"

// Held is a request, or a part of prompts, that is or was quarantined.
type Held struct {
	Fingerprint Fingerprint
	Part        string // name of the part; "": a whole request
	Round       int    // how many times it was quarantined; a later round supersedes earlier ones
	Released    bool   // in this round: by an operator, an answer, or ends attributed to another request
	Stored      bool   // the store holds this state, so that a quarantine outlasts all nodes
	Since       time.Time
	For         time.Duration
	Customer    string
	Route       string
	Ends        []string // ids of the last endpoints that ended under it
	Answered    bool     // endpoints had answered it before, so it may have run by chance where they ended
	Tried       bool     // an endpoint ended under it after its previous hold expired; that send served as a probe
	Probes      int      // claimed by nodes in this round, as far as this node knows
	armed       bool     // this node's next call of it is a probe
	Why         string   // reason for the release
}

// inForce reports whether the request is quarantined now.
func (h Held) inForce(now time.Time) bool { return !h.Released && now.Sub(h.Since) < h.For }

// holdEnd returns the end of the hold. A released request has none: it returns its start.
func (h Held) holdEnd() time.Time {
	if h.Released {
		return h.Since
	}
	return h.Since.Add(h.For)
}

// sameState reports whether two reports on a request agree.
func (h Held) sameState(o Held) bool { return h.Round == o.Round && h.Released == o.Released }

// supersedes reports whether h supersedes another report on the request: a later round does, and
// within a round its release.
func (h Held) supersedes(than Held) bool {
	return h.Round > than.Round || h.Round == than.Round && h.Released && !than.Released
}

// holdFor returns how long a request is quarantined in a round.
func (r Rule) holdFor(round int) time.Duration { return r.doubled(r.Hold, round) }

// probeAfter returns how long a request is quarantined in a round before it is probed.
func (r Rule) probeAfter(round int) time.Duration { return r.doubled(r.Probe, round) }

// doubled returns a duration that doubles with each round after the first, up to the longest
// hold. The loop ends there, since a report may name any round.
func (r Rule) doubled(first time.Duration, round int) time.Duration {
	d := first
	for i := 1; i < round && d < r.MaxHold; i++ {
		d = min(2*d, r.MaxHold)
	}
	return d
}

// maxNamedEnds bounds the ids of ended endpoints kept with a request.
const maxNamedEnds = 8
