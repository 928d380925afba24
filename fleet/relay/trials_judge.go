package relay

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Intervals of judging open orders and of writing their statuses.
const (
	judgeInterval      = 200 * time.Millisecond // as often as nodes send their evidence
	statusTimeout      = 2 * time.Second        // of one store call
	statusBackoff      = 300 * time.Millisecond // after a failed write; doubles with each further failure
	maxStatusBackoff   = 1200 * time.Millisecond
	storeFailurePeriod = 2 * time.Second        // for which a node counts as out of reach of the store after a failed write, so that another node tries
	stallThreshold     = 500 * time.Millisecond // beyond judgeInterval, after which a process counts as stalled: it knows only old answers
	stallSettleTime    = 400 * time.Millisecond // for which a stalled node collects reports of others before it decides
	startSettleTime    = time.Second            // for which a node that found a status under way collects reports of others before it decides
	watchLogInterval   = time.Second            // between two log lines on an open order, at the delegate that decides
)

// run judges the open orders while this node is a delegate, until ctx ends.
func (t *trials) run(ctx context.Context) {
	every(ctx, judgeInterval, func() { t.tick(ctx, clock.Now()) })
}

// pendingEffect is an effect of a decider that is to be carried out.
type pendingEffect struct {
	trial  *trial
	effect rollout.Effect
	inputs log.Fields // for the log
}

func (t *trials) tick(ctx context.Context, now time.Time) {
	if !t.anyOpen() {
		t.mu.Lock()
		t.lastTick = time.Time{}
		t.mu.Unlock()
		return
	}
	stalled := t.stalled(now) // on each tick, also while another node decides
	judges := t.fleet.Writes()
	decides := judges && t.fleet.FirstDelegate() && !stalled
	for _, a := range t.judge(judges, decides, now) {
		switch e := a.effect.(type) {
		case rollout.AnnounceBad:
			t.log.WithFields(a.inputs).WithField("why", e.Why).Warn("target version judged bad")
			t.markBad(e, t.settings.Node)
			t.fleet.AnnounceBad(e)
		case rollout.Write:
			go t.write(ctx, a.trial, e, a.inputs, now)
		}
	}
}

// stalled reports whether this process stalled until recently. Reports that were sent meanwhile
// wait in its sockets, and a decision would rely on older answers.
func (t *trials) stalled(now time.Time) bool {
	t.mu.Lock()
	late := now.Sub(t.lastTick) - judgeInterval
	first := t.lastTick.IsZero()
	if !first && late >= stallThreshold {
		t.receivesUntil = now.Add(stallSettleTime)
		t.recentStalls = append(t.recentStalls[max(len(t.recentStalls)-maxStalls+1, 0):], span{t.lastTick, t.receivesUntil})
	}
	t.lastTick = now
	collecting := now.Before(t.receivesUntil)
	t.mu.Unlock()
	if !first && late >= stallThreshold {
		t.log.WithField("ms", late.Milliseconds()).Warn("process stalled: rollouts are decided after reports of other nodes arrived")
	}
	return collecting
}

// judge passes the evidence on each open order to its decider.
func (t *trials) judge(judges, decides bool, now time.Time) []pendingEffect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []pendingEffect
	for _, service := range t.services() {
		o := t.open[service]
		t.recordMetrics(o)
		if !judges {
			o.judgedRevision = 0
			continue
		}
		all = append(all, t.judgeTrial(o, decides, now)...)
	}
	return all
}

