package rollout

import (
	"fmt"
	"time"

	"github.com/samber/lo"
)

// round delivers the nodes' evidence to the decider and ticks it.
func (p *play) round() {
	if p.stalled(0) {
		return
	}
	for i := range p.nodes {
		n := &p.nodes[i]
		if p.now < n.upAt || p.partitioned(n.zone) || p.unreachable(i) {
			continue
		}
		p.gathered.Record(fmt.Sprintf("%d.%d", i, n.incarnation), n.recorder.Evidence())
	}
	p.inFlightHistory = append(p.inFlightHistory, p.inFlight)
	sum, at := p.gathered.Sum(), p.time()
	queued := p.evidenceQueue
	p.evidenceQueue = []func(){func() { p.handle(EvidenceUpdated{sum, at}) }}
	for _, handle := range queued {
		handle()
	}
	if p.windows != nil && p.windows.bad(sum, p.now) {
		p.handle(ReportedBad{Target: "v2", Made: made, Why: "by windows", Now: at})
		p.announceBad()
	}
	maximum := time.Duration(0)
	for _, r := range p.service.routes {
		maximum = max(maximum, r.maximum)
	}
	p.handle(Tick{Now: p.time(), Old: p.service.old, Target: p.targets, Cohorts: p.cohorts, Cold: lo.Ternary(p.now < p.cold, p.targets, 0), OldInFlight: p.inFlightHistory[max(len(p.inFlightHistory)-2, 0)], MaxRemaining: maximum, Decides: !p.listening()})
}

func (p *play) handle(m Message) {
	var effects []Effect
	p.decider, effects = p.decider.Handle(m)
	for _, e := range effects {
		switch e := e.(type) {
		case Write:
			if p.early && e.Status.State == InProgress && e.Status.Writes > 1 {
				e.Status.Stage, e.Status.Left, e.Status.FullLoad = Moving, 6*time.Second, minFullLoad
			}
			p.write(e)
		case AnnounceBad:
			p.announceBad()
		}
	}
}

// announceBad notifies each node after a drawn delay that the target is bad.
func (p *play) announceBad() {
	for i := range p.nodes {
		if n := &p.nodes[i]; n.badAt == 0 {
			n.badAt = p.now + time.Duration(p.rand.Float64()*float64(maxSendDelay))
		}
	}
}

// write stores a status after a drawn delay, or refuses it.
func (p *play) write(w Write) {
	p.out.writes++
	takes := 20*time.Millisecond + time.Duration(p.rand.Float64()*float64(80*time.Millisecond))
	if p.storeSlow.holds(p.now) {
		takes = time.Duration(within(p.rand, 0.3, 1.2) * float64(time.Second))
	}
	done := p.now + takes
	var wait func()
	wait = func() {
		switch {
		case p.now < done:
			p.pendingWrites = append(p.pendingWrites, wait)
		case p.storeUnavailable.holds(p.now) || w.Revision != p.revision:
			p.handle(WriteRefused{p.time()})
		default:
			p.stored(w)
		}
	}
	p.pendingWrites = append(p.pendingWrites, wait)
}

func (p *play) stored(w Write) {
	p.revision++
	p.out.stored++
	p.status = w.Status
	p.out.endedAt, p.out.why = p.now, w.Why
	if w.Status.Stage == Moving && p.out.moved == 0 && w.Status.State == InProgress {
		p.out.moved = p.now
	}
	if w.Status.State == Completed {
		p.out.interrupted = p.inFlight
	}
	for i := range p.nodes {
		at := p.now + time.Duration(p.rand.Float64()*float64(maxStatusDelay))
		p.nodes[i].updates = append(p.nodes[i].updates, statusUpdate{at: at, status: w.Status, rev: p.revision})
	}
	p.statusWritten(StatusLearned{p.rollout(p.status, p.revision, false), p.time()})
}
