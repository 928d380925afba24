package quarantine

import (
	"time"

	"github.com/samber/lo"
)

// MaxProbes bounds the probes of a request in one round. The second one is for the case that
// the node with the first probe receives no call of the request, or ends. Both stay within the
// sends that are allowed after the third end.
const MaxProbes = 2

// ProbeAt returns when a quarantined request is due for a probe.
func (t *Tracker) ProbeAt(h Held) time.Time { return h.Since.Add(t.rule.probeAfter(h.Round)) }

// maxUnknownProbes is MaxProbes for a request of which no node knows whether it was answered.
const maxUnknownProbes = 1

// forgetWithin is how long before its quarantine a node must have ended, or started, to have taken
// the knowledge with it that the request was answered: a request that many callers send is
// answered by each node within that time.
const forgetWithin = 15 * time.Second

// WithForgetting sets a function that reports whether a node of the fleet ended, or this one
// started, in a period. It must be called before use.
func (t *Tracker) WithForgetting(forgot func(from, to time.Time) bool) *Tracker {
	t.forgot = forgot
	return t
}

// Probes returns how many probes a request may have in its round: none if it is no longer
// quarantined in it, or an endpoint has ended under it since its first probe was due. A request
// that was never answered is not worth risking another endpoint, nor is one that ended an endpoint
// when it was sent again after its hold expired.
func (t *Tracker) Probes(h Held, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.held[h.Fingerprint]
	switch {
	case known.Tried || known.Round != h.Round || !t.probeOpen(known, now):
		return 0
	case t.answered(known):
		return MaxProbes
	case t.forgot != nil && t.forgot(known.Since.Add(-forgetWithin), known.Since):
		return maxUnknownProbes
	}
	return 0
}

// answered reports whether this node has had an answer to a request, or any node stated that
// endpoints had answered it: with its quarantine, or with an end that the node which quarantined
// it did not know.
func (t *Tracker) answered(h Held) bool {
	return h.Answered || t.wasAnswered(Suspect{Fingerprint: h.Fingerprint, Part: h.Part}) || lo.SomeBy(t.ends, func(e *end) bool { return e.suspects[h.Fingerprint].Answered })
}

// probeOpen reports whether a request is quarantined and no endpoint has ended under it since
// its first probe was due.
func (t *Tracker) probeOpen(h Held, now time.Time) bool {
	due := t.ProbeAt(h)
	return h.inForce(now) && lo.NoneBy(t.ends, func(e *end) bool {
		_, in := e.suspects[h.Fingerprint]
		return in && !e.at.Before(due)
	})
}

// Arm makes the next call of a quarantined request a probe: it is forwarded, to learn whether
// an endpoint survives it. A request that many callers send is running wherever an endpoint
// ends, and while it is quarantined no answer can clear it.
func (t *Tracker) Arm(claimed Held) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.held[claimed.Fingerprint]; ok && h.Round == claimed.Round {
		h.armed, h.Probes = true, claimed.Probes
		t.held[h.Fingerprint] = h
	}
}

// Armed reports whether the next call of a request is a probe.
func (t *Tracker) Armed(p Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.armed(t.held[p], now)
}

// armed returns false if an endpoint has ended since the claim, under another node's probe.
func (t *Tracker) armed(h Held, now time.Time) bool {
	return h.armed && t.probeOpen(h, now)
}

// Probe takes the armed probe for a call. It returns its round and whether there was one; later
// calls are not probes.
func (t *Tracker) Probe(p Fingerprint, now time.Time) (round int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.held[p]
	if !t.armed(h, now) {
		return 0, false
	}
	h.armed = false
	t.held[p] = h
	return h.Round, true
}

// ReturnProbe gives back a probe that reached no endpoint. It has no effect in a later round than
// the one it was claimed for.
func (t *Tracker) ReturnProbe(p Fingerprint, round int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.held[p]; ok && h.Round == round {
		h.armed = true
		t.held[p] = h
	}
}