func (t *trials) judgeTrial(o *trial, decides bool, now time.Time) []pendingEffect {
	decides = decides && o.mayDecide(now)
	if o.judgedRevision == 0 || o.elapsedUnknown && !o.rollout.AgeUnknown {
		o.decider, o.judgedRevision, o.elapsedUnknown = rollout.NewDecider(t.settings.Rollout.Rule()), 0, o.rollout.AgeUnknown
	}
	var effects []rollout.Effect
	handle := func(m rollout.Message) {
		next, more := o.decider.Handle(m)
		o.decider, effects = next, append(effects, more...)
	}
	if o.judgedRevision < o.rollout.Revision {
		o.judgedRevision = o.rollout.Revision
		handle(rollout.StatusLearned{Rollout: o.rollout, Now: now})
	}
	o.zoneEvidence.Record(t.incarnation, o.recorder.Evidence())
	o.fleetEvidence.Record(t.settings.Zone, o.zoneEvidence.Sum())
	evidence := o.fleetEvidence.Sum()
	sum := o.sum(t.ownReport(o, now), now, func(string) bool { return true })
	handle(rollout.EvidenceUpdated{Evidence: evidence, Now: now}) // first: decisions need the newest answers
	handle(rollout.Tick{Now: now, Old: o.counts.old, Target: o.counts.target, Cohorts: o.counts.cohorts, Cold: o.counts.cold(now), OldInFlight: sum.old, MaxRemaining: sum.longest, Decides: decides})
	if o.bad {
		handle(rollout.ReportedBad{Target: o.rollout.Target, Made: o.rollout.Made, Why: t.badReason(o), Now: now})
	}
	inputs := lo.Assign(rolloutFields(o.rollout), log.Fields{
		"object": o.name, "oldEndpoints": o.counts.old, "targetEndpoints": o.counts.target, "oldInFlight": sum.old, "lastsMs": sum.longest.Milliseconds(),
		"evidence": evidenceFields(evidence), "judged": o.decider.Judge().Why(), "decides": decides,
	})
	if decides && now.Sub(o.lastLogged) >= watchLogInterval {
		o.lastLogged = now
		t.log.WithFields(inputs).Info("rollout watched")
	}
	return lo.FilterMap(effects, func(e rollout.Effect, _ int) (pendingEffect, bool) {
		return pendingEffect{o, e, inputs}, o.admits(e, now)
	})
}

// mayDecide reports whether this node has collected reports of others on an order that was under
// way when it started.
func (o *trial) mayDecide(now time.Time) bool {
	return !o.rollout.AgeUnknown || now.Sub(o.learnedAt) >= startSettleTime
}

// admits reports whether an effect is carried out now. Each order has at most one write in
// progress, and the decider requests a rejected one again. A warning never waits, and a revert
// waits only while writes fail.
func (o *trial) admits(e rollout.Effect, now time.Time) bool {
	w, write := e.(rollout.Write)
	if !write {
		return true
	}
	if o.writing && (w.Status.State != rollout.Reverted || o.backoff > 0) {
		o.decider, _ = o.decider.Handle(rollout.WriteRefused{Now: now})
		return false
	}
	o.writing = true
	return true
}

// cold returns how many endpoints of the target are in their cold start.
func (e endpointCounts) cold(now time.Time) int {
	return lo.CountBy(e.coldUntil, func(until time.Time) bool { return now.Before(until) })
}

func (t *trials) badReason(o *trial) string {
	w, _ := lo.Find(t.bad, o.matches)
	return w.Why
}

// evidenceFields returns by route the answers and bad answers of the old version, then those of
// the target.
func evidenceFields(e rollout.Evidence) map[string][4]int {
	return lo.SliceToMap(e.Routes, func(r rollout.RouteEvidence) (string, [4]int) {
		old, target := r.Old.Sum(), r.Target.Sum()
		return r.Route, [4]int{old.Answers, old.Bad, target.Answers, target.Bad}
	})
}

