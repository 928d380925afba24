package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

const (
	step           = 50 * time.Millisecond
	roundEvery     = 5 // steps between two rounds in which nodes tell and the decider ticks
	contact        = 4 * time.Second
	modelZones     = 3
	made           = 10
	maxSendDelay   = 300 * time.Millisecond // from a node to the delegates, and back
	maxStatusDelay = 600 * time.Millisecond // from a write to the last node's view of it
	loadRetention  = 0.9                    // of what an endpoint got a step before: its load builds up in half a second
	fewEndpoints   = 6
	playedAfter    = 3 * time.Second // played after the deadline, for ends that come late
)

// outcome is what a roll-out came to.
type outcome struct {
	scenario
	state       State
	endedAt     time.Duration // when the state that lasts was written
	calls       int           // that reached the service until the deadline
	exposed     int           // of them to the target from nodes in touch
	sent        int           // of them to the target from any node, also one that has just started
	badAnswers  int
	afterBad    int           // calls to the target later than the rollback after the 50th bad answer
	dropped     time.Duration // from the 50th bad answer to the last call to the target
	moved       time.Duration // when the move began
	interrupted int           // that ran at old endpoints when they stopped
	writes      int           // asked for
	stored      int
	why         string
	lost        bool // all nodes ended while calls moved
	stalled     bool // nodes stood still while calls moved
}

func (o outcome) overExposed(rule Rule) bool {
	return float64(o.exposed) > rule.Share*float64(o.calls)+float64(rule.Tolerance)
}

// overSent is overExposed with no node left out: callers get what nodes send that have just
// started, too.
func (o outcome) overSent(rule Rule) bool {
	return float64(o.sent) > rule.Share*float64(o.calls)+float64(rule.Tolerance)
}

func (o outcome) String() string {
	return fmt.Sprintf("%s: state %d at %s, moved at %s, exposed %d (%d with nodes just started) of %d, %d bad answers, %d after, dropped %s, cut %d, writes %d, why %s", o.scenario,
		o.state, o.endedAt.Round(step), o.moved.Round(step), o.exposed, o.sent, o.calls, o.badAnswers, o.afterBad, o.dropped.Round(step), o.interrupted, o.writes, o.why)
}

// seen is a status that a node comes to know.
type statusUpdate struct {
	at     time.Duration
	status Status
	rev    store.Revision
	found  bool
}

type modelNode struct {
	zone           int
	incarnation    int
	upAt           time.Duration // it takes no calls before
	reachableSince time.Duration // since when it has been whole
	plan           Plan
	lists          *Lists
	updates        []statusUpdate
	warnAt         time.Duration // when it hears that the target is bad; 0: not
	recorder       *Recorder
	stall          span     // in which its process stands still
	queued         []func() // calls that wait in its sockets meanwhile
}

// play is one roll-out as it goes.
type play struct {
	scenario
	rule            Rule
	rand            *rand.Rand
	now             time.Duration
	nodes           []modelNode
	engines         []engine.Engine
	unhealthy       [2]uint64 // hash of an ill endpoint of the old version and of the target
	lists           map[store.Revision]*Lists
	decider         Decider
	gathered        *Gathered
	evidenceQueue   []func() // to the decider, by the next rounds
	status          Status
	revision        store.Revision
	pendingWrites   []func()
	ends            [][]answer         // by step modulo its length
	inFlight        int                // at old endpoints
	inFlightHistory []int              // of the last rounds
	recentLoad      map[uint64]float64 // calls a second of late, by endpoint of the target
	callsByEndpoint map[uint64]int
	fiftieth        time.Duration
	out             outcome
	test            evidenceTest
	cohorts         int      // of the target's endpoints
	windows         *windows // judge in place of the decider
	early           bool     // the move begins as soon as rates are known
	loss            *loss    // nil: none that depends on how far the order has come
	stall           *stall   // nil: none
}

// loss is the end of all nodes while calls move; the version turns bad shortly before.
type loss struct {
	into    time.Duration // the move
	version fault         // from then on; the zero value is a good one
	over    bool
}

// turnsBefore is how long before the loss a version turns bad: nobody has judged it by then.
const badBeforeLoss = 300 * time.Millisecond

func (p *play) applyLoss() {
	if p.loss == nil || p.loss.over || p.out.moved == 0 || p.now < p.out.moved+p.loss.into || p.status.State != InProgress {
		return
	}
	p.loss.over, p.out.lost = true, true
	if p.loss.version != (fault{}) {
		p.version = p.loss.version
		p.version.since = p.now - badBeforeLoss
		p.out.scenario = p.scenario
	}
	p.endAll()
}

