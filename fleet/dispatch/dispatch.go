// Package dispatch places calls on endpoints. It combines the routing decision,
// the queues of waiting calls and the load and health of each endpoint as this node observes them.
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
	maxQueue = 2000 // waiting calls of one service
	// loadMaxAge is how long a load report is used after it arrives.
	loadMaxAge = 5 * time.Second
	// interactiveMaxAge is how long after the last interactive call batch calls
	// are limited so that interactive streams keep their token rate.
	interactiveMaxAge = time.Minute
	// rateTimeConstant is the time constant of the decaying placement rate.
	rateTimeConstant = 5 * time.Second
)

// Result is the outcome of an attempt, as recorded in the endpoint's health.
type Result int

// The results of an attempt.
const (
	Succeeded Result = iota // the endpoint is not at fault
	Failed                  // the endpoint failed
	NotSent                 // nothing was sent to the endpoint
)

// Request describes a call that needs an endpoint.
type Request struct {
	Customer ident.Customer
	Service  ident.Service
	Weight   int64
	Priority catalog.Priority
	Prefix   uint64
	Cost     int64
	Excluded []ident.Endpoint
	Deadline time.Time
}

// Grant is the right of a call to use an endpoint until Release.
type Grant struct {
	Choice routing.Choice
	Waited time.Duration
	batch  bool
}

// Endpoint returns the chosen endpoint.
func (g Grant) Endpoint() catalog.Endpoint { return g.Choice.Target.Endpoint }

// tracker holds what this node knows of one endpoint.
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
	req   Request
	since time.Time
	reply chan reply
}

type reply struct {
	grant   Grant
	problem *problem.Problem
}

// Dispatcher places the calls of one node. It is created by New.
type Dispatcher struct {
	zone   ident.Zone
	clock  clockwork.Clock
	events *event.Log
	random func() uint64
	nodes  func(ident.Zone) int // number of live nodes in a zone

	mu              sync.Mutex
	table           routing.Table
	zones           map[ident.Endpoint]ident.Zone
	queues          map[ident.Service]*serviceQueue
	trackers        map[ident.Endpoint]*tracker
	lastInteractive time.Time // when the last interactive call was placed
}

type serviceQueue struct {
	*queue.Queue
	rate   float64 // calls placed per second, exponentially smoothed
	rateAt time.Time
}

// New returns a dispatcher without endpoints; nodes returns the number of live nodes in a zone.
func New(zone ident.Zone, clock clockwork.Clock, events *event.Log, random func() uint64, nodes func(ident.Zone) int) *Dispatcher {
	return &Dispatcher{
		zone: zone, clock: clock, events: events, random: random, nodes: nodes,
		zones:    map[ident.Endpoint]ident.Zone{},
		queues:   map[ident.Service]*serviceQueue{},
		trackers: map[ident.Endpoint]*tracker{},
	}
}

// Configure applies a new revision of the table.
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

