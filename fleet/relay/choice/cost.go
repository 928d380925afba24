package choice

import (
	"math"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// outputWeight is the value of a generated token in prompt tokens, as in the platform's
// documentation on credit.
const outputWeight = 10

// valueOf returns the value of a call, in prompt tokens.
func valueOf(c call.Call) float64 { return float64(c.PromptMax + outputWeight*c.OutputMax) }

// estimate returns the expected times and the cost of a call at an endpoint.
func (p *Picker) estimate(r Request, e engine.Engine, s *endpoint, affinity string, from source) Placement {
	t := Placement{Engine: e}
	inFlight, waiting := s.total(r.Now)
	m := p.model(r.Profile.Service)
	if !r.Profile.Tokens {
		t.ahead = int64(inFlight)
		t.Cost = p.plainCost(r, e, s, inFlight)
		t.baselineMs = m.firstMs(t.ahead)
		t.FirstMs = s.speed.slowdown(r.Now) * t.baselineMs
		return t
	}
	slowdown := s.speed.slowdown(r.Now)
	dist := p.places.To(e.Zone, r.Now)
	cached := p.cachedTokens(r, e, s, affinity)
	fetchMs := 0.0
	if p.tuning.Fetch && from.id != e.ID && from.tokens > cached {
		if ms := from.moveMs(from.tokens-cached, p.places.Between(from.zone, e.Zone, r.Now)); ms < m.readMs(from.tokens-cached) {
			t.Source, t.Fetched, fetchMs = from.address, from.tokens-cached, ms
			if from.known || !p.tuning.Homes {
				cached = from.tokens
			}
		}
	}
	t.Uncached = max(r.Call.PromptMax-cached, 0)
	t.ahead = waiting + t.Uncached
	first, overheadMs := m.firstMs(t.ahead), fetchMs+p.slotMs(m, e, inFlight)+dist.DelayMs()
	t.baselineMs = first + overheadMs
	t.FirstMs = slowdown*first + overheadMs
	value := valueOf(r.Call)
	t.Cost = value * (chanceOfMore(t.FirstMs, objectiveMs(r)) + p.tuning.Waiting*t.FirstMs/objectiveMs(r))
	if p.tuning.Pauses {
		t.Cost += value * s.pauseShare(r.Now)
	}
	if p.tuning.Harm && inFlight > 0 {
		t.PauseMs = slowdown * (m.eventMs(inFlight) + m.readMs(t.ahead))
		t.Cost += m.value.mean() * float64(inFlight) * chanceOfMore(t.PauseMs, gapMs(r))
	}
	t.Cost += dist.Call(value, r.Bytes)
	return t
}

// plainCost ranks endpoints that read no prompts by their utilization.
func (p *Picker) plainCost(r Request, e engine.Engine, s *endpoint, inFlight int) float64 {
	slots := float64(max(e.Slots, 1))
	calls := float64(inFlight)
	if r.Now.Sub(s.loadAt) < p.tuning.LoadAge {
		calls = max(calls, float64(s.load.Running+s.load.Waiting))
	}
	cost := max(s.speed.slowdown(r.Now), 1) * (calls + 1) / slots
	dist := p.places.To(e.Zone, r.Now)
	return cost + dist.Plain() + dist.DelayMs()/objectiveMs(r)
}

// cachedTokens estimates how many tokens of the prompt the endpoint has cached.
func (p *Picker) cachedTokens(r Request, e engine.Engine, s *endpoint, affinity string) int64 {
	cached, assumed := int64(0), 0.0
	shared := len(r.Call.Shared())
	for i, part := range r.Call.Parts {
		switch {
		case s.cache.has(part.ID):
			cached += part.Tokens
		case i < shared && affinity == e.ID && len(p.holders[part.ID]) == 0:
			assumed += p.tuning.AffinityTrust * float64(part.Tokens)
		default:
			return cached + int64(assumed)
		}
	}
	return cached + int64(assumed)
}

// slotMs estimates how long a call waits for a free slot.
func (p *Picker) slotMs(m *model, e engine.Engine, inFlight int) float64 {
	if e.Slots <= 0 || inFlight < e.Slots {
		return 0
	}
	const second = 1000
	return float64(inFlight-e.Slots+1) / float64(e.Slots) * m.duration.mean() * second
}

// Defaults for routes without an objective or a gap.
const (
	defaultObjective = time.Second
	defaultGap       = 400 * time.Millisecond
)

func objectiveMs(r Request) float64 { return milliseconds(r.Objective, defaultObjective) }

func gapMs(r Request) float64 { return milliseconds(r.Gap, defaultGap) }

func milliseconds(d, unknown time.Duration) float64 {
	if d <= 0 {
		d = unknown
	}
	return float64(d) / float64(time.Millisecond)
}

// predictionSpread is the spread of the prediction error, as a fraction of the bound.
const predictionSpread = 0.12

// chanceOfMore returns the probability that a time with the given expectation exceeds a bound.
func chanceOfMore(expected, bound float64) float64 {
	return 1 / (1 + math.Exp((bound-expected)/(predictionSpread*bound)))
}
