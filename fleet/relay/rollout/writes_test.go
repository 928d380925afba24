package rollout

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// evidenceOf returns evidence with the given answers of both versions, spread over cohorts.
func evidenceOf(old, target Count) Evidence {
	r := RouteEvidence{Route: "r"}
	for c := range Cohorts {
		r.Old[c] = Count{old.Answers / Cohorts, old.Bad / Cohorts}
		r.Target[c] = Count{target.Answers / Cohorts, target.Bad / Cohorts}
	}
	return Evidence{Service: "svc", Made: 10, Routes: []RouteEvidence{r}}
}

func statusLearned(s Status, revision store.Revision, age time.Duration) StatusLearned {
	r := Rollout{Order: order("v2", 10), Status: s, Revision: revision, LearnedAt: epoch.Add(-age)}
	return StatusLearned{r, epoch}
}

func (d Decider) after(messages ...Message) (Decider, []Effect) {
	var all []Effect
	for _, m := range messages {
		var effects []Effect
		d, effects = d.Handle(m)
		all = append(all, effects...)
	}
	return d, all
}

func samplingStatus(used time.Duration) Status {
	return Status{State: InProgress, Target: "v2", Made: 10, Share: 0.08, Used: used, Writes: 1}
}

func movingStatus(left time.Duration) Status {
	return Status{State: InProgress, Stage: Moving, Target: "v2", Made: 10, Share: 0.08, Used: 20 * time.Second, Left: left, FullLoad: minFullLoad, Writes: 3}
}

