package relay

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// writeBackInterval is the time between attempts to write back a status that the restored
// store lacks.
const writeBackInterval = 2 * time.Second

// writeOrdersBack writes the statuses of orders that the store lost when it was restored from a
// backup, until ctx ends. Otherwise nodes that start would treat such an order as new. The function
// slot returns the slot of this node among those who may write.
func (n *Node) writeOrdersBack(ctx context.Context, slot func(key string) int) {
	waited, attemptedAt := map[string]int{}, map[string]time.Time{}
	every(ctx, writeSlot, func() {
		missing := n.missingOrders()
		for name, r := range missing {
			if waited[name]++; waited[name] <= slot(name) || clock.Since(attemptedAt[name]) < writeBackInterval {
				continue
			}
			attemptedAt[name] = clock.Now()
			n.writeOrderBack(ctx, name, r)
		}
		waited = lo.PickBy(waited, func(name string, _ int) bool { return lo.HasKey(missing, name) })
	})
}

func (n *Node) missingOrders() map[string]rollout.Rollout {
	missing := map[string]rollout.Rollout{}
	set := n.rollouts.Load()
	if set == nil {
		return missing
	}
	for _, name := range set.Names() {
		if r, _ := set.Name(name); r.MissingInStore {
			missing[name] = r
		}
	}
	return missing
}

func (n *Node) writeOrderBack(ctx context.Context, name string, r rollout.Rollout) {
	entry := n.log.WithFields(rolloutFields(r)).WithField("object", name)
	data, err := n.adapter.RolloutStatus(r.Status)
	if err != nil {
		entry.WithError(err).Warn("status missing in the restored store not written back")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if _, err = n.store.PutStatus(ctx, store.Object{Kind: n.adapter.RolloutKind(), Name: name, Revision: r.Revision, Status: data}); err != nil {
		entry.WithField("dependency", "store").WithError(err).Warn("status missing in the restored store not written back")
		return
	}
	entry.Info("status missing in the restored store written back")
}
