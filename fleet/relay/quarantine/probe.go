package quarantine

import (
	"time"

	"github.com/samber/lo"
)

// MostProbes is how many probes there are of a request in a round: the second one where the
// node of the first gets no call of it, or ends. They stay within what is allowed to be sent
// after the third end.
const MostProbes = 2

// ProbeAt is when a request that is held back is to be probed.
func (b *Book) ProbeAt(h Held) time.Time { return h.Since.Add(b.rule.probeAfter(h.Round)) }

// MayProbe is whether a request that endpoints had answered before is still held back in a
// round, and no endpoint has ended under it since its first probe was due. One that was never
// answered is not worth an endpoint more, nor is one that ended one when it was sent again at the
// end of its time.
func (b *Book) MayProbe(h Held, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.held[h.Print]
	return b.answered(known) && !known.Tried && known.Round == h.Round && b.probeOpen(known, now)
}

// answered is whether any node told that endpoints had answered a request: with it, or with an
// end that who held it back did not know of.
func (b *Book) answered(h Held) bool {
	return h.Answered || lo.SomeBy(b.ends, func(e *end) bool { return e.suspects[h.Print].Answered })
}

// probeOpen is whether a request is held back, and no endpoint has ended under it since its
// first probe was due.
func (b *Book) probeOpen(h Held, now time.Time) bool {
	due := b.ProbeAt(h)
	return h.inForce(now) && lo.NoneBy(b.ends, func(e *end) bool {
		_, in := e.suspects[h.Print]
		return in && !e.at.Before(due)
	})
}

// Arm has the next call of a request that is held back be a probe: it is sent on, to learn
// whether endpoints bear it. A request that many callers send is under way wherever an
// endpoint ends, and while it is held back no answer clears it.
func (b *Book) Arm(claimed Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h, ok := b.held[claimed.Print]; ok && h.Round == claimed.Round {
		h.armed, h.Probes = true, claimed.Probes
		b.held[h.Print] = h
	}
}

// Armed is whether the next call of a request is a probe.
func (b *Book) Armed(p Print, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.armed(b.held[p], now)
}

// armed is false where an endpoint ended since the claim, under another node's probe.
func (b *Book) armed(h Held, now time.Time) bool {
	return h.armed && b.probeOpen(h, now)
}

// Probe is whether a call is a probe, and of which round; no other one is then.
func (b *Book) Probe(p Print, now time.Time) (round int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[p]
	if !b.armed(h, now) {
		return 0, false
	}
	h.armed = false
	b.held[p] = h
	return h.Round, true
}

// Unsent gives a probe back that reached no endpoint. It was claimed for one round.
func (b *Book) Unsent(p Print, round int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h, ok := b.held[p]; ok && h.Round == round {
		h.armed = true
		b.held[p] = h
	}
}
