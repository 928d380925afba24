package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// strategy is a strategy to identify the harmful request.
type strategy interface {
	interrupt(e int, incarnation int64, under []Suspect, now time.Time)
	served(p Fingerprint, now time.Time)
	holds(p Fingerprint, now time.Time) bool
}

// countStrategy quarantines every request that was present at three ends.
type countStrategy map[Fingerprint]int

func (c countStrategy) interrupt(_ int, _ int64, under []Suspect, _ time.Time) {
	for _, s := range under {
		c[s.Fingerprint]++
	}
}
func (c countStrategy) served(Fingerprint, time.Time)         {}
func (c countStrategy) holds(p Fingerprint, _ time.Time) bool { return c[p] >= DefaultRule().Ends }

// resetStrategy counts likewise but resets the count of a request that was served.
type resetStrategy struct{ countStrategy }

func (c resetStrategy) served(p Fingerprint, _ time.Time) { delete(c.countStrategy, p) }

// trackerStrategy uses a Tracker.
type trackerStrategy struct{ *node }

func (j trackerStrategy) interrupt(e int, incarnation int64, under []Suspect, now time.Time) {
	of := endpointOf(e, incarnation)
	j.Engines(append(endpointsOf(e, incarnation), of), now)
	for _, s := range under {
		j.Interrupted(of, s, now)
	}
	j.Ended(of.Incarnation(), now)
}
func (j trackerStrategy) served(p Fingerprint, now time.Time)     { j.Served(p, now) }
func (j trackerStrategy) holds(p Fingerprint, now time.Time) bool { return j.IsQuarantined(p, now) }

// simulation models a service of ten endpoints, some of which end, and callers that retry
// interrupted calls.
type simulation struct {
	deadly  time.Duration // interval between sends of the deadly request; 0: none
	crash   time.Duration // interval between ends not caused by a request; 0: none
	at      int           // endpoints that end at once in each crash
	retries int           // retries of a caller
	popular float64       // share of calls with the same popular request
	seed    uint64
}

// running is one call at an endpoint.
type running struct {
	name    string
	from    time.Time
	until   time.Time
	retries int
}

// result is the outcome of a simulation.
type result struct {
	wrong int // harmless requests that were quarantined
	late  int // sends of the deadly request after the third end
}

const (
	modelStep      = 10 * time.Millisecond
	modelFor       = 30 * time.Second
	modelEndpoints = 10
	modelCalls     = 0.6 // per step: 60 a second
	modelDown      = 1500 * time.Millisecond
)

// modelFirst is the time to the first bytes of an answer.
const modelFirst = 150 * time.Millisecond

func progressOf(ran time.Duration) Progress {
	if ran < modelFirst {
		return Nothing
	}
	return ProgressOf(ran - modelFirst)
}

func (m simulation) run(w strategy) result {
	random := rand.New(rand.NewPCG(m.seed, 1))
	at := make([][]running, modelEndpoints)
	down, incarnation := make([]time.Time, modelEndpoints), make([]int64, modelEndpoints)
	var waiting []running
	held := map[string]bool{}
	var f result
	ends, calls := 0, 0
	end := func(e int, now time.Time) {
		under := lo.Map(at[e], func(c running, _ int) Suspect {
			return Suspect{Fingerprint: fingerprintOf(c.name), Progress: progressOf(now.Sub(c.from)), Customer: "customer"}
		})
		incarnation[e]++
		down[e] = now.Add(modelDown)
		w.interrupt(e, incarnation[e], under, now)
		for _, c := range at[e] {
			if c.retries > 0 {
				waiting = append(waiting, running{name: c.name, from: c.from, until: c.until, retries: c.retries - 1})
			}
		}
		at[e] = nil
	}
	place := func(c running, now time.Time) {
		e := random.IntN(modelEndpoints)
		switch {
		case w.holds(fingerprintOf(c.name), now):
			held[c.name] = true
			return
		case now.Before(down[e]):
			return
		}
		length := c.until.Sub(c.from)
		c.from, c.until = now, now.Add(length)
		at[e] = append(at[e], c)
		if c.name == "deadly" {
			if ends++; ends > DefaultRule().Ends {
				f.late++
			}
			end(e, now)
		}
	}
	for now := noon; now.Before(noon.Add(modelFor)); now = now.Add(modelStep) {
		again := waiting
		waiting = nil
		for _, c := range again {
			place(c, now)
		}
		if random.Float64() < modelCalls {
			calls++
			name := fmt.Sprint("call", calls)
			if random.Float64() < m.popular {
				name = "popular"
			}
			place(running{name: name, from: now, until: now.Add(time.Duration(200+random.ExpFloat64()*1200) * time.Millisecond), retries: m.retries}, now)
		}
		if m.deadly > 0 && now.Sub(noon)%m.deadly == 0 {
			place(running{name: "deadly", from: now, until: now}, now)
		}
		if m.crash > 0 && now.Sub(noon)%m.crash == 0 {
			for range m.at {
				end(random.IntN(modelEndpoints), now)
			}
		}
		for e := range at {
			at[e] = lo.Filter(at[e], func(c running, _ int) bool {
				if now.Before(c.until) {
					return true
				}
				w.served(fingerprintOf(c.name), now)
				return false
			})
		}
	}
	delete(held, "deadly")
	f.wrong = len(held)
	return f
}

// Compares strategies by how many harmless requests they quarantine and how often the deadly one
// is sent after the third end. A plain count quarantines popular requests and those of callers
// that retry.
func TestStrategiesToFindTheDeadlyRequest(t *testing.T) {
	const seeds = 20
	simulations := []struct {
		name string
		of   simulation
	}{
		{"a deadly request, callers retry once", simulation{deadly: 800 * time.Millisecond, retries: 1}},
		{"a deadly request, callers retry ten times", simulation{deadly: 800 * time.Millisecond, retries: 10}},
		{"a deadly request beside a popular one", simulation{deadly: 500 * time.Millisecond, retries: 3, popular: 0.3}},
		{"endpoints end by themselves, callers retry ten times", simulation{crash: 700 * time.Millisecond, at: 1, retries: 10}},
		{"half of the endpoints end at once, beside a popular request", simulation{crash: 3 * time.Second, at: 5, retries: 10, popular: 0.3}},
	}
	strategies := []struct {
		name string
		make func() strategy
	}{
		{"a plain count", func() strategy { return countStrategy{} }},
		{"a count reset by an answer", func() strategy { return resetStrategy{countStrategy{}} }},
		{"ends attributed to requests present at most", func() strategy { return trackerStrategy{newNode(Peer)} }},
	}
	for _, p := range simulations {
		for _, w := range strategies {
			var sum result
			for seed := range seeds {
				p.of.seed = uint64(seed)
				f := p.of.run(w.make())
				sum.wrong += f.wrong
				sum.late += f.late
			}
			t.Logf("%s: %s: %d quarantined wrongly, %d sends after the third end, in %d runs", p.name, w.name, sum.wrong, sum.late, seeds)
			if w.name == strategies[2].name {
				assert.LessOrEqual(t, sum.wrong, seeds/4, p.name)
				assert.LessOrEqual(t, sum.late, seeds, p.name)
			}
		}
	}
}
