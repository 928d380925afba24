package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// isCold is whether an endpoint gets no more calls than a cold one bears.
func (r Request) isCold(e engine.Engine) bool {
	return r.Profile.ColdPerSecond > 0 && cold.Cold(e, r.Profile.ColdStart, r.Now)
}

// may is whether an endpoint may get one more call of this node, by the bounds that all
// nodes keep together. An endpoint that names a limit means all nodes: kept by each for
// itself, or by those alone that it has told, the limit would be exceeded by their number.
func (p *Picker) may(r Request, e engine.Engine) bool {
	if r.isCold(e) && !p.gate.May(e, p.cold.Bound(r.Profile.ColdPerSecond), r.Now) {
		return false
	}
	if p.limits == nil {
		return true
	}
	perSecond, named := p.limits.Of(e.Life())
	if !named || p.gate.May(e, p.limits.Bound(perSecond), r.Now) {
		return true
	}
	return p.limits.MayTry(e.Life(), p.gate.Count(), r.Now)
}

// unheard is which endpoints a call goes to before any other, where it may: nothing was heard
// of their limits for a while, and only an answer tells whether they still hold. Left to
// what costs least, an endpoint might never be asked, and stay under a limit that is over.
func (p *Picker) unheard(r Request) []engine.Engine {
	if p.limits == nil {
		return nil
	}
	var of []engine.Engine
	for _, life := range p.limits.Unheard(r.Now) {
		if e, ok := find(r.Engines, life.ID); ok && e.Life() == life {
			of = append(of, e)
		}
	}
	return of
}

// Limits are how many calls a second the ready endpoints take from all nodes together; false
// where one of them names no limit.
func (p *Picker) Limits(among []engine.Engine) (perSecond float64, all bool) {
	if p.limits == nil {
		return 0, false
	}
	ready := 0
	for _, e := range among {
		if e.State != engine.Ready {
			continue
		}
		l, named := p.limits.Of(e.Life())
		if !named {
			return 0, false
		}
		perSecond += l
		ready++
	}
	return perSecond, ready > 0
}

// Limit takes in what the endpoint's answer says of a limit. Only a good answer tells that
// there is none: others may come from something on the way.
func (t *Placement) Limit(l call.Limit, good bool, sent, now time.Time) {
	limits, life := t.picker.limits, t.Engine.Life()
	if limits == nil {
		return
	}
	switch {
	case l.Said == call.Named:
		limits.Named(life, l.PerSecond, now)
	case l.Said == call.NoLimit && good:
		limits.Unnamed(life, sent, now)
	}
}
