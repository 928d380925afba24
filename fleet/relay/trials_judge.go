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

// How open orders are judged, and statuses written.
const (
	judgeEvery    = 200 * time.Millisecond // as often as nodes tell what they saw
	statusTimeout = 2 * time.Second        // of one call to the store
	statusBackoff = 300 * time.Millisecond // after a write that failed; twice as long after each more
	statusSlowest = 1200 * time.Millisecond
	failsFor      = 2 * time.Second        // that a node counts as one that does not reach the store after a write that failed, so that another one tries
	heldUp        = 500 * time.Millisecond // beyond judgeEvery, after which a process stood still and knows only old answers
	hearsFor      = 400 * time.Millisecond // that it hears others then before it decides anything
	learnsFor     = time.Second            // that a node which found a status under way hears what others saw before it decides anything
	watchedEvery  = time.Second            // between two log lines on an open order, at the delegate that decides
)

// run judges the open orders while this node is a delegate, until ctx ends.
func (t *trials) run(ctx context.Context) {
	every(ctx, judgeEvery, func() { t.tick(ctx, clock.Now()) })
}

// asked is an effect of a trial's decider that is to be carried out.
type asked struct {
	trial  *trial
	effect rollout.Effect
	inputs log.Fields // for the log
}

func (t *trials) tick(ctx context.Context, now time.Time) {
	if !t.anyOpen() {
		t.mu.Lock()
		t.ticked = time.Time{}
		t.mu.Unlock()
		return
	}
	stoodStill := t.stoodStill(now) // at each look, also while another node decides
	judges := t.fleet.Writes()
	decides := judges && t.fleet.FirstDelegate() && !stoodStill
	for _, a := range t.judge(judges, decides, now) {
		switch e := a.effect.(type) {
		case rollout.Warn:
			t.log.WithFields(a.inputs).WithField("why", e.Why).Warn("version judged bad")
			t.warned(e, t.settings.Node)
			t.fleet.TellBad(e)
		case rollout.Write:
			go t.write(ctx, a.trial, e, a.inputs, now)
		}
	}
}

// stoodStill is whether this process was held up until a moment ago: what others told
// meanwhile waits in its sockets, and what it decides would go by answers before that.
func (t *trials) stoodStill(now time.Time) bool {
	t.mu.Lock()
	late := now.Sub(t.ticked) - judgeEvery
	first := t.ticked.IsZero()
	if !first && late >= heldUp {
		t.hears = now.Add(hearsFor)
		t.stood = append(t.stood[max(len(t.stood)-mostStood+1, 0):], span{t.ticked, t.hears})
	}
	t.ticked = now
	hears := now.Before(t.hears)
	t.mu.Unlock()
	if !first && late >= heldUp {
		t.log.WithField("ms", late.Milliseconds()).Warn("the process stood still: roll-outs are decided once others were heard")
	}
	return hears
}

// judge hands what is known of each open order to its decider.
func (t *trials) judge(judges, decides bool, now time.Time) []asked {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []asked
	for _, service := range t.services() {
		o := t.open[service]
		t.measureTrial(o)
		if !judges {
			o.judged = 0
			continue
		}
		all = append(all, t.judgeOne(o, decides, now)...)
	}
	return all
}

func (t *trials) judgeOne(o *trial, decides bool, now time.Time) []asked {
	decides = decides && o.mayDecide(now)
	if o.judged == 0 || o.guessed && !o.rollout.Found {
		o.decider, o.judged, o.guessed = rollout.NewDecider(t.settings.Rollout.Rule()), 0, o.rollout.Found
	}
	var effects []rollout.Effect
	hand := func(m rollout.Message) {
		next, more := o.decider.Handle(m)
		o.decider, effects = next, append(effects, more...)
	}
	if o.judged < o.rollout.Revision {
		o.judged = o.rollout.Revision
		hand(rollout.Learned{Rollout: o.rollout, Now: now})
	}
	o.near.Take(t.life, o.recorder.Evidence())
	o.all.Take(t.settings.Zone, o.near.Sum())
	evidence := o.all.Sum()
	sum := o.sum(t.own(o, now), now, func(string) bool { return true })
	hand(rollout.Told{Evidence: evidence, Now: now}) // first: what is decided counts on the newest answers
	hand(rollout.Tick{Now: now, Old: o.counts.old, Target: o.counts.target, Cohorts: o.counts.cohorts, Cold: o.counts.cold(now), OldInFlight: sum.old, Lasts: sum.lasts, Decides: decides})
	if o.bad {
		hand(rollout.Heard{Target: o.rollout.Target, Made: o.rollout.Made, Why: t.whyBad(o), Now: now})
	}
	inputs := lo.Assign(rolloutFields(o.rollout), log.Fields{
		"object": o.name, "oldEndpoints": o.counts.old, "targetEndpoints": o.counts.target, "oldInFlight": sum.old, "lastsMs": sum.lasts.Milliseconds(),
		"evidence": evidenceFields(evidence), "judged": o.decider.Judge().Why(), "decides": decides,
	})
	if decides && now.Sub(o.logged) >= watchedEvery {
		o.logged = now
		t.log.WithFields(inputs).Info("rollout watched")
	}
	return lo.FilterMap(effects, func(e rollout.Effect, _ int) (asked, bool) { return asked{o, e, inputs}, o.takes(e, now) })
}

