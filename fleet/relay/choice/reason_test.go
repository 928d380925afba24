package choice

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// Each endpoint that may not get a call is counted under its reason.
func TestLeftOutCountsReasons(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name  string
		setup func(p *Picker, r *Request)
		want  string
	}{
		{"all may get calls", func(*Picker, *Request) {}, "2 usable"},
		{"none is known", func(_ *Picker, r *Request) { r.Engines = nil }, "no endpoint is known"},
		{"one drains, one leaves and no longer serves", func(_ *Picker, r *Request) {
			r.Engines[0].State = engine.Draining
			r.Engines[1].State, r.Engines[1].LeavesBy = engine.Leaving, now
		}, "2 ending"},
		{"one leaves and still serves", func(_ *Picker, r *Request) {
			r.Engines[1].State, r.Engines[1].LeavesBy = engine.Leaving, now.Add(time.Second)
		}, "2 usable"},
		{"a zone is evacuated", func(_ *Picker, r *Request) { r.Engines[0].State = engine.Evacuated }, "1 usable, 1 emptied"},
		{"the call was already there", func(_ *Picker, r *Request) { r.Exclude = map[engine.Incarnation]bool{r.Engines[0].Incarnation(): true} }, "1 usable, 1 tried"},
		{"another one has its address", func(p *Picker, r *Request) {
			t, _ := p.Pick(*r)
			t.Close(Gone, now)
		}, "1 usable, 1 replaced"},
		{"the maximum of calls in flight", func(p *Picker, r *Request) { p.Pick(*r); r.Cap = 1 }, "1 usable, 1 busy"},
		{"it asked for rest", func(p *Picker, r *Request) { p.notices.Observe(r.Engines[0], call.Rest{For: time.Second}, now) }, "1 usable, 1 resting"},
		{"it names a limit, and this node has no share", func(p *Picker, r *Request) { p.limits.Named(r.Engines[0].Incarnation(), 1, now) }, "1 usable, 1 bounded"},
		{"it failed lately: it is used last", func(p *Picker, r *Request) {
			t, _ := p.Pick(*r)
			t.Close(Bad, now)
		}, "2 usable"},
	}
	for _, c := range cases {
		engines := testEngines(2)
		limits := limit.NewTracker(limit.Rule{Overrun: 1.5, Tolerance: 5, Window: 4 * time.Second}, func(limit.Change) {})
		limits.Engines(engines)
		p := NewPicker("z", DefaultTuning()).WithNotices(notice.NewTracker("n", notice.Rule{}, func(notice.Change) {})).WithLimits(limits)
		r := Request{Call: call.Call{ID: "c"}, Engines: engines, Profile: Profile{Service: service}, Cap: 9, Now: now}
		c.setup(p, &r)
		assert.Equal(t, c.want, fmt.Sprint(p.LeftOut(r)), c.name)
	}
}
