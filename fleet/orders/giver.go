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
	// Load orders an engine to load a model. An engine that checks fences refuses one
	// that is older than the newest it has received.
	Load(ctx context.Context, e Engine, fence int64, model string) error
}

// Dependencies are the components that a Giver uses.
type Dependencies struct {
	Self    func() ident.Incarnation
	Zone    ident.Zone
	Store   platform.Store
	Sender  Sender
	Gone    func(ident.Incarnation) bool
	Engines func() []Engine        // of the zone
	Waiting func(model string) int // calls that wait for the model
	Leads   func() bool            // whether this node should give the zone's orders
	Now     func() time.Time
	Events  *event.Log
}

// Giver makes one node's decisions on orders and carries them out; New creates it.
type Giver struct {
	Dependencies
	lease         Lease
	version       platform.Version
	read          bool      // lease and version are up to date
	previousUntil time.Time // end of the lease taken over from another node
	lastOrder     time.Time
}

// New creates a Giver.
func New(d Dependencies) *Giver { return &Giver{Dependencies: d} }

// Step makes one decision and carries it out. One goroutine calls it periodically.
func (g *Giver) Step(ctx context.Context) error {
	engines := g.Engines()
	if !g.Leads() || len(engines) == 0 {
		g.read = false
		return nil
	}
	if err := g.refresh(ctx); err != nil {
		return err
	}
	in := Input{
		At: g.Now(), Self: g.Self(), Lease: g.lease, Version: g.version, GiverGone: g.Gone(g.lease.Giver),
		PreviousUntil: g.previousUntil, LastOrder: g.lastOrder, Engines: engines, Waiting: g.Waiting,
	}
	switch effect := Decide(in).(type) {
	case TakeLease:
		return g.take(ctx, effect)
	case SendOrder:
		return g.give(ctx, effect, engines)
	default:
		return nil
	}
}

// refresh reads the lease unless this node holds it and its copy is up to date.
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

func (g *Giver) take(ctx context.Context, t TakeLease) error {
	old := g.lease
	if err := g.put(ctx, t.Lease); err != nil {
		return err
	}
	if old.Giver != "" && old.Giver != g.Self() {
		g.previousUntil = old.Until
		g.Events.Add(event.Event{Step: event.Order, Peer: string(old.Giver), Decision: "took over the zone's orders", Reason: "its lease is over"})
	}
	return nil
}

// put writes the lease. After a conflict or a lost answer the next step reads it again.
func (g *Giver) put(ctx context.Context, l Lease) error {
	version, err := g.Store.Put(ctx, Key(g.Zone), g.version, l)
	if err != nil {
		g.read = false
		return errors.Wrap(err, "write lease of orders")
	}
	g.lease, g.version = l, version
	return nil
}

// give fetches the weights, sends the order and records it in the lease. An order whose record
// is lost is sent again: loading a model twice has no effect.
func (g *Giver) give(ctx context.Context, order SendOrder, engines []Engine) error {
	g.lastOrder = g.Now()
	if err := g.Store.Weights(ctx, order.Load.Model); err != nil {
		return errors.Wrapf(err, "weights of %s", order.Load.Model)
	}
	if err := g.Sender.Load(ctx, order.Engine, int64(order.Fence), order.Load.Model); err != nil {
		g.read = false // the engine may have received a newer fence
		return err
	}
	g.Events.Add(event.Event{Step: event.Order, Peer: string(order.Engine.Name), Decision: "told to load " + order.Load.Model, Reason: "its row asks for it"})
	return g.put(ctx, g.lease.WithDone(order.Load, engines))
}
