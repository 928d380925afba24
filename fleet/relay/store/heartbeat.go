package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// Heartbeat pings the store for a node that watches it for others, so that it feels within
// a moment that the store is lost: a watch that is sent into silence says nothing until
// it ends, and meanwhile this node would tell those who ask it that nothing has changed,
// though they may reach the store themselves.
type Heartbeat struct {
	Store  Store
	Every  time.Duration // between two pings
	Serves func() bool   // whether others ask this node
	Lost   func(error)   // told after each beat that finds the store lost
	Health *Health       // watches are sent anew once the store is back
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

// beat is whether the store is lost, given whether it was. It counts as lost until the
// watches are sent anew, so that none of those sent into the silence is left.
func (h Heartbeat) beat(ctx context.Context, lost bool) bool {
	err := h.ping(ctx)
	switch {
	case ctx.Err() != nil:
		return lost
	case err != nil:
		h.Lost(err)
		if !lost {
			h.Log.WithField("dependency", "store").WithError(err).Warn("heartbeat lost: nodes that ask this one are told so")
		}
		return true
	case lost && h.Health.tryRenew():
		h.Log.WithField("dependency", "store").Info("heartbeat back: watches are sent anew")
		return false
	}
	return lost
}

// ping asks twice, since one ping may be lost on a link that loses packets. The first one
// has as long as those have with which nodes that ask this one would try the store: one
// that is merely slow is not lost, and better asked by few.
func (h Heartbeat) ping(ctx context.Context) error {
	if err := h.once(ctx, pingTimeout); err == nil {
		return nil
	}
	return h.once(ctx, h.Every)
}

func (h Heartbeat) once(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.Store.Ping(ctx)
}
