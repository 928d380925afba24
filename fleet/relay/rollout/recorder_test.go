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

func TestRecorderCounts(t *testing.T) {
	failed := func(s *Sample) { s.Failed = true }
	lost := func(at time.Duration) Sample {
		return sample(true, func(s *Sample) { s.Failed, s.Unreachable, s.Now = true, true, epoch.Add(at) })
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
		{"a slow one of a cold endpoint", []Sample{sample(false, nil), sample(true, func(s *Sample) { s.Slowness, s.Cold = 4, true })}, Count{0, 0}},
		{"a typical one of a cold endpoint", []Sample{sample(false, nil), sample(true, func(s *Sample) { s.Cold = true })}, Count{0, 0}},
		{"a failed one of a cold endpoint", []Sample{sample(true, func(s *Sample) { s.Failed, s.Cold = true, true })}, Count{1, 1}},
		{"slowness that isn't known", []Sample{sample(true, func(s *Sample) { s.Slowness = 0 })}, Count{1, 0}},
		{"another service", []Sample{sample(true, func(s *Sample) { s.Service = "other" })}, Count{}},
		{"an answer to a call that was counted", []Sample{sample(true, func(s *Sample) { s.Sent = true })}, Count{}},
		{"a failure of a call that was sent before the order was known", []Sample{sample(true, func(s *Sample) { s.Sent, s.Failed = true, true })}, Count{1, 1}},
		{"no answer, nothing after it", []Sample{lost(0)}, Count{}},
		{"no answer, another one soon after", []Sample{lost(0), answered(time.Second)}, Count{2, 1}},
		{"no answer, another one much later", []Sample{lost(0), answered(unreachedWindow)}, Count{1, 0}},
		{"unreachable", []Sample{lost(0), lost(0), lost(0), lost(0), answered(time.Second)}, Count{1, 0}},
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

func TestCallCountsWhenSent(t *testing.T) {
	r := NewRecorder(order("v2", 10))
	counted := func() Count { return r.Evidence().Route("r").Target.Sum() }
	sent := sample(true, func(s *Sample) { s.Sent = true })
	r.RecordSent(sent)
	r.RecordSent(sent)
	assert.Equal(t, Count{2, 0}, counted())
	assert.False(t, r.Add(sent), "its first event came in time")
	sent.Failed = true
	assert.True(t, r.Add(sent), "its end did not")
	assert.Equal(t, Count{2, 1}, counted())
}

func TestSlownessIsComparedWithOldVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		old    float64 // slowness of the old version
		new    float64
		atMost float64 // share of bad answers of the target
		above  float64
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
			assert.LessOrEqual(t, share, c.atMost)
			assert.Greater(t, share, c.above)
		})
	}
}

// A node that started while calls moved compares the target's answers with what others observed of
// the old version, until it has observed that itself.
func TestAnswersAreComparedWithReferences(t *testing.T) {
	const typical = 100 * time.Millisecond
	target := func(took time.Duration) Sample {
		return sample(true, func(s *Sample) { s.Took = took })
	}
	old := sample(false, func(s *Sample) { s.Took = 5 * typical })
	for _, c := range []struct {
		name     string
		referred []Reference
		samples  []Sample
		want     Count
	}{
		{"typical", []Reference{{Route: "r", MedianTime: typical, Answers: 20}}, []Sample{target(typical)}, Count{1, 0}},
		{"five times slower", []Reference{{Route: "r", MedianTime: typical, Answers: 20}}, []Sample{target(5 * typical)}, Count{1, 1}},
		{"nothing is known of the route", []Reference{{Route: "other", MedianTime: typical, Answers: 20}}, []Sample{target(5 * typical)}, Count{1, 0}},
		{"no times are known", []Reference{{Route: "r", Answers: 20}}, []Sample{target(5 * typical)}, Count{1, 0}},
		{"how long it took is not known", []Reference{{Route: "r", MedianTime: typical, Answers: 20}}, []Sample{target(0)}, Count{1, 0}},
		{"the old version is as slow by now", []Reference{{Route: "r", MedianTime: typical, Answers: 20}}, []Sample{old, old, old, target(5 * typical)}, Count{1, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecorder(order("v2", 10))
			r.SetReferences(c.referred)
			for _, s := range c.samples {
				r.Add(s)
			}
			assert.Equal(t, c.want, r.Evidence().Route("r").Target.Sum())
		})
	}
	r := NewRecorder(order("v2", 10))
	r.SetReferences([]Reference{{Route: "r", MedianTime: typical, Answers: 20}})
	times, after := r.SlowThreshold("r")
	assert.Zero(t, times)
	assert.InDelta(t, slowFactor*float64(typical), float64(after), float64(2*referenceSlack))
}

