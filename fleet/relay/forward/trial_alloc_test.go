package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// thousandEndpoints returns a call of a service that moves between versions, with a thousand endpoints.
func thousandEndpoints() (*job, *Trial, rollout.Call) {
	var all []engine.Engine
	for i := range 1000 {
		all = append(all, engine.Engine{ID: fmt.Sprint("e", i), Service: "s", Version: fmt.Sprint("v", i%2+1), Slots: 16})
	}
	order := rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Made: 7}
	status := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 7, Share: 0.1, RouteShares: []rollout.RouteShare{{Route: "r", Share: 0.1}}}
	set := rollout.Set{}.With("s", rollout.Rollout{Order: order, Status: status, Revision: 9, LearnedAt: time.Now()})
	t := NewTrial(rollout.Split(engine.NewDirectory(1, all).Of("s"), set, "s"), false)
	h := &Handler{Options: Options{Picker: choice.NewPicker("z", choice.DefaultTuning())}}
	j := &job{Handler: h, service: policy.Service{Name: "s", KVCapacity: 1, TokensPerEvent: 10, Slots: 16}, call: call.Call{ID: "c", PromptMax: 1000, OutputMax: 100}, end: time.Now().Add(time.Minute)}
	return j, t, rollout.Call{Route: "r", Hash: 1, Now: time.Now()}
}

// choose does the work that a trial adds to each choice of an endpoint.
func (t *Trial) choose(j *job, c rollout.Call) int {
	c.MaxDuration = j.maxDuration(choice.Request{Profile: profile(j.service), Now: c.Now})
	if t.plan.Side(c) == rollout.New {
		return -len(t.lists.For(&t.plan, c))
	}
	return len(t.lists.For(&t.plan, c))
}

func TestATrialCostsACallNoAllocation(t *testing.T) {
	j, trial, c := thousandEndpoints()
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		c.Hash += 0x9e3779b97f4a7c15
		trial.choose(j, c)
	}))
}

func BenchmarkTrial(b *testing.B) {
	j, trial, c := thousandEndpoints()
	b.ReportAllocs()
	for b.Loop() {
		c.Hash += 0x9e3779b97f4a7c15
		trial.choose(j, c)
	}
}
