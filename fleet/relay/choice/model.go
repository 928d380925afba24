package choice

import (
	"math"
	"time"
)

// model predicts the timing of one service's endpoints. It is learned from their streams; each
// line has a prior that a few samples outweigh.
type model struct {
	first    line    // ms to the first event, by prompt tokens to be read before it
	event    line    // ms between two events, by calls in flight at the endpoint
	value    average // of a call, see valueOf
	duration average // of a call, in seconds
	ratio    average // logarithm of actual over expected time, over all endpoints
}

// Priors of an unknown engine: typical values of engines on accelerators. They weigh half a
// sample each.
var (
	firstPrior = line{}.with(0, 30).with(4000, 230).times(priorWeight)
	eventPrior = line{}.with(0, 25).with(20, 30).times(priorWeight)
)

const priorWeight = 0.25

func (m *model) firstMs(tokens int64) float64 { return m.first.at(firstPrior, float64(tokens)) }

func (m *model) eventMs(inFlight int) float64 { return m.event.at(eventPrior, float64(inFlight)) }

// readMs returns how long it takes to read the prompt tokens, and thus how much it delays the
// events of other streams.
func (m *model) readMs(tokens int64) float64 {
	_, slope := m.first.fit(firstPrior)
	return slope * float64(tokens)
}

// lineDecay is the factor by which each sample reduces the weight of the previous ones. A change
// of all endpoints shows within some hundred samples.
const lineDecay = 0.99

// line is a least-squares fit with exponentially decaying samples.
type line struct{ w, x, y, xx, xy float64 }

func (l line) with(x, y float64) line {
	return line{w: l.w*lineDecay + 1, x: l.x*lineDecay + x, y: l.y*lineDecay + y, xx: l.xx*lineDecay + x*x, xy: l.xy*lineDecay + x*y}
}

func (l line) times(f float64) line {
	return line{w: l.w * f, x: l.x * f, y: l.y * f, xx: l.xx * f, xy: l.xy * f}
}

func (l line) plus(o line) line {
	return line{w: l.w + o.w, x: l.x + o.x, y: l.y + o.y, xx: l.xx + o.xx, xy: l.xy + o.xy}
}

// fit returns the line through the samples and a prior. The slope is never negative.
func (l line) fit(prior line) (base, slope float64) {
	s := l.plus(prior)
	if d := s.w*s.xx - s.x*s.x; d > 0 {
		slope = max((s.w*s.xy-s.x*s.y)/d, 0)
	}
	return max((s.y-slope*s.x)/s.w, 0), slope
}

func (l line) at(prior line, x float64) float64 {
	base, slope := l.fit(prior)
	return base + slope*x
}

// averageDecay is the factor by which each sample reduces the weight of the previous ones.
const averageDecay = 0.95

// average is a mean with exponentially decaying samples.
type average struct{ sum, weight float64 }

func (a average) with(x float64) average {
	return average{sum: a.sum*averageDecay + x, weight: a.weight*averageDecay + 1}
}

func (a average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// speed is how many times slower than its service's model an endpoint is. It decays, so that an
// endpoint that was avoided gets calls again.
type speed struct {
	factor float64 // natural logarithm
	at     time.Time
}

const (
	speedWeight   = 0.2 // of a new sample
	speedHalfLife = 4 * time.Second
	maxSlowdown   = 20.0
	minSlowdown   = 0.5
	speedOffset   = 20.0 // ms added to both sides of a ratio, so that short times have little effect
)

func (s speed) slowdown(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return math.Exp(s.factor * math.Exp2(-now.Sub(s.at).Seconds()/speedHalfLife.Seconds()))
}

// logRatio returns the logarithm of the actual over the expected time, both in ms.
func logRatio(took, expected float64) float64 {
	return math.Log(min(max((took+speedOffset)/(expected+speedOffset), minSlowdown), maxSlowdown))
}

// with adds a sample of the endpoint. The common ratio of all endpoints is subtracted: it is an
// error of the model.
func (s speed) with(ratio, common float64, now time.Time) speed {
	before := math.Log(s.slowdown(now))
	return speed{factor: before + speedWeight*(ratio-common-before), at: now}
}
