package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// rests is whether a rest that an endpoint asked for leaves it out of a choice. Asked of this
// node it holds whatever else is left; asked of another one, it does while others may
// take the call.
func (p *Picker) rests(r *Request, e *engine.Engine, with care) bool {
	if p.notices == nil {
		return false
	}
	switch p.notices.Use(e.Life(), r.Now) {
	case notice.Closed:
		return true
	case notice.Spare:
		return with != whichever
	case notice.Probe:
		return with != whichever && !r.Elsewhere
	case notice.Free:
	}
	return false
}

// Resting is how long callers are to wait where all ready endpoints want nothing from this node; false
// where one of them may be used. Told to wait for as long as the rest lasts in all, they
// come back after it in the order, and at the rate, in which they came.
func (p *Picker) Resting(among []engine.Engine, now time.Time) (wait time.Duration, all bool) {
	if p.notices == nil {
		return 0, false
	}
	var first time.Time
	for _, e := range among {
		if e.State == engine.Leaving && now.Before(e.LeavesBy) {
			return 0, false
		}
		if e.State != engine.Ready {
			continue
		}
		until, length, resting := p.notices.Resting(e.Life(), now)
		if !resting {
			return 0, false
		}
		if !all || until.Before(first) {
			first, wait, all = until, length, true
		}
	}
	return wait, all
}

// Resting is whether the endpoint wants nothing from this node now: it may have said so since the
// choice.
func (t *Placement) Resting(now time.Time) bool {
	if t.picker.notices == nil {
		return false
	}
	_, _, resting := t.picker.notices.Resting(t.Engine.Life(), now)
	return resting
}

// Took takes in that the endpoint took a call that was sent then.
func (t *Placement) Took(sent time.Time) {
	if t.picker.notices != nil {
		t.picker.notices.Took(t.Engine.Life(), sent)
	}
}

// Notice takes in what the endpoint says in an answer to this node.
func (t *Placement) Notice(n call.Notice, now time.Time) {
	if t.picker.notices != nil {
		t.picker.notices.Saw(t.Engine, n, now)
	}
}
