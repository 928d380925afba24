package forward

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// paceEvery is after how many events a stream's pace is told: often enough to
// follow what runs at an endpoint, seldom enough to cost nothing.
const paceEvery = 8

// pace is what a stream shows of the endpoint that runs it.
type pace struct {
	placement *choice.Placement
	awake     awake
	sent      time.Time
	last      time.Time     // when the last event came
	first     time.Duration // from the send
	longest   time.Duration // between two events
	since     time.Time     // when the events began that were not told yet
	untold    int
	events    int // since the first pieces came
}

// took is what the stream took until its first event, and between two of the others.
func (p *pace) took() took {
	if !p.awake.still() {
		return took{}
	}
	t := took{whole: p.first, sent: p.sent}
	if p.events > 0 {
		t.gap = p.last.Sub(p.sent.Add(p.first)) / time.Duration(p.events)
	}
	return t
}

// progress is how far the stream has come at its endpoint.
func (p *pace) progress(now time.Time) quarantine.Progress {
	if p.last.IsZero() {
		return quarantine.Nothing
	}
	return quarantine.ProgressOf(now.Sub(p.sent.Add(p.first)))
}

// passed notes that so many events came.
func (p *pace) passed(events int, now time.Time) {
	if events <= 0 {
		return
	}
	if p.last.IsZero() {
		p.first = now.Sub(p.sent)
		if p.awake.teaches(p.sent) {
			p.placement.First(p.first, now)
		}
		p.last, p.since = now, now
		return
	}
	p.longest = max(p.longest, now.Sub(p.last))
	p.last = now
	p.untold += events
	p.events += events
	if p.untold >= paceEvery {
		if !p.awake.teaches(p.since) {
			p.since, p.untold = now, 0
			return
		}
		p.placement.Events(now.Sub(p.since)/time.Duration(p.untold), now)
		p.since, p.untold = now, 0
	}
}
