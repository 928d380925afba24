package store

import (
	"context"
	"time"

	"github.com/apex/log"
)

// Pulse pings the store for a node that watches it for others, so that it feels within
// a moment that the store is lost: a watch that is sent into silence says nothing until
// it ends, and meanwhile this node would tell those who ask it that nothing has changed,
// though they may reach the store themselves.
type Pulse struct {
	Store  Store
	Every  time.Duration // between two pings
	Serves func() bool   // whether others ask this node
	Lost   func(error)   // told after each beat that finds the store lost
	Health *Health       // watches are sent anew once the store is back
	Log    log.Interface
}

// Run pings until ctx ends.
func (p Pulse) Run(ctx context.Context) {
	lost := false
	for pause(ctx, Jittered(p.Every)); ctx.Err() == nil; pause(ctx, p.Every) {
		if !p.Serves() {
			lost = false
			continue
		}
		lost = p.beat(ctx, lost)
	}
}

// beat is whether the store is lost, given whether it was. It counts as lost until the
// watches are sent anew, so that none of those sent into the silence is left.
func (p Pulse) beat(ctx context.Context, lost bool) bool {
	err := p.ping(ctx)
	switch {
	case ctx.Err() != nil:
		return lost
	case err != nil:
		p.Lost(err)
		if !lost {
			p.Log.WithField("dependency", "store").WithError(err).Warn("pulse lost: nodes that ask this one are told so")
		}
		return true
	case lost && p.Health.tryRenew():
		p.Log.WithField("dependency", "store").Info("pulse back: watches are sent anew")
		return false
	}
	return lost
}

// ping asks twice, since one ping may be lost on a link that loses packets. The first one
// has as long as those have with which nodes that ask this one would try the store: one
// that is merely slow is not lost, and better asked by few.
func (p Pulse) ping(ctx context.Context) error {
	if err := p.once(ctx, pingTimeout); err == nil {
		return nil
	}
	return p.once(ctx, p.Every)
}

func (p Pulse) once(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.Store.Ping(ctx)
}