func TestDeciderWrites(t *testing.T) {
	tick := Tick{Now: epoch, Old: 6, Target: 6, Cohorts: 5, Decides: true}
	with := func(change func(*Tick)) Tick {
		changed := tick
		change(&changed)
		return changed
	}
	healthyEvidence := []Message{
		EvidenceUpdated{evidenceOf(Count{}, Count{}), epoch.Add(-10 * time.Second)},
		EvidenceUpdated{evidenceOf(Count{6400, 0}, Count{640, 0}), epoch},
	}
	bad := EvidenceUpdated{evidenceOf(Count{6400, 0}, Count{640, 320}), epoch}
	alone := statusLearned(Status{}, 20, 0)
	alone.Rollout.Made = 10
	for _, c := range []struct {
		name     string
		messages []Message
		want     []State // of the writes
		stage    Stage   // of the last write
	}{
		{"no order", []Message{tick}, nil, 0},
		{"it does not decide", []Message{statusLearned(Status{}, 20, 0), with(func(t *Tick) { t.Decides = false })}, nil, 0},
		{"the target has endpoints", []Message{statusLearned(Status{}, 20, 0), tick}, []State{InProgress}, Sampling},
		{"the target has none yet", []Message{statusLearned(Status{}, 20, 0), with(func(t *Tick) { t.Target = 0 })}, nil, 0},
		{"the target is cold", []Message{statusLearned(Status{}, 20, 0), with(func(t *Tick) { t.Cold = 6 })}, nil, 0},
		{"the target is cold for long", []Message{statusLearned(Status{}, 20, 10*time.Second), with(func(t *Tick) { t.Cold = 6 })}, []State{InProgress}, Sampling},
		{"the target has none by the end", []Message{statusLearned(Status{}, 20, 31*time.Second), with(func(t *Tick) { t.Target = 0 })}, []State{Reverted}, 0},
		{"the store was unavailable until the end", []Message{statusLearned(Status{}, 20, 31*time.Second), tick}, []State{Reverted}, 0},
		{"no old endpoint for a moment", []Message{alone, with(func(t *Tick) { t.Old = 0 })}, nil, 0},
		{"the target is the only one already", []Message{alone, with(func(t *Tick) { t.Old, t.Now = 0, epoch.Add(-minWithoutOld) }), with(func(t *Tick) { t.Old = 0 })}, []State{Completed}, 0},
		{"no endpoints at all by the end", []Message{statusLearned(Status{}, 20, 31*time.Second), with(func(t *Tick) { t.Old, t.Target = 0, 0 })}, []State{Reverted}, 0},
		{"another order's status", []Message{statusLearned(Status{State: Completed, Target: "v1", Made: 5}, 20, 0), tick}, []State{InProgress}, Sampling},
		{"the same version again", []Message{statusLearned(Status{State: Reverted, Target: "v2", Made: 5}, 20, 0), tick}, []State{InProgress}, Sampling},
		{"it ended well", []Message{statusLearned(Status{State: Completed, Target: "v2", Made: 10}, 20, 0), tick}, nil, 0},
		{"it ended badly", []Message{statusLearned(Status{State: Reverted, Target: "v2", Made: 10}, 20, 0), tick, bad}, nil, 0},
		{"calls were counted", append([]Message{statusLearned(samplingStatus(0), 20, 5*time.Second)}, append(healthyEvidence, tick)...), []State{InProgress}, Sampling},
		{"time to move", append([]Message{statusLearned(samplingStatus(20*time.Second), 20, 8*time.Second)}, append(healthyEvidence, tick)...), []State{InProgress}, Moving},
		{"time to move, nothing observed", []Message{statusLearned(samplingStatus(20*time.Second), 20, 8*time.Second), EvidenceUpdated{evidenceOf(Count{6400, 0}, Count{}), epoch}, tick}, nil, 0},
		{"nothing observed by the end", []Message{statusLearned(samplingStatus(20*time.Second), 20, 11*time.Second), EvidenceUpdated{evidenceOf(Count{6400, 0}, Count{}), epoch}, tick}, []State{Reverted}, 0},
		{"nobody calls the service", []Message{statusLearned(samplingStatus(20*time.Second), 20, 8*time.Second), EvidenceUpdated{evidenceOf(Count{}, Count{}), epoch.Add(-10 * time.Second)}, EvidenceUpdated{evidenceOf(Count{}, Count{}), epoch}, tick}, []State{InProgress}, Moving},
		{"calls run at old endpoints", []Message{statusLearned(movingStatus(3*time.Second), 20, 4*time.Second), with(func(t *Tick) { t.OldInFlight = 1 })}, nil, 0},
		{"no calls there for a moment", []Message{statusLearned(movingStatus(3*time.Second), 20, 4*time.Second), tick}, nil, 0},
		{"no calls there", []Message{statusLearned(movingStatus(3*time.Second), 20, 4*time.Second), with(func(t *Tick) { t.Now = epoch.Add(-settleTime) }), tick}, []State{Completed}, 0},
		{"no calls there too early", []Message{statusLearned(movingStatus(5*time.Second), 20, 4*time.Second), with(func(t *Tick) { t.Now = epoch.Add(-settleTime) }), tick}, nil, 0},
		{"a long stream or a silent node at the end", []Message{statusLearned(movingStatus(3*time.Second), 20, 9*time.Second), with(func(t *Tick) { t.OldInFlight = 1 })}, []State{Completed}, 0},
		{"the target is gone while moving", []Message{statusLearned(movingStatus(3*time.Second), 20, 4*time.Second), with(func(t *Tick) { t.Target = 0 })}, nil, 0},
		{"the target is gone by the end", []Message{statusLearned(movingStatus(3*time.Second), 20, 11*time.Second), with(func(t *Tick) { t.Target = 0 })}, []State{Reverted}, 0},
		{"bad while sampling", []Message{statusLearned(samplingStatus(0), 20, time.Second), tick, bad}, []State{Reverted}, 0},
		{"bad while moving", []Message{statusLearned(movingStatus(3*time.Second), 20, time.Second), tick, bad}, []State{Reverted}, 0},
		{"another node found it bad", []Message{statusLearned(samplingStatus(0), 20, time.Second), tick, ReportedBad{Target: "v2", Made: 10, Now: epoch}}, []State{Reverted}, 0},
		{"another order's target found bad", []Message{statusLearned(samplingStatus(0), 20, time.Second), tick, ReportedBad{Target: "v2", Made: 9, Now: epoch}}, nil, 0},
		{"evidence of another order", []Message{statusLearned(samplingStatus(0), 20, time.Second), tick, EvidenceUpdated{Evidence{Service: "svc", Made: 9, Routes: bad.Evidence.Routes}, epoch}}, nil, 0},
		{"deleted halfway", []Message{statusLearned(samplingStatus(0), 20, time.Second), OrderDeleted{}, tick, bad}, nil, 0},
		{"a write waits for its answer", []Message{statusLearned(Status{}, 20, 0), tick, with(func(t *Tick) { t.Now = epoch.Add(time.Second) })}, []State{InProgress}, 0},
		{"a write without an answer", []Message{statusLearned(Status{}, 20, 0), tick, with(func(t *Tick) { t.Now = epoch.Add(writeTimeout) })}, []State{InProgress, InProgress}, 0},
		{"a refused write", []Message{statusLearned(Status{}, 20, 0), tick, WriteRefused{epoch}, with(func(t *Tick) { t.Now = epoch.Add(refusedDelay) })}, []State{InProgress, InProgress}, 0},
		{"a refused write, too soon", []Message{statusLearned(Status{}, 20, 0), tick, WriteRefused{epoch}, with(func(t *Tick) { t.Now = epoch.Add(refusedDelay / 2) })}, []State{InProgress}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, effects := NewDecider(modelRule).after(c.messages...)
			writes := lo.FilterMap(effects, func(e Effect, _ int) (Write, bool) { w, ok := e.(Write); return w, ok })
			assert.Equal(t, c.want, lo.Ternary(len(writes) > 0, lo.Map(writes, func(w Write, _ int) State { return w.Status.State }), nil))
			if len(writes) > 0 {
				last := lo.LastOrEmpty(writes)
				assert.Equal(t, c.stage, last.Status.Stage)
				assert.Equal(t, "v2", last.Status.Target)
				assert.EqualValues(t, 10, last.Status.Made)
				assert.NotEmpty(t, last.Why)
			}
		})
	}
}

