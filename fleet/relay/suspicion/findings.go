package suspicion

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// findings are the recent failures at an endpoint, as far as they count for this node.
type findings struct {
	reporters   []Reporter      // latest first
	senders     map[string]bool // nodes whose messages contained them, including this one
	interrupted int             // reporters with interrupted calls
	last        time.Time
}

// sufficient reports whether an endpoint is to be avoided. At least two nodes must have observed
// the failures, and at least two must have sent them: a node that names several others counts as
// one sender.
func (f findings) sufficient(r Rule, nodes int) bool {
	if len(f.senders) < r.MinReporters {
		return false
	}
	minReporters := min(int(math.Ceil(r.ZoneShare*float64(nodes))), r.MaxReporters)
	return f.interrupted >= r.MinReporters || len(f.reporters) >= max(minReporters, r.MinReporters)
}

// findings collects the failures after a time.
func (t *Tracker) findings(e engine.Engine, from, now time.Time) findings {
	f := findings{senders: map[string]bool{}}
	if s, ok := t.ownSuspicion(e.Incarnation(), now); ok && s.at.After(from) && !t.ownLinkFails(e, now) {
		f.add(t.self, s.at, s.outcome == Interrupted, now)
		f.senders[t.self] = true
	}
	for reporter, v := range t.received[e.Incarnation()] {
		if !v.last.After(from) || !t.fleet.isRelevant(t.zone, reporter, e) || t.fleet.exceedsLinkShare(t.suspectedBy(reporter, now), e, t.rule.LinkShare) {
			continue
		}
		f.add(reporter, v.last, v.interrupted, now)
		for sender, at := range v.senders {
			if at.After(from) {
				f.senders[sender] = true
			}
		}
	}
	slices.SortFunc(f.reporters, byAge)
	return f
}

// byAge orders reporters by their latest failure, newest first.
func byAge(a, b Reporter) int {
	return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Node, b.Node))
}

func (f *findings) add(node string, at time.Time, interrupted bool, now time.Time) {
	f.reporters = append(f.reporters, Reporter{Node: node, AgeMs: now.Sub(at).Milliseconds(), Interrupted: interrupted})
	if interrupted {
		f.interrupted++
	}
	if at.After(f.last) {
		f.last = at
	}
}

// ownSuspicion returns the last failure of this node's calls at an endpoint, if enough of its
// recent calls failed.
func (t *Tracker) ownSuspicion(incarnation engine.Incarnation, now time.Time) (result, bool) {
	calls, failures, last := t.own[incarnation].since(now.Add(-t.rule.Window))
	return last, failures > 0 && float64(failures) >= t.rule.FailureShare*float64(calls)
}

// ownLinkFails reports whether this node suspects so many endpoints that its own link has
// probably failed.
func (t *Tracker) ownLinkFails(e engine.Engine, now time.Time) bool {
	var suspected []engine.Engine
	for incarnation := range t.own {
		if _, ok := t.ownSuspicion(incarnation, now); ok {
			suspected = append(suspected, t.fleet.engines[incarnation])
		}
	}
	return t.fleet.exceedsLinkShare(suspected, e, t.rule.LinkShare)
}

// suspectedBy returns the endpoints at which a node observed failures lately.
func (t *Tracker) suspectedBy(reporter string, now time.Time) []engine.Engine {
	var suspected []engine.Engine
	for incarnation, of := range t.received {
		if v, ok := of[reporter]; ok && now.Sub(v.last) < t.rule.Window {
			suspected = append(suspected, t.fleet.engines[incarnation])
		}
	}
	return suspected
}
