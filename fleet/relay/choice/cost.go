package choice

import (
	"math"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// outputWeight is how many prompt tokens a generated one is worth (the
// platform's page on credit).
const outputWeight = 10

// valueOf is what a call is worth beside others.
func valueOf(c call.Call) float64 { return float64(c.PromptMax + outputWeight*c.OutputMax) }

// weigh says what a call would cost at an endpoint.
func (p *Picker) weigh(r Request, e engine.Engine, s *endpoint, affinity string, from source) Placement {
	t := Placement{Engine: e}
	inFlight, waiting := s.total(r.Now)
	m := p.model(r.Profile.Service)
	if !r.Profile.Tokens {
		t.ahead = int64(inFlight)
		t.Cost = p.plainCost(r, e, s, inFlight)
		t.usualMs = m.firstMs(t.ahead)
		t.FirstMs = s.speed.slower(r.Now) * t.usualMs
		return t
	}
	slower := s.speed.slower(r.Now)
	away := p.places.To(e.Zone, r.Now)
	kept := p.keptTokens(r, e, s, affinity)
	fetchMs := 0.0
	if p.tuning.Fetch && from.id != e.ID && from.tokens > kept {
		if ms := from.moveMs(from.tokens-kept, p.places.Between(from.zone, e.Zone, r.Now)); ms < m.readMs(from.tokens-kept) {
			t.Source, t.Fetched, fetchMs = from.address, from.tokens-kept, ms
			if from.known || !p.tuning.Homes {
				kept = from.tokens
			}
		}
	}
	t.Uncached = max(r.Call.PromptMax-kept, 0)
	t.ahead = waiting + t.Uncached
	first, beside := m.firstMs(t.ahead), fetchMs+p.slotMs(m, e, inFlight)+away.DelayMs()
	t.usualMs = first + beside
	t.FirstMs = slower*first + beside
	value := valueOf(r.Call)
	t.Cost = value * (chanceOfMore(t.FirstMs, objectiveMs(r)) + p.tuning.Waiting*t.FirstMs/objectiveMs(r))
	if p.tuning.Pauses {
		t.Cost += value * s.pauseShare(r.Now)
	}
	if p.tuning.Harm && inFlight > 0 {
		t.PauseMs = slower * (m.eventMs(inFlight) + m.readMs(t.ahead))
		t.Cost += m.value.mean() * float64(inFlight) * chanceOfMore(t.PauseMs, gapMs(r))
	}
	t.Cost += away.Call(value, r.Bytes)
	return t
}

// plainCost ranks endpoints without prompts by how full they are.
func (p *Picker) plainCost(r Request, e engine.Engine, s *endpoint, inFlight int) float64 {
	slots := float64(max(e.Slots, 1))
	full := float64(inFlight)
	if r.Now.Sub(s.loadAt) < p.tuning.LoadAge {
		full = max(full, float64(s.load.Running+s.load.Waiting))
	}
	cost := max(s.speed.slower(r.Now), 1) * (full + 1) / slots
	away := p.places.To(e.Zone, r.Now)
	return cost + away.Plain() + away.DelayMs()/objectiveMs(r)
}

// keptTokens is how much of the prompt the endpoint is thought to keep.
func (p *Picker) keptTokens(r Request, e engine.Engine, s *endpoint, affinity string) int64 {
	kept, believed := int64(0), 0.0
	shared := len(r.Call.Shared())
	for i, part := range r.Call.Parts {
		switch {
		case s.cache.has(part.ID):
			kept += part.Tokens
		case i < shared && affinity == e.ID && len(p.holders[part.ID]) == 0:
			believed += p.tuning.AffinityTrust * float64(part.Tokens)
		default:
			return kept + int64(believed)
		}
	}
	return kept + int64(believed)
}

// slotMs is how long a call waits for a place among those that run at once.
func (p *Picker) slotMs(m *model, e engine.Engine, inFlight int) float64 {
	if e.Slots <= 0 || inFlight < e.Slots {
		return 0
	}
	const second = 1000
	return float64(inFlight-e.Slots+1) / float64(e.Slots) * m.lasts.mean() * second
}

// Where a route names no objective or pause, these stand in for it.
const (
	someObjective = time.Second
	someGap       = 400 * time.Millisecond
)

func objectiveMs(r Request) float64 { return milliseconds(r.Objective, someObjective) }

func gapMs(r Request) float64 { return milliseconds(r.Gap, someGap) }

func milliseconds(d, unknown time.Duration) float64 {
	if d <= 0 {
		d = unknown
	}
	return float64(d) / float64(time.Millisecond)
}

// predictionSpread is how far what is expected lies off, as a part of the bound.
const predictionSpread = 0.12

// chanceOfMore is the chance that a time which is expected to be so long is more
// than a bound.
func chanceOfMore(expected, bound float64) float64 {
	return 1 / (1 + math.Exp((bound-expected)/(predictionSpread*bound)))
}
