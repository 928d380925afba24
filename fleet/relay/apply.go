package relay

import (
	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// applyPolicy applies a policy if it is newer than the one in force.
func (n *Node) applyPolicy(name string, c store.Change) {
	switch c := c.(type) {
	case store.Snapshot:
		n.confirmation.policyReceived()
		for _, o := range c.Objects {
			n.tryPolicy(name, o)
		}
	case store.Update:
		for _, e := range c.Events {
			if !e.Gone {
				n.tryPolicy(name, e.Object)
			}
		}
	case store.Lost:
		n.log.WithField("dependency", "store").WithField("of", "policy").WithError(c.Err).Warn("lost")
	}
}

func (n *Node) tryPolicy(name string, o store.Object) {
	if o.Name != name {
		return
	}
	p, err := n.adapter.Policy(o)
	if err != nil {
		n.faults.Report(o, "policy", "the last policy", err)
		return
	}
	n.faults.Resolve(o)
	if before := n.policy.Load(); before != nil && p.Version <= before.Version {
		return
	}
	n.policy.Store(p.Indexed())
	n.allowance.Budget(budgets(p))
	n.applyBounds(p.Limits)
	from := n.store.Provenance(o.Kind)
	n.log.WithField("policy", p.Version).WithField("revision", o.Revision.Number()).WithField("routes", len(p.Routes)).WithField("prepaid", budgets(p)).WithField("from", from.Origin.String()).WithField("source", from.Source).Info("policy in force")
}

// applyBounds applies the bounds of the policy to new connections of callers.
func (n *Node) applyBounds(l policy.Limits) {
	if n.ingress == nil {
		return
	}
	b := ingress.Bounds{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}.WithDefaults(ingress.DefaultBounds)
	if n.ingress.SetBounds(b) {
		n.log.WithField("headerBytes", b.HeaderBytes).WithField("headerMs", b.HeaderTimeout.Milliseconds()).WithField("idleMs", b.IdleTimeout.Milliseconds()).Info("bounds of connections in force")
	}
}

func budgets(p policy.Policy) map[string]int64 {
	prepaid := map[string]int64{}
	for _, t := range p.Tenants {
		if t.HasPrepaid {
			prepaid[t.Name] = t.Prepaid
		}
	}
	return prepaid
}
