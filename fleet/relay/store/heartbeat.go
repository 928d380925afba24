package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// Heartbeat pings the store on a node that watches it for others, so that an outage is
// detected quickly. A watch sent while the store is silent reports nothing until it times
// out; meanwhile this node would answer the nodes that ask it that nothing has changed,
// though they may reach the store themselves.
type Heartbeat struct {
	Store  Store
	Every  time.Duration // interval between pings
	Serves func() bool   // reports whether other nodes ask this one
	Lost   func(error)   // called after each beat that finds the store unavailable
	Health *Health       // restarts watches once the store is available again
	Log    log.Interface
}

// Run pings until ctx ends.
func (h Heartbeat) Run(ctx context.Context) {
	lost := false
	for clock.Pause(ctx, Jittered(h.Every)); ctx.Err() == nil; clock.Pause(ctx, h.Every) {
		if !h.Serves() {
			lost = false
			continue
		}
		lost = h.beat(ctx, lost)
	}
}

// beat pings once and reports whether the store counts as lost, given whether it did
// before. It stays lost until the watches are restarted, so that no watch sent during the
// outage remains.
func (h Heartbeat) beat(ctx context.Context, lost bool) bool {
	err := h.ping(ctx)
	switch {
	case ctx.Err() != nil:
		return lost
	case err != nil:
		h.Lost(err)
		if !lost {
			h.Log.WithField("dependency", "store").WithError(err).Warn("store heartbeat lost: answering unavailable to the nodes that ask this one")
		}
		return true
	case lost && h.Health.tryRenew():
		h.Log.WithField("dependency", "store").Info("store heartbeat restored: restarting watches")
		return false
	}
	return lost
}

// ping makes two attempts, since one ping may be lost on a lossy link. The first attempt has the same
// timeout as the pings of the nodes that ask this one: a store that is merely slow is not
// lost, and is better asked by few nodes.
func (h Heartbeat) ping(ctx context.Context) error {
	if err := h.pingOnce(ctx, pingTimeout); err == nil {
		return nil
	}
	return h.pingOnce(ctx, h.Every)
}

func (h Heartbeat) pingOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.Store.Ping(ctx)
}