// mayDecide is whether this node has heard what others saw, of an order that was under
// way when it came.
func (o *trial) mayDecide(now time.Time) bool {
	return !o.rollout.Found || now.Sub(o.opened) >= learnsFor
}

// takes is whether an effect is carried out now: one write of an order is under way at
// most, and the decider asks for another one again; that a target is bad waits for none.
func (o *trial) takes(e rollout.Effect, now time.Time) bool {
	w, write := e.(rollout.Write)
	if !write {
		return true
	}
	if o.writing && (w.Status.State != rollout.Reverted || o.backoff > 0) {
		o.decider, _ = o.decider.Handle(rollout.Refused{Now: now})
		return false
	}
	o.writing = true
	return true
}

// cold is how many endpoints of the target are slow from their start now.
func (e endpoints) cold(now time.Time) int {
	return lo.CountBy(e.coldUntil, func(until time.Time) bool { return now.Before(until) })
}

func (t *trials) whyBad(o *trial) string {
	w, _ := lo.Find(t.bad, o.isAbout)
	return w.Why
}

// evidenceFields are answers and bad ones by route, of the old version and the target.
func evidenceFields(e rollout.Evidence) map[string][4]int {
	return lo.SliceToMap(e.Routes, func(r rollout.RouteEvidence) (string, [4]int) {
		old, target := r.Old.Sum(), r.Target.Sum()
		return r.Route, [4]int{old.Answers, old.Bad, target.Answers, target.Bad}
	})
}

// write writes a status, and hands what the store holds then to the decider. Where the
// answer is lost the object is read again: a status is absolute, so that writing it
// twice changes nothing.
func (t *trials) write(ctx context.Context, o *trial, w rollout.Write, inputs log.Fields, began time.Time) {
	entry := t.log.WithFields(inputs).WithField("toState", w.Status.State.String()).WithField("toStage", w.Status.Stage.String()).
		WithField("toShare", w.Status.Share).WithField("toLeftMs", w.Status.Left.Milliseconds()).WithField("atMs", w.Status.Used.Milliseconds()).WithField("why", w.Why)
	if t.overtaken(o, w, began) {
		entry.Info("status of a rollout not written: the version was found bad meanwhile, or the process stood still")
		return
	}
	after, err := t.put(ctx, o.name, w)
	now := clock.Now()
	if err != nil {
		entry.WithError(err).Warn("status of a rollout not written")
		t.refused(o, now)
		return
	}
	r, err := t.adapter.Rollout(after, now)
	if err != nil {
		entry.WithError(err).Warn("status of a rollout not understood")
		t.refused(o, now)
		return
	}
	written := r.Status.Equal(w.Status)
	if written {
		r.Learned = began
	}
	entry.WithField("written", written).WithField("at", after.Revision.Number()).WithField("atEra", after.Revision.Era()).WithField("ms", now.Sub(began).Milliseconds()).Info("status of a rollout written")
	t.wrote(o, r, now)
}

// overtaken is whether, since a write was asked for that lets the target get calls, another
// node found it bad or this process stood still, so that what others found is not heard
// yet. The decider is told so at its next tick.
func (t *trials) overtaken(o *trial, w rollout.Write, asked time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stoodStill := clock.Since(asked) >= heldUp
	if w.Status.State == rollout.Reverted || !o.bad && !stoodStill {
		return false
	}
	o.writing = false
	o.decider, _ = o.decider.Handle(rollout.Refused{Now: clock.Now()})
	return true
}

// put makes the write, and reads the object where it is not known what came of it.
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
	t.log.WithField("object", name).WithField("revision", w.Revision.Number()).WithError(err).Info("status of a rollout read again")
	again, cancelAgain := context.WithTimeout(ctx, statusTimeout)
	defer cancelAgain()
	return t.store.Get(again, kind, name)
}

// refused notes a write that brought nothing: the next one waits, and another delegate
// may be sooner.
func (t *trials) refused(o *trial, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.decider, _ = o.decider.Handle(rollout.Refused{Now: now})
	t.fail = now.Add(failsFor)
	o.backoff = min(max(2*o.backoff, statusBackoff), statusSlowest)
	time.AfterFunc(store.Jittered(o.backoff), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		o.writing = false
	})
}

// wrote takes in the object as the store holds it after a write.
func (t *trials) wrote(o *trial, r rollout.Rollout, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.writing, o.backoff, t.fail = false, 0, time.Time{}
	o.decider, _ = o.decider.Handle(rollout.Learned{Rollout: r, Now: now})
	o.judged = max(o.judged, r.Revision)
}

// measureTrial records where an order stands here.
func (t *trials) measureTrial(o *trial) {
	for route, n := range evidenceFields(o.recorder.Evidence()) {
		t.metrics.RolloutAnswers(o.rollout.Service, route, "old", n[0], n[1])
		t.metrics.RolloutAnswers(o.rollout.Service, route, "target", n[2], n[3])
	}
}
