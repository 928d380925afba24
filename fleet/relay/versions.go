package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/forward"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// ordersRefreshInterval is the delay before the orders are requested again while an entry is newer
// than the orders known. A request costs peers a call. It costs the store one only from the nodes
// that watch it, whose answer is recent enough.
const ordersRefreshInterval = 250 * time.Millisecond

// byVersion limits the directory to endpoints of versions that may get work, and publishes how
// calls choose between versions.
func (t *engineTable) byVersion(d *engine.Directory) *engine.Directory {
	if !t.settings.RolloutsEnabled() {
		return d
	}
	set := t.withUsedVersions(*t.rollouts.Load(), d)
	moves := forward.Trials{}
	var waiting []string // services
	limited := d.Limited(func(service string, all []engine.Engine) []engine.Engine {
		l := rollout.Split(all, set, service)
		t.recordUsed(service, l)
		if awaitsOrders(all, l, set) {
			waiting = append(waiting, service)
		}
		bad := t.trials.countEndpoints(service, all)
		state := l.Rollout.State()
		if !l.HasOrder || state == rollout.Completed || state == rollout.Reverted {
			return inOrder(l.All)
		}
		moves[service] = forward.NewTrial(l, bad)
		return inOrder(l.Old)
	})
	t.moves.Store(&moves)
	if len(waiting) > 0 && !t.requestingOrders {
		t.log.WithField("services", waiting).WithField("revision", d.Revision.Number()).WithField("orders", set.Revision().Number()).Info("endpoints of new versions get no calls until the orders are known: orders requested again")
		t.requestingOrders = true
		t.ordersRefresh.Request()
		time.AfterFunc(ordersRefreshInterval, t.republish)
	}
	return limited
}

// republish publishes once more after the orders were requested.
func (t *engineTable) republish() {
	t.mu.Lock()
	t.requestingOrders = false
	t.mu.Unlock()
	t.refresh()
}

// withUsedVersions adds the versions that were allowed to get work here before, for as long as any
// endpoint runs them.
func (t *engineTable) withUsedVersions(set rollout.Set, d *engine.Directory) rollout.Set {
	there := map[string]map[string]bool{}
	for _, e := range d.All() {
		if there[e.Service] == nil {
			there[e.Service] = map[string]bool{}
		}
		there[e.Service][e.Version] = true
	}
	for service, versions := range t.usedVersions {
		for version := range versions {
			if !there[service][version] {
				delete(versions, version)
				continue
			}
			set = set.Using(service, version)
		}
	}
	return set
}

// recordUsed records which versions may get all of the work of a service.
func (t *engineTable) recordUsed(service string, l rollout.Lists) {
	proved := l.All
	if l.Rollout.State() == rollout.InProgress {
		proved = l.Old
	}
	if t.usedVersions[service] == nil {
		t.usedVersions[service] = map[string]bool{}
	}
	for _, e := range proved {
		t.usedVersions[service][e.Version] = true
	}
}

// awaitsOrders reports whether an endpoint gets nothing only because its entry is newer than the
// orders known.
func awaitsOrders(all []engine.Engine, l rollout.Lists, set rollout.Set) bool {
	if !slices.ContainsFunc(all, func(e engine.Engine) bool { return e.Seen > set.Revision() }) {
		return false
	}
	allowed := lo.SliceToMap(l.All, func(e engine.Engine) (string, bool) { return e.ID, true })
	barred := l.Rollout.Unproven()
	return slices.ContainsFunc(all, func(e engine.Engine) bool {
		known := l.HasOrder && (e.Version == l.Rollout.Target || slices.Contains(barred, e.Version))
		return e.Seen > set.Revision() && !allowed[e.ID] && !known
	})
}

// inOrder sorts endpoints by id, the order of a directory.
func inOrder(engines []engine.Engine) []engine.Engine {
	return slices.SortedFunc(slices.Values(engines), func(a, b engine.Engine) int { return strings.Compare(a.ID, b.ID) })
}
