// Package dispatch places calls on endpoints: it joins the routing decision,
// the queues and what the node sees of each endpoint.
package dispatch

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/queue"
	"github.com/lynxshed/lynxshed/fleet/routing"
)

const (
	maxQueue = 2000
	// reportMaxAge is how long a load report counts.
	reportMaxAge = 5 * time.Second
	// interactiveFresh is how long after an interactive call batch calls keep
	// to the pace that those need.
	interactiveFresh = time.Minute
	rateMemory       = 5 * time.Second
)

// Result is how an attempt went, as the endpoint's health sees it.
type Result int

// The results.
const (
	Went      Result = iota // the endpoint did its part
	Failed                  // the endpoint failed
	Untouched               // nothing was sent
)

// Ask is a call that wants an endpoint.
type Ask struct {
	Customer ident.Customer
	Service  ident.Service
	Weight   int64
	Priority catalog.Priority
	Prefix   uint64
	Cost     int64
	Excluded []ident.Endpoint
	Deadline time.Time
}

// Grant is an endpoint that a call may use until it is released.
type Grant struct {
	Choice routing.Choice
	Waited time.Duration
	batch  bool
}

// Endpoint is the chosen endpoint.
func (g Grant) Endpoint() catalog.Endpoint { return g.Choice.Target.Endpoint }

type tracker struct {
	own         int64
	ownBatch    int64
	window      routing.Window
	report      peer.Load
	reportAt    time.Time
	ownAtReport int64
	health      routing.Health
	limit       int64
}

// waiter is a queued call.
type waiter struct {
	ask    Ask
	since  time.Time
	answer chan answer
}

type answer struct {
	grant   Grant
	problem *problem.Problem
}

// Dispatcher places the calls of one node; New makes one.
type Dispatcher struct {
	zone   ident.Zone
	clock  clockwork.Clock
	events *event.Log
	random func() uint64
	nodes  func(ident.Zone) int // live nodes of a zone

	mu          sync.Mutex
	table       routing.Table
	zones       map[ident.Endpoint]ident.Zone
	queues      map[ident.Service]*serviceQueue
	trackers    map[ident.Endpoint]*tracker
	interactive time.Time // when an interactive call was last placed
}

type serviceQueue struct {
	*queue.Queue
	rate   float64 // calls placed a second, smoothed
	rateAt time.Time
}

// New makes a dispatcher without endpoints; nodes counts the live nodes of a zone.
func New(zone ident.Zone, clock clockwork.Clock, events *event.Log, random func() uint64, nodes func(ident.Zone) int) *Dispatcher {
	return &Dispatcher{
		zone: zone, clock: clock, events: events, random: random, nodes: nodes,
		zones:    map[ident.Endpoint]ident.Zone{},
		queues:   map[ident.Service]*serviceQueue{},
		trackers: map[ident.Endpoint]*tracker{},
	}
}

// Configure takes a new revision of the table.
func (d *Dispatcher) Configure(c *catalog.Catalog) {
	services := lo.Uniq(lo.FlatMap(c.AllEndpoints(), func(e catalog.Endpoint, _ int) []ident.Service { return e.Services }))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = routing.New(c, d.zone, services)
	for _, e := range c.AllEndpoints() {
		d.tracker(e.Name).limit = e.MaxInFlight
		d.zones[e.Name] = e.Zone
	}
	for s := range d.queues {
		d.pump(s)
	}
}

func (d *Dispatcher) tracker(name ident.Endpoint) *tracker {
	t, ok := d.trackers[name]
	if !ok {
		t = &tracker{}
		d.trackers[name] = t
	}
	return t
}

