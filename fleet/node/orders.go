package node

import (
	"context"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/keeper"
	"github.com/lynxshed/lynxshed/fleet/orders"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

const (
	// orderSlot is the slot whose first-ranked node gives the orders of a zone.
	orderSlot  ident.Slot = -2
	orderEvery            = time.Second
)

// orderSender sends orders to engines over the backend client.
type orderSender struct{ client *backend.Client }

// Load implements orders.Sender.
func (s orderSender) Load(ctx context.Context, e orders.Engine, fence int64, model string) error {
	return s.client.OrderLoad(ctx, e.Name, e.URL, fence, model)
}

func provideGiver(i do.Injector) (*orders.Giver, error) {
	n := do.MustInvoke[*Node](i)
	n.giver = orders.New(orders.Dependencies{
		Self:    do.MustInvoke[*keeper.Keeper](i).Incarnation,
		Zone:    n.self.Zone,
		Store:   do.MustInvoke[*platform.Monitored](i),
		Sender:  orderSender{client: do.MustInvoke[*backend.Client](i)},
		Gone:    func(i ident.Incarnation) bool { return i != "" && n.View().Gone(i) },
		Engines: n.zoneEngines,
		Waiting: n.waitingFor,
		Leads:   n.leadsOrders,
		Now:     n.clock.Now,
		Events:  n.events,
	})
	return n.giver, nil
}

// zoneEngines returns the engines of the node's zone with the models that their rows require.
func (n *Node) zoneEngines() []orders.Engine {
	c := n.inForce.Catalog()
	return lo.FilterMap(c.AllEndpoints(), func(e catalog.Endpoint, _ int) (orders.Engine, bool) {
		models := lo.FilterMap(c.Models(), func(m catalog.Model, _ int) (string, bool) { return m.Name, lo.Contains(e.Services, m.Service) })
		return orders.Engine{Name: e.Name, URL: e.URL, ChecksFence: e.ChecksFence, Models: models}, e.Zone == n.self.Zone && len(models) > 0 && !e.Leaving
	})
}

// waitingFor returns how many calls wait for a model.
func (n *Node) waitingFor(model string) int {
	m, ok := n.inForce.Catalog().Model(model)
	if !ok {
		return 0
	}
	return n.dispatch.Waiting(m.Service)
}

// leadsOrders reports whether this node should give the orders of its zone.
func (n *Node) leadsOrders() bool {
	rank := n.View().Rank(n.self.Zone, orderSlot, n.clock.Now())
	return len(rank) > 0 && rank[0].Node == n.self.Node && !n.draining()
}

// giveOrders runs one step of the zone's orders.
func (n *Node) giveOrders(ctx context.Context) {
	if err := n.giver.Step(ctx); err != nil && ctx.Err() == nil {
		n.log.WithError(err).Debug("engine orders delayed")
	}
}
