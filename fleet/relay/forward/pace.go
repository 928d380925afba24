package forward

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// paceEvery is the number of events after which a stream's pace is reported: often enough to
// follow the load of an endpoint, rarely enough that the cost is negligible.
const paceEvery = 8

// pace measures the events of a stream as evidence on the endpoint that runs it.
type pace struct {
	placement  *choice.Placement
	stalls     stallCheck
	sent       time.Time
	last       time.Time     // arrival of the last event
	first      time.Duration // from the send to the first event
	longest    time.Duration // longest pause between events
	since      time.Time     // start of the events not yet reported
	unreported int
	events     int // after the first read that brought any
}

// timing returns the time until the first event and the average gap between later events.
func (p *pace) timing() timing {
	if !p.stalls.noSuspension() {
		return timing{}
	}
	t := timing{whole: p.first, sent: p.sent}
	if p.events > 0 {
		t.gap = p.last.Sub(p.sent.Add(p.first)) / time.Duration(p.events)
	}
	return t
}

// progress returns how far the stream has come at its endpoint.
func (p *pace) progress(now time.Time) quarantine.Progress {
	if p.last.IsZero() {
		return quarantine.Nothing
	}
	return quarantine.ProgressOf(now.Sub(p.sent.Add(p.first)))
}

// observe records the arrival of a number of events.
func (p *pace) observe(events int, now time.Time) {
	if events <= 0 {
		return
	}
	if p.last.IsZero() {
		p.first = now.Sub(p.sent)
		if p.stalls.usable(p.sent) {
			p.placement.First(p.first, now)
		}
		p.last, p.since = now, now
		return
	}
	p.longest = max(p.longest, now.Sub(p.last))
	p.last = now
	p.unreported += events
	p.events += events
	if p.unreported >= paceEvery {
		if !p.stalls.usable(p.since) {
			p.since, p.unreported = now, 0
			return
		}
		p.placement.Events(now.Sub(p.since)/time.Duration(p.unreported), now)
		p.since, p.unreported = now, 0
	}
}