func newPlay(d scenario, rule Rule, vary func(*play)) *play {
	p := &play{scenario: d, test: likelihood, rule: rule.OrDefaults(), rand: rand.New(rand.NewPCG(d.seed, 36)), engines: modelEngines(d),
		lists: map[store.Revision]*Lists{}, ends: make([][]answer, int(30*time.Second/step)), callsByEndpoint: map[uint64]int{}, recentLoad: map[uint64]float64{}, out: outcome{scenario: d}}
	for _, e := range p.engines {
		if e.Version == "v1" {
			p.unhealthy[0] = e.Hash
		}
	}
	p.cohorts = len(lo.CountValuesBy(p.engines, func(e engine.Engine) int { return lo.Ternary(e.Version == "v2", CohortOf(e.Hash), -1) })) - 1
	p.revision = made
	p.nodes = make([]modelNode, d.nodes)
	for i := range p.nodes {
		p.nodes[i].zone = i % modelZones
		p.nodes[i].reachableSince = -time.Minute
		p.nodes[i].recorder = NewRecorder(p.order())
		p.learn(i, statusUpdate{rev: made})
	}
	tried := p.listsOf(Status{State: InProgress, Target: "v2", Share: 0.08}, 0).Sampled
	p.unhealthy[1] = tried[p.rand.IntN(min(3, len(tried)))].Hash
	if vary != nil {
		vary(p)
	}
	p.newDecider(false)
	return p
}

func (p *play) order() Order { return Order{"svc", "v2", p.duration, made} }

func (p *play) time() time.Time { return epoch.Add(p.now) }

// newDecider lets another node decide. If it has followed the order, it knows how old
// the status is.
func (p *play) newDecider(found bool) {
	p.decider = NewDecider(p.rule)
	p.gathered = NewGathered("svc", made)
	r := p.rollout(p.status, p.revision, found)
	if !found {
		r.Learned = epoch.Add(p.out.endedAt)
	}
	p.handle(Learned{r, p.time()})
	p.decider.judge.test = p.test
}

func (p *play) rollout(s Status, revision store.Revision, found bool) Rollout {
	return Rollout{Order: p.order(), Status: s, Revision: revision, Learned: p.time(), Found: found}
}

func (p *play) listsOf(s Status, revision store.Revision) *Lists {
	if l, ok := p.lists[revision]; ok && revision != 0 {
		return l
	}
	set := Set{}.At(100).With("a", p.rollout(s, revision, false))
	l := Split(p.engines, set, "svc")
	p.lists[revision] = &l
	return &l
}

func (p *play) learn(i int, s statusUpdate) {
	n := &p.nodes[i]
	n.recorder.Refer(s.status.Usual)
	bad := n.plan.bad
	n.plan = NewPlan(p.rollout(s.status, s.rev, s.found))
	if bad {
		n.plan = n.plan.WithBad()
	}
	n.lists = p.listsOf(s.status, s.rev)
}

// run plays a roll-out to its end.
func (p *play) run() outcome {
	for i := 0; p.now < p.duration+playedAfter; i++ {
		p.now = time.Duration(i) * step
		p.applyTroubles()
		p.deliver()
		p.deliverAnswers(i)
		p.arrivals(i)
		if i%roundEvery == 0 {
			p.round()
		}
	}
	p.out.state = p.status.State
	if p.status.Target == "" {
		p.out.state = Ordered
	}
	return p.out
}

func (p *play) partitioned(zone int) bool { return zone == 0 && p.partition.holds(p.now) }

// happen restarts nodes, and marks those that are cut off.
func (p *play) applyTroubles() {
	during := span{p.now, p.now + step}
	for _, at := range p.restarts {
		if during.holds(at) {
			p.restart(p.rand.IntN(len(p.nodes)))
		}
	}
	if p.deciderEnds > 0 && during.holds(p.deciderEnds) {
		p.restart(0)
		if p.rand.IntN(2) == 0 { // the next one has not judged until now
			p.newDecider(false)
		}
		p.decider.writeAskedAt = time.Time{}
	}
	if p.allEnd > 0 && during.holds(p.allEnd) {
		p.endAll()
	}
	p.applyLoss()
	p.applyStall()
	p.resumeStalled()
	for i := range p.nodes {
		if p.partitioned(p.nodes[i].zone) {
			p.nodes[i].reachableSince = p.now
		}
	}
}

// endAll starts all nodes anew at once: what they knew is lost.
func (p *play) endAll() {
	for i := range p.nodes {
		p.restart(i)
	}
	p.evidenceQueue, p.pendingWrites = nil, nil
	p.newDecider(true)
}