func TestInvalidOrdersAreNeverWritten(t *testing.T) {
	for _, o := range []Order{{}, {Service: "svc"}, {Service: "svc", Target: "v2"}, {Service: "svc", Target: "v2", Duration: -1}} {
		_, effects := NewDecider(modelRule).after(StatusLearned{Rollout{Order: o, LearnedAt: epoch}, epoch}, Tick{Now: epoch, Old: 3, Target: 3, Decides: true})
		assert.Empty(t, effects, o)
	}
}

func TestNewDeciderContinuesFromStatus(t *testing.T) {
	d, _ := NewDecider(modelRule).after(statusLearned(samplingStatus(20*time.Second), 20, 3*time.Second))
	assert.Equal(t, 23*time.Second, d.used(epoch), "used when written plus the time since")
	d, _ = d.after(statusLearned(samplingStatus(20*time.Second), 21, 0))
	assert.Equal(t, 23*time.Second, d.used(epoch), "never less than is known")

	found := statusLearned(samplingStatus(10*time.Second), 20, 0)
	found.Rollout.AgeUnknown = true
	d, _ = NewDecider(modelRule).after(found)
	assert.Greater(t, d.used(epoch), 10*time.Second, "some time has passed without any node")
}

func TestNewOrderResetsTheDecider(t *testing.T) {
	bad := EvidenceUpdated{evidenceOf(Count{6400, 0}, Count{640, 320}), epoch}
	d, effects := NewDecider(modelRule).after(statusLearned(samplingStatus(0), 20, time.Second), Tick{Now: epoch, Old: 6, Target: 6, Cohorts: 5, Decides: true}, bad)
	assert.Len(t, effects, 2)
	next := statusLearned(Status{State: Reverted, Target: "v2", Made: 10}, 30, 0)
	next.Rollout.Made, next.Rollout.Target = 25, "v3"
	_, effects = d.after(next, bad, Tick{Now: epoch, Old: 6, Target: 6, Cohorts: 5, Decides: true})
	assert.Len(t, effects, 1)
	write := effects[0].(Write)
	assert.Equal(t, InProgress, write.Status.State)
	assert.Equal(t, []string{"v2"}, write.Status.Barred, "the bad version receives nothing under later orders either")
	assert.EqualValues(t, 30, write.Revision)
}

func TestServicesAreDecidedIndependently(t *testing.T) {
	other := statusLearned(samplingStatus(0), 20, time.Second)
	other.Rollout.Service = "other"
	tick := Tick{Now: epoch, Old: 6, Target: 6, Cohorts: 5, Decides: true}
	_, effects := NewDecider(modelRule).after(other, tick, EvidenceUpdated{evidenceOf(Count{6400, 0}, Count{640, 320}), epoch})
	assert.Empty(t, effects, "evidence of one service does not count for the other")
}

func TestBadTargetIsAnnouncedOnceByEveryJudge(t *testing.T) {
	bad := EvidenceUpdated{evidenceOf(Count{6400, 0}, Count{640, 320}), epoch}
	_, effects := NewDecider(modelRule).after(statusLearned(samplingStatus(0), 20, time.Second), bad, bad)
	assert.Len(t, effects, 1)
	assert.IsType(t, AnnounceBad{}, effects[0])
	assert.Contains(t, effects[0].(AnnounceBad).Why, `target 320 bad of 640`)
}
