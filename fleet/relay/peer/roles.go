package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// refreshBudgets passes the peers' reports to the allowance, requests tokens if others write
// the ledger, and returns this node's budget reports.
func (g *Gossip) refreshBudgets(writers map[string]bool) map[string]account.BudgetReport {
	self := g.registry.self
	now := clock.Now()
	var near, all []Member // other writers of the ledger: of the zone, and of the fleet
	dependents := map[string]bool{}
	for _, m := range g.registry.Members() {
		switch {
		case m.Name == self.Name:
		case !writers[m.Name] && m.Zone == self.Zone:
			dependents[m.Address] = true
		case writers[m.Name] && m.Zone == self.Zone:
			near = append(near, m)
			all = append(all, m)
		case writers[m.Name]:
			all = append(all, m)
		}
	}
	g.writes.Store(writers[self.Name])
	g.writerCount.Store(int64(len(writers)))
	watchers := g.watchers(writers)
	g.updateWatching(watchers)
	g.slots.Store(g.slotsOf(writers))
	g.sources.Store(g.sourcesOf(writers, watchers, near, all))
	g.elsewhere.Store(g.reachedElsewhere(writers, all))
	if !writers[self.Name] {
		g.transfers.allowance.SetFleets(g.transfers.fleets(nil, 1, now), now)
		g.requestAhead(lo.Ternary(len(near) > 0, near, all))
		return g.transfers.allowance.BudgetReports(now)
	}
	fleets := g.transfers.fleets(dependents, len(near)+1, now)
	g.transfers.allowance.SetFleets(fleets, now)
	reports := g.transfers.allowance.BudgetReports(now)
	if len(dependents) > 0 {
		g.reportForDependents(reports, fleets)
	}
	return reports
}

// reportForDependents adds to a writer's reports the demand of the nodes it draws for, and
// what only writers know about the whole fleet.
func (g *Gossip) reportForDependents(reports map[string]account.BudgetReport, fleets map[string]account.Fleet) {
	for tenant, fleet := range fleets {
		r := reports[tenant]
		r.All = math.Round(fleet.Others + r.Rate)
		r.Rate = math.Round(r.Rate + fleet.Dependents)
		r.Left = g.transfers.allowance.State(tenant).Left
		reports[tenant] = r
	}
}

// reachedElsewhere reports whether a writer of another zone reaches the store. Only writers
// receive reports of other zones' writers.
func (g *Gossip) reachedElsewhere(writers map[string]bool, others []Member) bool {
	return writers[g.registry.self.Name] && lo.ContainsBy(others, func(m Member) bool {
		s := g.stateOf(m.Name)
		return m.Zone != g.registry.self.Zone && !s.storeLost && clock.Since(s.at) < silenceTimeout
	})
}

// maxFarSources is the number of sources in other zones of the region, asked if none of the
// zone's answers, and then the number of sources in other regions.
const maxFarSources = 2

// sourcesOf lists the nodes that this one asks instead of the store, in order: those of the
// zone, then some of other zones of the region and of other regions. The order differs for
// each node, which spreads the load. A node that watches the store itself has no sources.
// Delegates that do not watch ask those that do.
func (g *Gossip) sourcesOf(writers, watchers map[string]bool, near, all []Member) *[]store.Source {
	sources := []store.Source{}
	if watchers[g.registry.self.Name] {
		return &sources
	}
	passesOn := writers[g.registry.self.Name]
	if passesOn {
		near = nil
		all = lo.Filter(all, func(m Member, _ int) bool { return watchers[m.Name] })
	}
	far := lo.Filter(all, func(m Member, _ int) bool {
		return (passesOn || m.Zone != g.registry.self.Zone) && !g.stateOf(m.Name).storeLost
	})
	region, others := lo.FilterReject(g.spread(far), func(m Member, _ int) bool { return g.places.Near(m.Zone) })
	far = append(region[:min(len(region), maxFarSources)], others[:min(len(others), maxFarSources)]...)
	for _, m := range append(g.spread(near), far...) {
		sources = append(sources, store.Source{Name: m.Name, Reader: Remote{client: g.client, address: m.Address, firsthand: passesOn, busy: g.busy, eras: g.eras}, Watches: passesOn})
	}
	return &sources
}

// spread orders members differently on each node, to spread the load.
func (g *Gossip) spread(members []Member) []Member {
	order := slices.Clone(members)
	rank := func(m Member) uint64 { return xxhash.Sum64String(g.registry.self.Name + m.Name) }
	slices.SortFunc(order, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// Sources lists the nodes that this one asks instead of the store.
func (g *Gossip) Sources() []store.Source {
	if s := g.sources.Load(); s != nil {
		return *s
	}
	return nil
}

// WriterCount returns the number of nodes that write the ledger, in this node's view.
func (g *Gossip) WriterCount() int { return int(g.writerCount.Load()) }

// updateWatching records whether this node watches the store for its region, and logs
// changes of that.
func (g *Gossip) updateWatching(watchers map[string]bool) {
	self := g.registry.self
	if now := watchers[self.Name]; g.watches.Swap(now) != now {
		g.registry.log.WithField("watches", now).WithField("region", g.places.Region(self.Zone)).WithField("watchers", len(watchers)).WithField("nodes", g.registry.Count()).Info("watching the store for others")
	}
}

// watchers returns the delegates that watch the store, in this delegate's view; it is nil on
// other nodes, which don't need it.
func (g *Gossip) watchers(writers map[string]bool) map[string]bool {
	if !writers[g.registry.self.Name] {
		return nil
	}
	members := g.registry.Members()
	now := clock.Now()
	return watchersOf(writers, members, g.delegates.ordered(members), g.places, func(m Member) bool {
		return g.stateOf(m.Name).storeLost || !g.delegates.alive(m, g.stateOf, now)
	})
}

// Watches reports whether this node watches the store for others.
func (g *Gossip) Watches() bool { return g.watches.Load() }

// Writes reports whether this node writes the ledger.
func (g *Gossip) Writes() bool { return g.writes.Load() }

// Serves reports whether other nodes ask this one instead of the store.
func (g *Gossip) Serves() bool { return g.Watches() && g.registry.Count() > allWrite }

// choose determines the nodes that write the ledger, in this node's view, and updates the
// roles, sources and reports of this node that depend on it.
func (g *Gossip) choose() {
	g.chooseMu.Lock()
	defer g.chooseMu.Unlock()
	g.chosen = g.delegates.choose(g.registry.Members(), g.stateOf, clock.Now())
	g.reports = g.refreshBudgets(g.chosen)
}

// currentChoice returns the writers chosen last, and this node's reports since.
func (g *Gossip) currentChoice() (map[string]bool, map[string]account.BudgetReport) {
	g.chooseMu.Lock()
	defer g.chooseMu.Unlock()
	return g.chosen, g.reports
}

// stateOf returns the last received state of a node, or the current state of this one.
func (g *Gossip) stateOf(name string) peerState {
	if name == g.registry.self.Name {
		return peerState{at: clock.Now(), storeLost: g.storeLost(), elsewhere: g.elsewhere.Load()}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[name]
	return peerState{at: p.at, storeLost: p.storeLost, elsewhere: p.elsewhere, writeFailed: p.writeFailed, ageUnknown: p.ageUnknown}
}
