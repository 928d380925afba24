package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func sample(target bool, change func(*Sample)) Sample {
	s := Sample{Service: "svc", Route: "r", Target: target, Endpoint: 1, Slowness: 1, Now: epoch}
	if change != nil {
		change(&s)
	}
	return s
}

func TestWhatARecorderCounts(t *testing.T) {
	failed := func(s *Sample) { s.Failed = true }
	lost := func(at time.Duration) Sample {
		return sample(true, func(s *Sample) { s.Failed, s.Unreached, s.Now = true, true, epoch.Add(at) })
	}
	answered := func(at time.Duration) Sample {
		return sample(true, func(s *Sample) { s.Now = epoch.Add(at) })
	}
	for _, c := range []struct {
		name    string
		samples []Sample
		want    Count
	}{
		{"an answer", []Sample{sample(true, nil)}, Count{1, 0}},
		{"a failed one", []Sample{sample(true, failed)}, Count{1, 1}},
		{"a slow one", []Sample{sample(false, nil), sample(true, func(s *Sample) { s.Slowness = 4 })}, Count{1, 1}},
		{"a slow one with nothing to compare", []Sample{sample(true, func(s *Sample) { s.Slowness = 4 })}, Count{1, 0}},
		{"a slow one of a cold endpoint", []Sample{sample(false, nil), sample(true, func(s *Sample) { s.Slowness, s.Cold = 4, true })}, Count{1, 0}},
		{"a failed one of a cold endpoint", []Sample{sample(true, func(s *Sample) { s.Failed, s.Cold = true, true })}, Count{1, 1}},
		{"slowness that isn't known", []Sample{sample(true, func(s *Sample) { s.Slowness = 0 })}, Count{1, 0}},
		{"another service", []Sample{sample(true, func(s *Sample) { s.Service = "other" })}, Count{}},
		{"an answer to a call that was counted", []Sample{sample(true, func(s *Sample) { s.Sent = true })}, Count{}},
		{"a failure of a call that was sent before the order was known", []Sample{sample(true, func(s *Sample) { s.Sent, s.Failed = true, true })}, Count{1, 1}},
		{"no answer, nothing after it", []Sample{lost(0)}, Count{}},
		{"no answer, another one soon after", []Sample{lost(0), answered(time.Second)}, Count{2, 1}},
		{"no answer, another one late after", []Sample{lost(0), answered(unreachedFor)}, Count{1, 0}},
		{"out of reach", []Sample{lost(0), lost(0), lost(0), lost(0), answered(time.Second)}, Count{1, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecorder(order("v2", 10))
			for _, s := range c.samples {
				r.Add(s)
			}
			assert.Equal(t, c.want, r.Evidence().Route("r").Target.Sum())
		})
	}
}

func TestACallCountsWhenItIsSent(t *testing.T) {
	r := NewRecorder(order("v2", 10))
	counted := func() Count { return r.Evidence().Route("r").Target.Sum() }
	told := sample(true, func(s *Sample) { s.Sent = true })
	r.Sent(told)
	r.Sent(told)
	assert.Equal(t, Count{2, 0}, counted())
	assert.False(t, r.Add(told), "its first event came in time")
	told.Failed = true
	assert.True(t, r.Add(told), "its end did not")
	assert.Equal(t, Count{2, 1}, counted())
}

func TestSlownessIsHeldAgainstTheOldVersionsOwn(t *testing.T) {
	for _, c := range []struct {
		name string
		old  float64 // slowness of the old version
		new  float64
		most float64 // share of bad answers of the target
		less float64
	}{
		{"both alike", 1, 1, 0.02, -1},
		{"both three times slower", 3, 3, 0.02, -1},
		{"the target four times slower", 1, 4, 1, 0.8},
		{"both slower, the target more", 2, 8, 1, 0.8},
		{"the target a little slower", 1, 1.3, 0.05, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			rand := rand.New(rand.NewPCG(1, 2))
			r := NewRecorder(order("v2", 10))
			for i := range 4000 {
				slow := math.Exp(0.35 * rand.NormFloat64())
				r.Add(sample(false, func(s *Sample) { s.Slowness = c.old * slow }))
				if i > 1000 {
					r.Add(sample(true, func(s *Sample) { s.Slowness = c.new * slow }))
				}
			}
			sum := r.Evidence().Route("r").Target.Sum()
			share := float64(sum.Bad) / float64(sum.Answers)
			assert.LessOrEqual(t, share, c.most)
			assert.Greater(t, share, c.less)
		})
	}
}

func TestARecorderIsBounded(t *testing.T) {
	r := NewRecorder(order("v2", 10))
	for i := range 10_000 {
		r.Add(sample(true, func(s *Sample) { s.Route, s.Endpoint = string(rune(i)), uint64(i) }))
		r.Add(sample(true, func(s *Sample) { s.Endpoint, s.Unreached = uint64(i), true }))
	}
	assert.LessOrEqual(t, len(r.Evidence().Routes), mostRoutes)
	assert.LessOrEqual(t, len(r.pending), mostPending)
}

func TestEvidenceOfARestartedNodeStillCounts(t *testing.T) {
	g := NewGathered("svc", 10)
	g.Take("a.1", told(Count{160, 0}, Count{16, 16}))
	g.Take("a.2", told(Count{160, 0}, Count{16, 0}))
	g.Take("a.2", told(Count{320, 0}, Count{32, 0}))
	g.Take("a.2", told(Count{160, 0}, Count{16, 0})) // came late
	g.Take("b.1", Evidence{Service: "svc", Made: 9})
	target, old := g.Sum().counts("")
	assert.Equal(t, Count{48, 16}, target)
	assert.Equal(t, Count{480, 0}, old)
}
