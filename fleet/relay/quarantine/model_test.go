package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// way is how the request is found.
type way interface {
	cut(e int, life int64, under []Suspect, now time.Time)
	served(p Print, now time.Time)
	holds(p Print, now time.Time) bool
}

// counted holds back whatever was in three ends, as a plain count would.
type counted map[Print]int

func (c counted) cut(_ int, _ int64, under []Suspect, _ time.Time) {
	for _, s := range under {
		c[s.Print]++
	}
}
func (c counted) served(Print, time.Time)         {}
func (c counted) holds(p Print, _ time.Time) bool { return c[p] >= DefaultRule().Ends }

// cleared counts likewise, and forgets what was served.
type cleared struct{ counted }

func (c cleared) served(p Print, _ time.Time) { delete(c.counted, p) }

// judged is the book.
type judged struct{ *node }

func (j judged) cut(e int, life int64, under []Suspect, now time.Time) {
	of := endpointOf(e, life)
	j.Engines(append(endpointsOf(e, life), of), now)
	for _, s := range under {
		j.Cut(of, s, now)
	}
	j.Ended(of.Life(), now)
}
func (j judged) served(p Print, now time.Time)     { j.Served(p, now) }
func (j judged) holds(p Print, now time.Time) bool { return j.Holds(p, now) }

// play is a service of ten endpoints, some of which end, and callers that come again
// when their calls are cut.
type play struct {
	deadly  time.Duration // between two sends of the deadly request; 0: there is none
	crash   time.Duration // between two ends without a cause in a request; 0: there are none
	at      int           // endpoints that end at once then
	returns int           // times that a caller comes again
	popular float64       // share of calls that ask for the same as others
	seed    uint64
}

// running is one call at an endpoint.
type running struct {
	name  string
	from  time.Time
	until time.Time
	left  int
}

// found is what came of a play.
type found struct {
	wrong int // requests held back that end nothing
	late  int // sends of the deadly request beyond the third end
}

const (
	modelStep      = 10 * time.Millisecond
	modelFor       = 30 * time.Second
	modelEndpoints = 10
	modelCalls     = 0.6 // a step: 60 a second
	modelDown      = 1500 * time.Millisecond
)

// modelFirst is how long the first part of an answer takes.
const modelFirst = 150 * time.Millisecond

func progressOf(ran time.Duration) Progress {
	if ran < modelFirst {
		return Nothing
	}
	return ProgressOf(ran - modelFirst)
}

func (m play) run(w way) found {
	random := rand.New(rand.NewPCG(m.seed, 1))
	at := make([][]running, modelEndpoints)
	down, life := make([]time.Time, modelEndpoints), make([]int64, modelEndpoints)
	var waiting []running
	held := map[string]bool{}
	var f found
	ends, calls := 0, 0
	end := func(e int, now time.Time) {
		under := lo.Map(at[e], func(c running, _ int) Suspect {
			return Suspect{Print: printed(c.name), Progress: progressOf(now.Sub(c.from)), Customer: "customer"}
		})
		life[e]++
		down[e] = now.Add(modelDown)
		w.cut(e, life[e], under, now)
		for _, c := range at[e] {
			if c.left > 0 {
				waiting = append(waiting, running{name: c.name, from: c.from, until: c.until, left: c.left - 1})
			}
		}
		at[e] = nil
	}
	place := func(c running, now time.Time) {
		e := random.IntN(modelEndpoints)
		switch {
		case w.holds(printed(c.name), now):
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
			place(running{name: name, from: now, until: now.Add(time.Duration(200+random.ExpFloat64()*1200) * time.Millisecond), left: m.returns}, now)
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
				w.served(printed(c.name), now)
				return false
			})
		}
	}
	delete(held, "deadly")
	f.wrong = len(held)
	return f
}

// Ways to find the request are compared: how many requests are held back that end
// nothing, and how often the deadly one is sent on after the third end. Callers that come
// again, and requests that many ask for, are what a plain count holds back.
func TestWaysToFindARequest(t *testing.T) {
	const seeds = 20
	plays := []struct {
		name string
		of   play
	}{
		{"a deadly request, callers come again once", play{deadly: 800 * time.Millisecond, returns: 1}},
		{"a deadly request, callers come again ten times", play{deadly: 800 * time.Millisecond, returns: 10}},
		{"a deadly request beside a popular one", play{deadly: 500 * time.Millisecond, returns: 3, popular: 0.3}},
		{"endpoints end by themselves, callers come again ten times", play{crash: 700 * time.Millisecond, at: 1, returns: 10}},
		{"half of the endpoints end at once, beside a popular request", play{crash: 3 * time.Second, at: 5, returns: 10, popular: 0.3}},
	}
	ways := []struct {
		name string
		make func() way
	}{
		{"a plain count", func() way { return counted{} }},
		{"a count, cleared by an answer", func() way { return cleared{counted{}} }},
		{"ends attributed to who was in most", func() way { return judged{newNode(Peer)} }},
	}
	for _, p := range plays {
		for _, w := range ways {
			var sum found
			for seed := range seeds {
				p.of.seed = uint64(seed)
				f := p.of.run(w.make())
				sum.wrong += f.wrong
				sum.late += f.late
			}
			t.Logf("%s: %s: %d held back wrongly, %d sends after the third end, in %d plays", p.name, w.name, sum.wrong, sum.late, seeds)
			if w.name == ways[2].name {
				assert.LessOrEqual(t, sum.wrong, seeds/4, p.name)
				assert.LessOrEqual(t, sum.late, seeds, p.name)
			}
		}
	}
}
