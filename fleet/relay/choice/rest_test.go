package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// restFleet simulates nodes and endpoints of which one asks all nodes for rest.
type restFleet struct {
	random   *rand.Rand
	now      time.Time
	engines  []engine.Engine
	pickers  []*Picker
	ends     map[time.Time][]func() // of calls in flight
	running  map[string]int
	resting  time.Time // the first endpoint turns calls away until then
	received []time.Time
}

const (
	restEndpoints = 10
	restPerSecond = 60.0 // calls per endpoint under normal load
	restCallTime  = 40 * time.Millisecond
	restLength    = 3 * time.Second
	restStep      = time.Millisecond
	restInterval  = 200 * time.Millisecond // interval of digests, each sent to a fifth of the nodes
)

func newRestFleet(nodes int, seed uint64) *restFleet {
	w := &restFleet{random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), engines: testEngines(restEndpoints), ends: map[time.Time][]func(){}, running: map[string]int{}}
	for i := range nodes {
		tracker := notice.NewTracker(fmt.Sprint("n", i), notice.Rule{}, func(notice.Change) {})
		tracker.Engines(w.engines, w.now)
		w.pickers = append(w.pickers, NewPicker("z", DefaultTuning()).WithNotices(tracker))
	}
	return w
}

// play advances the simulation.
func (w *restFleet) play(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(restStep) {
		for _, over := range w.ends[w.now] {
			over()
		}
		delete(w.ends, w.now)
		if w.now.UnixNano()%int64(restInterval) == 0 {
			w.sendDigests()
		}
		for due := restEndpoints * restPerSecond * restStep.Seconds(); w.random.Float64() < due; due-- {
			w.arrive()
		}
	}
}

func (w *restFleet) sendDigests() {
	beat := int(w.now.UnixNano() / int64(restInterval))
	for i, from := range w.pickers {
		digests := from.Digests()
		for j, to := range w.pickers {
			if i != j && (j+beat)%5 == 0 {
				to.ReceiveDigests(fmt.Sprint("n", i), digests, w.now)
			}
		}
	}
}

// arrive simulates one call at a random node.
func (w *restFleet) arrive() {
	p := w.pickers[w.random.IntN(len(w.pickers))]
	r := Request{Call: call.Call{ID: fmt.Sprint(w.random.Uint64())}, Engines: w.engines, Profile: Profile{Service: service}, HasMoreAttempts: true, Cap: 50, Now: w.now}
	t, ok := p.Pick(r)
	if !ok {
		return
	}
	id := t.Engine.ID
	if id == w.engines[0].ID {
		w.received = append(w.received, w.now)
		if w.now.Before(w.resting) {
			t.Notice(call.Rest{For: restLength}, w.now)
			reports := p.notices.Updates(false, w.now)
			for _, other := range w.pickers {
				other.notices.Receive("n", reports, w.now)
			}
			t.Close(Rejected, w.now)
			return
		}
	}
	w.running[id]++
	takes := (restCallTime + time.Duration(w.running[id])*restCallTime/8).Round(restStep)
	sent, at := w.now, w.now.Add(takes)
	w.ends[at] = append(w.ends[at], func() {
		w.running[id]--
		t.Accepted(sent)
		t.First(takes, w.now)
		t.Close(Good, w.now)
	})
}

// between counts the calls that reached the first endpoint in a period.
func (w *restFleet) between(from, to time.Time) int {
	n := 0
	for _, at := range w.received {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// After a rest the nodes return without exceeding the normal rate, and after three seconds the
// endpoint is used as before, at any fleet size. The rates are averages over several seeds,
// since the load of a single endpoint varies from second to second.
func TestNodesReturnFromARestGradually(t *testing.T) {
	const seeds = 6
	for _, nodes := range []int{4, 60, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			var counts [9]float64 // calls in each second after the rest
			inRest := 0
			for seed := range seeds {
				w := newRestFleet(nodes, uint64(seed))
				w.play(6 * time.Second)
				began, end := w.now, w.now.Add(restLength)
				w.resting = w.now.Add(500 * time.Millisecond)
				w.play(restLength + time.Duration(len(counts))*time.Second)
				inRest += w.between(began, end)
				for s := range counts {
					counts[s] += float64(w.between(end.Add(time.Duration(s)*time.Second), end.Add(time.Duration(s+1)*time.Second))) / seeds
				}
			}
			t.Logf("%d nodes, %.0f calls a second on average: %.1f in the rest, then %.0f", nodes, restPerSecond, float64(inRest)/seeds, counts)
			assert.LessOrEqual(t, counts[0], 1.2*restPerSecond)
			assert.LessOrEqual(t, counts[1], 1.2*restPerSecond)
			assert.GreaterOrEqual(t, lo.Sum(counts[3:])/float64(len(counts)-3), 0.9*restPerSecond)
		})
	}
}