// RecordLoads records load reports of endpoints and places queued calls that now fit.
func (d *Dispatcher) RecordLoads(loads []peer.Load) {
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
		t.window = t.window.WithObservation(routing.Observation{
			At: t.reportAt, Calls: l.InFlight + l.Queued, Limit: t.limit, OwnBatch: t.ownBatch,
			Nodes: nodes[d.zones[l.Endpoint]], Remote: d.zones[l.Endpoint] != d.zone, Interactive: d.isInteractive(),
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
	return d.clock.Since(d.lastInteractive) <= interactiveMaxAge
}

// RecordTokenInterval records the mean time between the tokens of a stream from an endpoint.
func (d *Dispatcher) RecordTokenInterval(g Grant, interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tracker(g.Endpoint().Name)
	t.window = t.window.WithInterval(interval)
}

func (d *Dispatcher) condition(name ident.Endpoint) routing.Condition {
	t := d.tracker(name)
	now := d.clock.Now()
	c := routing.Condition{Own: t.own, Limit: t.limit, Unavailable: t.health.Ejected(now)}
	if now.Sub(t.reportAt) <= loadMaxAge {
		c.Others = max(0, t.report.InFlight+t.report.Queued-t.ownAtReport)
		c.Unavailable = c.Unavailable || t.report.Leaving || t.report.Down
	}
	c.NoBatch = c.Own+c.Others >= routing.BatchLimit(t.limit) || !t.window.Allows(t.ownBatch, d.randomFloat())
	return c
}

// randomFloat returns a random number in [0, 1).
func (d *Dispatcher) randomFloat() float64 { return float64(d.random()>>11) / (1 << 53) }

// Acquire waits for an endpoint until the deadline. It refuses the call at once if
// the estimated wait would pass the deadline.
func (d *Dispatcher) Acquire(ctx context.Context, req Request) (Grant, *problem.Problem) {
	d.mu.Lock()
	q := d.queue(req.Service)
	if q.Ahead(req.Priority) == 0 {
		if grant, outcome := d.place(req); outcome == routing.Chosen {
			d.mu.Unlock()
			return grant, nil
		} else if outcome == routing.NoEndpoint {
			d.mu.Unlock()
			return Grant{}, problem.New(problem.NoEndpoint, "no endpoint that serves "+string(req.Service)+" takes work now")
		}
	}
	if wait := q.estimate(req, d.clock.Now()); d.clock.Now().Add(wait).After(req.Deadline) {
		d.mu.Unlock()
		return Grant{}, problem.New(problem.Overloaded, "the wait would outlast the deadline").WithRetryAfter(wait)
	}
	w := &waiter{req: req, since: d.clock.Now(), reply: make(chan reply, 1)}
	item := &queue.Item{Customer: req.Customer, Weight: req.Weight, Priority: req.Priority, Deadline: req.Deadline, Cost: req.Cost, Value: w}
	shed := q.Push(item)
	if shed != nil {
		shed.Value.(*waiter).reply <- reply{problem: problem.New(problem.Overloaded, "the queue is full")}
	}
	d.mu.Unlock()
	return d.await(ctx, q, item, w)
}

func (d *Dispatcher) await(ctx context.Context, q *serviceQueue, item *queue.Item, w *waiter) (Grant, *problem.Problem) {
	timer := d.clock.NewTimer(w.req.Deadline.Sub(d.clock.Now()))
	defer timer.Stop()
	var refusal *problem.Problem
	select {
	case r := <-w.reply:
		return r.grant, r.problem
	case <-timer.Chan():
		refusal = problem.New(problem.DeadlinePassed, "no endpoint was free before the deadline")
	case <-ctx.Done():
		refusal = problem.New(problem.Cancelled, "the caller left while the request waited")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case r := <-w.reply: // placed at the same moment
		if r.problem == nil {
			d.release(r.grant, NotSent)
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

// place chooses an endpoint and counts the call as in flight there.
func (d *Dispatcher) place(req Request) (Grant, routing.Outcome) {
	query := routing.Query{Service: req.Service, Priority: req.Priority, Prefix: req.Prefix, Excluded: req.Excluded, Random: d.random()}
	choice, outcome := d.table.Choose(query, d.condition)
	if outcome != routing.Chosen {
		return Grant{}, outcome
	}
	t := d.tracker(choice.Target.Name)
	t.own++
	batch := req.Priority == catalog.Batch
	if batch {
		t.ownBatch++
	}
	now := d.clock.Now()
	if t.health.NeedsProbe(now) {
		t.health = t.health.WithProbe()
	}
	if !batch {
		d.lastInteractive = now
	}
	d.queue(req.Service).placed(now)
	return Grant{Choice: choice, batch: batch}, routing.Chosen
}

// Release ends the use of an endpoint, records the result and places queued calls.
func (d *Dispatcher) Release(g Grant, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(g, result)
	for _, s := range g.Endpoint().Services {
		d.pump(s)
	}
}

func (d *Dispatcher) release(g Grant, result Result) {
	t := d.tracker(g.Endpoint().Name)
	t.own = max(0, t.own-1)
	if g.batch {
		t.ownBatch = max(0, t.ownBatch-1)
	}
	before := t.health.Ejected(d.clock.Now())
	switch result {
	case Succeeded:
		t.health = t.health.WithSuccess()
	case Failed:
		t.health = t.health.WithFailure(d.clock.Now())
	case NotSent:
	}
	if after := t.health.Ejected(d.clock.Now()); after && !before {
		d.events.Add(event.Event{Step: event.Eject, Peer: string(g.Endpoint().Name), Decision: "ejected", Reason: "failures in a row"})
	}
}

// Pump places the calls of every queue that can be placed. The runtime calls it
// periodically, because load reports expire.
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
		grant, outcome := d.place(w.req)
		if outcome == routing.AllBusy {
			return
		}
		q.Take(item)
		if outcome == routing.NoEndpoint {
			w.reply <- reply{problem: problem.New(problem.NoEndpoint, "no endpoint that serves "+string(s)+" takes work now")}
			continue
		}
		grant.Waited = d.clock.Since(w.since)
		w.reply <- reply{grant: grant}
	}
}

func (q *serviceQueue) placed(at time.Time) {
	if !q.rateAt.IsZero() {
		q.rate *= math.Exp(-at.Sub(q.rateAt).Seconds() / rateTimeConstant.Seconds())
	}
	q.rate += 1 / rateTimeConstant.Seconds()
	q.rateAt = at
}

// estimate returns how long a new call is expected to wait, or 0 if no rate is known.
func (q *serviceQueue) estimate(req Request, at time.Time) time.Duration {
	ahead := q.Ahead(req.Priority)
	if q.rate <= 0 || ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / q.rate * float64(time.Second))
}

// Waiting returns the number of calls queued for a service on this node.
func (d *Dispatcher) Waiting(s ident.Service) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q, ok := d.queues[s]; ok {
		return q.Len()
	}
	return 0
}

// State is the state of an endpoint as observed by this node.
type State struct {
	Name     ident.Endpoint `json:"name"`
	Zone     ident.Zone     `json:"zone"`
	State    string         `json:"state"`
	InFlight int64          `json:"inFlight"`
}

// States lists the endpoints of a catalog with the state observed by this node.
func (d *Dispatcher) States(c *catalog.Catalog) []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	return lo.Map(c.AllEndpoints(), func(e catalog.Endpoint, _ int) State {
		t := d.tracker(e.Name)
		s := State{Name: e.Name, Zone: e.Zone, State: "live", InFlight: max(t.own, t.report.InFlight)}
		fresh := now.Sub(t.reportAt) <= loadMaxAge
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