// Report takes endpoints' load reports.
func (d *Dispatcher) Report(loads []peer.Load) {
	nodes := map[ident.Zone]int{}
	for _, z := range lo.Uniq(lo.Map(loads, func(l peer.Load, _ int) ident.Zone { return d.zoneOf(l.Endpoint) })) {
		nodes[z] = d.nodes(z)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range loads {
		t := d.tracker(l.Endpoint)
		if l.Read <= t.report.Read {
			continue
		}
		if l.Leaving != t.report.Leaving {
			d.events.Add(event.Event{Step: event.Eject, Peer: string(l.Endpoint), Decision: lo.Ternary(l.Leaving, "gets no new work", "gets work again"), Reason: "its own report"})
		}
		t.report, t.reportAt, t.ownAtReport = l, d.clock.Now(), t.own
		t.window = t.window.WithSighting(routing.Sighting{
			At: t.reportAt, Total: l.InFlight + l.Queued, Limit: t.limit, OwnBatch: t.ownBatch,
			Nodes: nodes[d.zones[l.Endpoint]], Far: d.zones[l.Endpoint] != d.zone, Interactive: d.isInteractive(),
		})
	}
	for s := range d.queues {
		d.pump(s)
	}
}

func (d *Dispatcher) zoneOf(name ident.Endpoint) ident.Zone {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.zones[name]
}

func (d *Dispatcher) isInteractive() bool {
	return d.clock.Since(d.interactive) <= interactiveFresh
}

// Paced tells the mean time between the tokens of a stream from an endpoint.
func (d *Dispatcher) Paced(g Grant, gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tracker(g.Endpoint().Name)
	t.window = t.window.WithGap(gap)
}

func (d *Dispatcher) look(name ident.Endpoint) routing.Condition {
	t := d.tracker(name)
	now := d.clock.Now()
	c := routing.Condition{Own: t.own, Limit: t.limit, Out: t.health.Ejected(now)}
	if now.Sub(t.reportAt) <= reportMaxAge {
		c.Others = max(0, t.report.InFlight+t.report.Queued-t.ownAtReport)
		c.Out = c.Out || t.report.Leaving || t.report.Down
	}
	c.NoBatch = c.Own+c.Others >= routing.BatchLimit(t.limit) || !t.window.Allows(t.ownBatch, d.chance())
	return c
}

// chance is a random number from 0 to 1.
func (d *Dispatcher) chance() float64 { return float64(d.random()>>11) / (1 << 53) }

// Acquire waits for an endpoint until the deadline; it refuses at once where
// the wait would be too long.
func (d *Dispatcher) Acquire(ctx context.Context, ask Ask) (Grant, *problem.Problem) {
	d.mu.Lock()
	q := d.queue(ask.Service)
	if q.Ahead(ask.Priority) == 0 {
		if grant, full := d.place(ask); full == routing.Chosen {
			d.mu.Unlock()
			return grant, nil
		} else if full == routing.NoEndpoint {
			d.mu.Unlock()
			return Grant{}, problem.New(problem.NoEndpoint, "no endpoint that serves "+string(ask.Service)+" takes work now")
		}
	}
	if wait := q.estimate(ask, d.clock.Now()); d.clock.Now().Add(wait).After(ask.Deadline) {
		d.mu.Unlock()
		return Grant{}, problem.New(problem.Overloaded, "the wait would outlast the deadline").WithRetryAfter(wait)
	}
	w := &waiter{ask: ask, since: d.clock.Now(), answer: make(chan answer, 1)}
	item := &queue.Item{Customer: ask.Customer, Weight: ask.Weight, Priority: ask.Priority, Deadline: ask.Deadline, Cost: ask.Cost, Value: w}
	shed := q.Push(item)
	if shed != nil {
		shed.Value.(*waiter).answer <- answer{problem: problem.New(problem.Overloaded, "the queue is full")}
	}
	d.mu.Unlock()
	return d.await(ctx, q, item, w)
}

func (d *Dispatcher) await(ctx context.Context, q *serviceQueue, item *queue.Item, w *waiter) (Grant, *problem.Problem) {
	timer := d.clock.NewTimer(w.ask.Deadline.Sub(d.clock.Now()))
	defer timer.Stop()
	var refusal *problem.Problem
	select {
	case a := <-w.answer:
		return a.grant, a.problem
	case <-timer.Chan():
		refusal = problem.New(problem.DeadlinePassed, "no endpoint was free before the deadline")
	case <-ctx.Done():
		refusal = problem.New(problem.Cancelled, "the caller left while the request waited")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case a := <-w.answer: // placed in the same moment
		if a.problem == nil {
			d.release(a.grant, Untouched)
		}
	default:
		q.Remove(item)
	}
	return Grant{}, refusal
}

func (d *Dispatcher) queue(s ident.Service) *serviceQueue {
	q, ok := d.queues[s]
	if !ok {
		q = &serviceQueue{Queue: queue.New(maxQueue)}
		d.queues[s] = q
	}
	return q
}

// place chooses an endpoint and counts the call on it.
func (d *Dispatcher) place(ask Ask) (Grant, routing.Full) {
	query := routing.Query{Service: ask.Service, Priority: ask.Priority, Prefix: ask.Prefix, Excluded: ask.Excluded, Random: d.random()}
	choice, full := d.table.Choose(query, d.look)
	if full != routing.Chosen {
		return Grant{}, full
	}
	t := d.tracker(choice.Target.Name)
	t.own++
	batch := ask.Priority == catalog.Batch
	if batch {
		t.ownBatch++
	}
	now := d.clock.Now()
	if t.health.NeedsProbe(now) {
		t.health = t.health.WithProbe()
	}
	if !batch {
		d.interactive = now
	}
	d.queue(ask.Service).placed(now)
	return Grant{Choice: choice, batch: batch}, routing.Chosen
}

// Release gives an endpoint back.
func (d *Dispatcher) Release(g Grant, r Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(g, r)
	for _, s := range g.Endpoint().Services {
		d.pump(s)
	}
}

func (d *Dispatcher) release(g Grant, r Result) {
	t := d.tracker(g.Endpoint().Name)
	t.own = max(0, t.own-1)
	if g.batch {
		t.ownBatch = max(0, t.ownBatch-1)
	}
	before := t.health.Ejected(d.clock.Now())
	switch r {
	case Went:
		t.health = t.health.WithSuccess()
	case Failed:
		t.health = t.health.WithFailure(d.clock.Now())
	case Untouched:
	}
	if after := t.health.Ejected(d.clock.Now()); after && !before {
		d.events.Add(event.Event{Step: event.Eject, Peer: string(g.Endpoint().Name), Decision: "ejected", Reason: "failures in a row"})
	}
}

// Pump places what can be placed in every queue; the runtime calls it now and
// then since reports age.
func (d *Dispatcher) Pump() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.queues {
		d.pump(s)
	}
}

