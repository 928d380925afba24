package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// isCold reports whether the rate of a cold endpoint applies to the endpoint.
func (r Request) isCold(e engine.Engine) bool {
	return r.Profile.ColdPerSecond > 0 && cold.IsCold(e, r.Profile.ColdStart, r.Now)
}

// withinBounds reports whether this node may send one more call to an endpoint without exceeding
// the bounds that all nodes keep together. A limit named by an endpoint covers the whole fleet:
// if each node applied it alone, or only the nodes that received it did, the fleet would exceed
// it by a multiple.
func (p *Picker) withinBounds(r Request, e engine.Engine) bool {
	if r.isCold(e) && !p.gate.Allows(e, p.cold.Bound(r.Profile.ColdPerSecond), r.Now) {
		return false
	}
	if p.limits == nil {
		return true
	}
	perSecond, named := p.limits.Of(e.Incarnation())
	if !named || p.gate.Allows(e, p.limits.Bound(perSecond), r.Now) {
		return true
	}
	return p.limits.MayProbe(e.Incarnation(), p.gate.Count(), r.Now)
}

// endpointsWithStaleLimit returns the endpoints whose limit was not confirmed lately. They get
// the next call that may go there, since only an answer shows whether the limit still holds. If
// they were chosen by cost alone, they might never get a call and stay limited after the limit
// is over.
func (p *Picker) endpointsWithStaleLimit(r Request) []engine.Engine {
	if p.limits == nil {
		return nil
	}
	var stale []engine.Engine
	for _, incarnation := range p.limits.Unconfirmed(r.Now) {
		if e, ok := find(r.Engines, incarnation.ID); ok && e.Incarnation() == incarnation {
			stale = append(stale, e)
		}
	}
	return stale
}

// Limits returns how many calls per second the ready endpoints accept from all nodes together.
// It returns false if one of them names no limit.
func (p *Picker) Limits(engines []engine.Engine) (perSecond float64, all bool) {
	if p.limits == nil {
		return 0, false
	}
	ready := 0
	for _, e := range engines {
		if e.State != engine.Ready {
			continue
		}
		l, named := p.limits.Of(e.Incarnation())
		if !named {
			return 0, false
		}
		perSecond += l
		ready++
	}
	return perSecond, ready > 0
}

// Limit records what an answer signals about the endpoint's limit. Only a successful answer
// shows that there is none: others may come from an intermediary.
func (t *Placement) Limit(l call.Limit, good bool, sent, now time.Time) {
	limits, incarnation := t.picker.limits, t.Engine.Incarnation()
	if limits == nil {
		return
	}
	switch {
	case l.Kind == call.ValidLimit:
		limits.Named(incarnation, l.PerSecond, now)
	case l.Kind == call.NoLimit && good:
		limits.Unnamed(incarnation, sent, now)
	}
}
