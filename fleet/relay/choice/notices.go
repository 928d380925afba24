package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// excludedByRest reports whether a rest that the endpoint asked for excludes it from a choice. A
// rest asked of this node always does; one asked of another node does while other endpoints may
// take the call.
func (p *Picker) excludedByRest(r *Request, e *engine.Engine, level tolerance) bool {
	if p.notices == nil {
		return false
	}
	switch p.notices.Use(e.Incarnation(), r.Now) {
	case notice.Closed:
		return true
	case notice.LastResort:
		return level != allowAll
	case notice.Probe:
		return level != allowAll && !r.HasMoreAttempts
	case notice.Free:
	}
	return false
}

// Resting returns how long callers are to wait when all ready endpoints want no calls from this
// node, and false if one of them may be used. The wait is the whole length of the rest, so that
// callers come back after it in the order and at the rate in which they came.
func (p *Picker) Resting(engines []engine.Engine, now time.Time) (wait time.Duration, all bool) {
	if p.notices == nil {
		return 0, false
	}
	var first time.Time
	for _, e := range engines {
		if e.State == engine.Leaving && now.Before(e.LeavesBy) {
			return 0, false
		}
		if e.State != engine.Ready {
			continue
		}
		until, length, resting := p.notices.Resting(e.Incarnation(), now)
		if !resting {
			return 0, false
		}
		if !all || until.Before(first) {
			first, wait, all = until, length, true
		}
	}
	return wait, all
}

// Resting reports whether the endpoint wants no calls from this node now. It may have asked for
// rest after the choice.
func (t *Placement) Resting(now time.Time) bool {
	if t.picker.notices == nil {
		return false
	}
	_, _, resting := t.picker.notices.Resting(t.Engine.Incarnation(), now)
	return resting
}

// Accepted records that the endpoint accepted a call that was sent at the given time.
func (t *Placement) Accepted(sent time.Time) {
	if t.picker.notices != nil {
		t.picker.notices.Accepted(t.Engine.Incarnation(), sent)
	}
}

// Notice records a notice in an answer of the endpoint to this node.
func (t *Placement) Notice(n call.Notice, now time.Time) {
	switch n := n.(type) {
	case call.Fragile:
		if t.picker.fragile != nil {
			t.picker.fragile.Observe(t.Engine.Service, n.MaxRejections, now)
		}
	case call.Leaving, call.Rest:
		if t.picker.notices != nil {
			t.picker.notices.Observe(t.Engine, n, now)
		}
	}
}