// write writes a status and passes the resulting object to the decider. If the answer is lost, the
// object is read again: a status is absolute, so writing it twice changes nothing.
func (t *trials) write(ctx context.Context, o *trial, w rollout.Write, inputs log.Fields, began time.Time) {
	entry := t.log.WithFields(inputs).WithField("toState", w.Status.State.String()).WithField("toStage", w.Status.Stage.String()).
		WithField("toShare", w.Status.Share).WithField("toLeftMs", w.Status.Left.Milliseconds()).WithField("atMs", w.Status.Used.Milliseconds()).WithField("why", w.Why)
	if t.superseded(o, w, began) {
		entry.Info("status of a rollout not written: the version was found bad meanwhile, or the process stalled")
		return
	}
	after, err := t.put(ctx, o.name, w)
	now := clock.Now()
	if err != nil {
		entry.WithError(err).Warn("status of a rollout not written")
		t.writeFailed(o, now)
		return
	}
	r, err := t.adapter.Rollout(after, now)
	if err != nil {
		entry.WithError(err).Warn("written status of a rollout is unreadable")
		t.writeFailed(o, now)
		return
	}
	written := r.Status.Equal(w.Status)
	if written {
		r.LearnedAt = began
	}
	entry.WithField("written", written).WithField("at", after.Revision.Number()).WithField("atEra", after.Revision.Era()).WithField("ms", now.Sub(began).Milliseconds()).Info("status of a rollout written")
	t.writeDone(o, r, now)
}

// superseded reports whether a write that lets the target get calls is out of date: since it was
// requested, another node found the target bad, or this process stalled and has not yet received
// what others observed. The decider learns of the new evidence on its next tick.
func (t *trials) superseded(o *trial, w rollout.Write, requested time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stalled := clock.Since(requested) >= stallThreshold
	if w.Status.State == rollout.Reverted || !o.bad && !stalled {
		return false
	}
	o.writing = false
	o.decider, _ = o.decider.Handle(rollout.WriteRefused{Now: clock.Now()})
	return true
}

// put writes a status, and reads the object if the outcome of the write is unknown.
func (t *trials) put(ctx context.Context, name string, w rollout.Write) (store.Object, error) {
	data, err := t.adapter.RolloutStatus(w.Status)
	if err != nil {
		return store.Object{}, err
	}
	kind := t.adapter.RolloutKind()
	bounded, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	after, err := t.store.PutStatus(bounded, store.Object{Kind: kind, Name: name, Revision: w.Revision, Status: data})
	switch {
	case err == nil, errors.Is(err, store.ErrConflict) && after.Revision > 0:
		return after, nil
	case errors.Is(err, store.ErrRefused):
		return after, err
	}
	t.log.WithField("object", name).WithField("revision", w.Revision.Number()).WithError(err).Info("outcome of a status write unknown: rollout read again")
	again, cancelAgain := context.WithTimeout(ctx, statusTimeout)
	defer cancelAgain()
	return t.store.Get(again, kind, name)
}

// writeFailed records a failed write: the next one is delayed, and another delegate may write
// earlier.
func (t *trials) writeFailed(o *trial, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.decider, _ = o.decider.Handle(rollout.WriteRefused{Now: now})
	t.storeFailedUntil = now.Add(storeFailurePeriod)
	o.backoff = min(max(2*o.backoff, statusBackoff), maxStatusBackoff)
	time.AfterFunc(store.Jittered(o.backoff), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		o.writing = false
	})
}

// writeDone adopts the object as the store holds it after a write.
func (t *trials) writeDone(o *trial, r rollout.Rollout, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.writing, o.backoff, t.storeFailedUntil = false, 0, time.Time{}
	o.decider, _ = o.decider.Handle(rollout.StatusLearned{Rollout: r, Now: now})
	o.judgedRevision = max(o.judgedRevision, r.Revision)
}

// recordMetrics records the evidence of this node on an order.
func (t *trials) recordMetrics(o *trial) {
	for route, n := range evidenceFields(o.recorder.Evidence()) {
		t.metrics.RolloutAnswers(o.rollout.Service, route, "old", n[0], n[1])
		t.metrics.RolloutAnswers(o.rollout.Service, route, "target", n[2], n[3])
	}
}