func (d *Dispatcher) pump(s ident.Service) {
	q, ok := d.queues[s]
	if !ok {
		return
	}
	for {
		item := q.Next("")
		if item == nil {
			return
		}
		w := item.Value.(*waiter)
		grant, full := d.place(w.ask)
		if full == routing.AllBusy {
			return
		}
		q.Take(item)
		if full == routing.NoEndpoint {
			w.answer <- answer{problem: problem.New(problem.NoEndpoint, "no endpoint that serves "+string(s)+" takes work now")}
			continue
		}
		grant.Waited = d.clock.Since(w.since)
		w.answer <- answer{grant: grant}
	}
}

func (q *serviceQueue) placed(at time.Time) {
	if !q.rateAt.IsZero() {
		q.rate *= math.Exp(-at.Sub(q.rateAt).Seconds() / rateMemory.Seconds())
	}
	q.rate += 1 / rateMemory.Seconds()
	q.rateAt = at
}

// estimate is how long a new call would wait, 0 where nothing is known.
func (q *serviceQueue) estimate(ask Ask, at time.Time) time.Duration {
	ahead := q.Ahead(ask.Priority)
	if q.rate <= 0 || ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / q.rate * float64(time.Second))
}

// Waiting is how many calls wait for a service here.
func (d *Dispatcher) Waiting(s ident.Service) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q, ok := d.queues[s]; ok {
		return q.Len()
	}
	return 0
}

// State is how an endpoint looks from this node.
type State struct {
	Name     ident.Endpoint `json:"name"`
	Zone     ident.Zone     `json:"zone"`
	State    string         `json:"state"`
	InFlight int64          `json:"inFlight"`
}

// States lists the endpoints of a catalog as this node sees them.
func (d *Dispatcher) States(c *catalog.Catalog) []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	return lo.Map(c.AllEndpoints(), func(e catalog.Endpoint, _ int) State {
		t := d.tracker(e.Name)
		s := State{Name: e.Name, Zone: e.Zone, State: "live", InFlight: max(t.own, t.report.InFlight)}
		fresh := now.Sub(t.reportAt) <= reportMaxAge
		switch {
		case e.Leaving || (fresh && t.report.Leaving):
			s.State = "leaving"
		case t.health.Ejected(now):
			s.State = "ejected"
		case fresh && t.report.Down:
			s.State = "down"
		case !fresh:
			s.State = "unheard"
		}
		return s
	})
}
