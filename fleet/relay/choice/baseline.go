package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/cold"
)

// The timing of an attempt is compared with the prediction of its service's model, given
// the tokens that had to be read and the calls in flight at the endpoint.

// slownessOffset is added to both sides of a ratio, in ms, so that the delay of a packet or of
// a busy node has little effect on the ratio of a short call.
const slownessOffset = 1.0

// Slowness returns how many times longer an attempt took than expected at the service's
// endpoints: the larger ratio of the time to the first event (or of a whole plain call) and of
// the mean time between events. 0 means unknown.
func (t *Placement) Slowness(first, gap time.Duration, now time.Time) float64 {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	slowness := 0.0
	if first > 0 {
		slowness = timesBaseline(first, t.baselineMs)
	}
	if e, ok := t.current(); ok && gap > 0 {
		inFlight, _ := e.total(now)
		slowness = max(slowness, timesBaseline(gap, t.model.eventMs(inFlight)))
	}
	return slowness
}

func timesBaseline(took time.Duration, baselineMs float64) float64 {
	ms := float64(took) / float64(time.Millisecond)
	return (ms + slownessOffset) / (baselineMs + slownessOffset)
}

// SlowAfter returns the time to the first event, or of a whole plain call, that is the given
// multiple of the baseline.
func (t *Placement) SlowAfter(times float64) time.Duration {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	ms := times*(t.baselineMs+slownessOffset) - slownessOffset
	return time.Duration(ms * float64(time.Millisecond))
}

// Cold reports whether the endpoint was cold when it was chosen.
func (t *Placement) Cold() bool {
	return cold.IsCold(t.Engine, t.request.Profile.ColdStart, t.request.Now)
}

// ExpectedDuration returns the expected duration of a call with the given number of events if its whole
// prompt has to be read and all slots of the endpoint are taken.
func (p *Picker) ExpectedDuration(profile Profile, promptTokens, events int64, slots int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.model(profile.Service)
	ms := m.firstMs(int64(slots))
	if profile.Tokens {
		ms = m.firstMs(promptTokens) + float64(events)*m.eventMs(slots)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// InFlight returns the number of calls of this node in flight at the endpoints with the given
// ids.
func (p *Picker) InFlight(ids func(yield func(string) bool)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := 0
	for id := range ids {
		if s, ok := p.endpoints[id]; ok {
			calls += s.inFlight
		}
	}
	return calls
}
