package notice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/announce"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// leaving is the state of a notice that an endpoint leaves. The zero value means there was none.
type leaving struct {
	since    time.Time // when this node learned of it
	observed time.Time // latest answer to any node with the notice
	own      bool      // an answer to this node had it
	by       string    // the node that reported it
	due      announce.Schedule
}

// answered records the notice of an answer to this node. It returns true if it did not hold
// before.
func (l *leaving) answered(now time.Time) (began bool) {
	began = !l.holds(now)
	if began {
		l.since = now
		l.due.MarkUpdated(now)
	}
	l.own, l.observed = true, now
	return began
}

// received records another node's report. It returns true if the notice did not hold before.
func (l *leaving) received(from string, observed, now time.Time) (began bool) {
	if !observed.After(l.observed) {
		return false
	}
	began = !l.holds(now)
	l.observed = observed
	if began {
		l.since, l.by = now, from
		l.due.MarkUpdated(now)
	}
	return began
}

// holds reports whether the endpoint is considered to be leaving. An answer to this node is
// final: no later answer revokes it, and the store may be older. Another node's report, which
// may be wrong, counts only for a while.
func (l *leaving) holds(now time.Time) bool {
	return l.own || !l.observed.IsZero() && now.Sub(l.observed) < ReportLifetime
}

func (l *leaving) list(one Listed, now time.Time) Listed {
	one.Notice, one.SinceMs = "leaving", now.Sub(l.since).Milliseconds()
	if !l.own {
		one.From, one.LeftMs = l.by, (ReportLifetime - now.Sub(l.observed)).Milliseconds()
	}
	return one
}

// Leaves reports whether an endpoint is about to end, and until when it may get calls that no
// other endpoint may take.
func (t *Tracker) Leaves(incarnation engine.Incarnation, now time.Time) (until time.Time, leaves bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.find(incarnation)
	if !ok || !k.leaving.holds(now) {
		return time.Time{}, false
	}
	return k.leaving.since.Add(t.rule.Serves), true
}
