package orders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

// Sender sends orders to engines.
type Sender interface {
	// Load tells an engine to load a model; an engine that checks refuses an
	// older fence than it has seen.
	Load(ctx context.Context, e Engine, fence int64, model string) error
}

// Parts are what a giver works with.
type Parts struct {
	Self    func() ident.Incarnation
	Zone    ident.Zone
	Store   platform.Store
	Sender  Sender
	Gone    func(ident.Incarnation) bool
	Engines func() []Engine // of the zone
	Waiting func(model string) int
	Leads   func() bool // whether this node should give the zone's orders
	Now     func() time.Time
	Events  *event.Log
}

// Giver carries out the decisions of one node; New makes one.
type Giver struct {
	Parts
	lease   Lease
	version platform.Version
	read    bool
	before  time.Time
	moved   time.Time
}

// New makes a giver.
func New(p Parts) *Giver { return &Giver{Parts: p} }

// Step makes one decision and carries it out. It is called now and then by one goroutine.
func (g *Giver) Step(ctx context.Context) error {
	engines := g.Engines()
	if !g.Leads() || len(engines) == 0 {
		g.read = false
		return nil
	}
	if err := g.refresh(ctx); err != nil {
		return err
	}
	seen := Seen{
		At: g.Now(), Self: g.Self(), Lease: g.lease, Version: g.version, GiverGone: g.Gone(g.lease.Giver),
		Before: g.before, Moved: g.moved, Engines: engines, Waiting: g.Waiting,
	}
	switch effect := Decide(seen).(type) {
	case Take:
		return g.take(ctx, effect)
	case Give:
		return g.give(ctx, effect, engines)
	default:
		return nil
	}
}

// refresh reads the lease where what is known of it may be old.
func (g *Giver) refresh(ctx context.Context) error {
	if g.read && g.lease.Giver == g.Self() {
		return nil
	}
	o, err := g.Store.Get(ctx, Key(g.Zone))
	if errors.Is(err, platform.ErrNotFound) {
		g.lease, g.version, g.read = Lease{}, 0, true
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read lease of orders")
	}
	var l Lease
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return errors.Wrap(err, "decode lease of orders")
	}
	g.lease, g.version, g.read = l, o.Version, true
	return nil
}

func (g *Giver) take(ctx context.Context, t Take) error {
	old := g.lease
	if err := g.put(ctx, t.Lease); err != nil {
		return err
	}
	if old.Giver != "" && old.Giver != g.Self() {
		g.before = old.Until
		g.Events.Add(event.Event{Step: event.Order, Peer: string(old.Giver), Decision: "took over the zone's orders", Reason: "its lease is over"})
	}
	return nil
}

// put writes the lease; after a conflict or a lost answer it is read again.
func (g *Giver) put(ctx context.Context, l Lease) error {
	version, err := g.Store.Put(ctx, Key(g.Zone), g.version, l)
	if err != nil {
		g.read = false
		return errors.Wrap(err, "write lease of orders")
	}
	g.lease, g.version = l, version
	return nil
}

// give fetches the weights, sends the order and notes it. An order whose note is
// lost is given again: loading twice changes nothing.
func (g *Giver) give(ctx context.Context, order Give, engines []Engine) error {
	g.moved = g.Now()
	if err := g.Store.Weights(ctx, order.Load.Model); err != nil {
		return errors.Wrapf(err, "weights of %s", order.Load.Model)
	}
	if err := g.Sender.Load(ctx, order.Engine, int64(order.Fence), order.Load.Model); err != nil {
		g.read = false // the engine may have seen a newer fence
		return err
	}
	g.Events.Add(event.Event{Step: event.Order, Peer: string(order.Engine.Name), Decision: "told to load " + order.Load.Model, Reason: "its row asks for it"})
	return g.put(ctx, g.lease.WithDone(order.Load, engines))
}