// A status holds what all nodes observed of the old version, or the earlier reference if that is
// based on more answers.
func TestUpdatedReferences(t *testing.T) {
	observed := func(medianMs float64, old Count) Evidence {
		r := RouteEvidence{Route: "r", MedianMs: medianMs}
		r.Old[2] = old
		return Evidence{Service: "svc", Made: 10, Routes: []RouteEvidence{r}}
	}
	before := []Reference{{Route: "r", MedianTime: 80 * time.Millisecond, Answers: 50, Bad: 2}}
	for _, c := range []struct {
		name   string
		e      Evidence
		before []Reference
		want   []Reference
	}{
		{"nothing", Evidence{}, nil, nil},
		{"nothing new", Evidence{}, before, before},
		{"nothing of the old version", observed(0, Count{}), before, before},
		{"the first", observed(100.4, Count{30, 3}), nil, []Reference{{Route: "r", MedianTime: 100 * time.Millisecond, Answers: 30, Bad: 3}}},
		{"more than before", observed(100, Count{60, 3}), before, []Reference{{Route: "r", MedianTime: 100 * time.Millisecond, Answers: 60, Bad: 3}}},
		{"less than before", observed(300, Count{20, 20}), before, before},
		{"many", observed(100, Count{4000, 400}), before, []Reference{{Route: "r", MedianTime: 100 * time.Millisecond, Answers: 200, Bad: 20}}},
		{"two nodes", observed(100, Count{30, 0}).Plus(observed(200, Count{10, 0})), nil, []Reference{{Route: "r", MedianTime: 125 * time.Millisecond, Answers: 40}}},
		{"two nodes, one knows no times", observed(100, Count{30, 0}).Plus(observed(0, Count{10, 0})), nil, []Reference{{Route: "r", MedianTime: 100 * time.Millisecond, Answers: 40}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, updatedReferences(c.e, c.before))
		})
	}
}

func TestARecorderIsBounded(t *testing.T) {
	r := NewRecorder(order("v2", 10))
	for i := range 10_000 {
		r.Add(sample(true, func(s *Sample) { s.Route, s.Endpoint = string(rune(i)), uint64(i) }))
		r.Add(sample(true, func(s *Sample) { s.Endpoint, s.Unreachable = uint64(i), true }))
	}
	assert.LessOrEqual(t, len(r.Evidence().Routes), maxRoutes)
	assert.LessOrEqual(t, len(r.pending), maxPending)
}

func TestEvidenceOfARestartedNodeStillCounts(t *testing.T) {
	g := NewEvidenceTracker("svc", 10)
	g.Record("a.1", evidenceOf(Count{160, 0}, Count{16, 16}))
	g.Record("a.2", evidenceOf(Count{160, 0}, Count{16, 0}))
	g.Record("a.2", evidenceOf(Count{320, 0}, Count{32, 0}))
	g.Record("a.2", evidenceOf(Count{160, 0}, Count{16, 0})) // arrives late
	g.Record("b.1", Evidence{Service: "svc", Made: 9})
	target, old := g.Sum().counts("")
	assert.Equal(t, Count{48, 16}, target)
	assert.Equal(t, Count{480, 0}, old)
}