func (p *play) restart(i int) {
	n := &p.nodes[i]
	p.nodes[i] = modelNode{zone: n.zone, incarnation: n.incarnation + 1, upAt: p.now + time.Second, recorder: NewRecorder(p.order())}
	p.nodes[i].reachableSince = p.nodes[i].upAt
	p.learn(i, statusUpdate{status: p.status, rev: p.revision, found: true})
}

// arrive lets nodes learn what has reached them.
func (p *play) deliver() {
	for i := range p.nodes {
		n := &p.nodes[i]
		if p.partitioned(n.zone) || p.stalled(i) {
			continue
		}
		for len(n.updates) > 0 && n.updates[0].at <= p.now {
			p.learn(i, n.updates[0])
			n.updates = n.updates[1:]
		}
		if n.warnAt > 0 && n.warnAt <= p.now {
			n.plan = n.plan.WithBad()
		}
	}
	todo := p.pendingWrites
	p.pendingWrites = nil
	for _, w := range todo {
		w()
	}
}

func (p *play) inTouch(n *modelNode) bool { return p.now-n.reachableSince >= contact }

// call sends what comes in this step.
func (p *play) arrivals(i int) {
	for h := range p.recentLoad {
		p.recentLoad[h] *= loadRetention
	}
	for k := range p.service.routes {
		route := &p.service.routes[k]
		rate := route.perSecond
		if route.name == p.hot && p.hotDuring.holds(p.now) {
			rate *= 3
		}
		for range poisson(p.rand, rate*step.Seconds()) {
			p.newCall(i, route)
		}
	}
}

func (p *play) newCall(i int, route *modelRoute) {
	// A quarter of the nodes gets half of the calls.
	k := p.rand.IntN(len(p.nodes))
	if p.rand.IntN(3) == 0 {
		k = p.rand.IntN(1 + len(p.nodes)/4)
	}
	n := &p.nodes[k]
	if p.now < n.upAt {
		return
	}
	if p.now < p.duration {
		p.out.calls++
	}
	if p.stalled(k) {
		n.queued = append(n.queued, func() { p.dispatch(i, k, route) })
		return
	}
	p.dispatch(i, k, route)
}

// place sends a call that a node has got.
func (p *play) dispatch(i, k int, route *modelRoute) {
	n := &p.nodes[k]
	c := Call{Hash: p.rand.Uint64(), Route: route.name, Once: route.once, Lasts: route.maximum, Now: p.time()}
	from := n.lists.For(&n.plan, c)
	if len(from) == 0 {
		return
	}
	e := p.choose(from, n)
	p.send(i, k, route, e)
	if e.Version == "v2" {
		p.recentLoad[e.Hash] += (1 - loadRetention) / step.Seconds()
		p.recordExposure(n)
	}
}

// choose prefers endpoints of the node's zone, as routing does, and in a cut takes no others.
func (p *play) choose(from []engine.Engine, n *modelNode) *engine.Engine {
	if p.now-p.partition.from > 500*time.Millisecond && p.partition.holds(p.now) {
		if reached := lo.Filter(from, func(e engine.Engine, _ int) bool { return !p.separated(n, &e) }); len(reached) > 0 {
			return &reached[p.rand.IntN(len(reached))]
		}
	}
	e := &from[p.rand.IntN(len(from))]
	for range 3 {
		if zoneOf(e) == n.zone {
			break
		}
		e = &from[p.rand.IntN(len(from))]
	}
	return e
}

func zoneOf(e *engine.Engine) int { return int(e.Zone[1] - '0') }

// apart is whether a cut lies between a node and an endpoint.
func (p *play) separated(n *modelNode, e *engine.Engine) bool {
	return p.partitioned(n.zone) != p.partitioned(zoneOf(e))
}

func (p *play) recordExposure(n *modelNode) {
	if p.now < p.duration {
		p.out.sent++
	}
	if !p.inTouch(n) {
		return
	}
	if p.now < p.duration {
		p.out.exposed++
	}
	if p.fiftieth > 0 {
		p.out.dropped = p.now - p.fiftieth
		if p.out.dropped > p.rule.Rollback {
			p.out.afterBad++
		}
	}
}

// load is how full an endpoint of the target is beside the old ones' usual. Where there
// are many, it is the mean of those in use: single ones get too few calls to tell.
func (p *play) load(e *engine.Engine) float64 {
	usual := p.service.perSecond() / float64(p.service.old)
	if p.targets <= fewEndpoints {
		return p.recentLoad[e.Hash] / usual
	}
	used := p.targets
	if p.status.State == InProgress && p.status.Stage == Sampling {
		used = len(p.listsOf(p.status, p.revision).Sampled)
	}
	return lo.Sum(lo.Values(p.recentLoad)) / float64(used) / usual
}
