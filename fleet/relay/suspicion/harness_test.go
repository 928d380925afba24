package suspicion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// A simulated fleet: nodes of three zones send calls to the endpoints of one service, with a
// given clock and seed. Reports are sent as between real nodes: to the zone's delegates in each
// gossip interval, from these to their zone when an endpoint is avoided, and with the digests.

const (
	modelZones      = 3
	modelInterval   = 200 * time.Millisecond
	modelTick       = 10 * time.Millisecond
	modelTransit    = 2 * time.Millisecond
	modelSuspect    = 600 * time.Millisecond // how long a node avoids an endpoint after a failure of its own
	digestIntervals = 3
	roundIntervals  = 5
)

// method is how nodes learn of failures.
type method int

const (
	before    method = iota // each node uses only its own failures
	delegates               // reports through the zone's delegates, as implemented
	direct                  // reports from each node to all others
	rates                   // failure rates, summed by the zone's delegates
)

func (w method) String() string { return [...]string{"before", "delegates", "direct", "rates"}[w] }

// behavior is the outcome of a call at an endpoint of the simulation.
type behavior func(endpoint int, at time.Duration, r *rand.Rand) Outcome

type model struct {
	method     method
	rule       Rule
	nodes      int
	endpoints  int
	perSecond  float64 // calls of one node
	idempotent float64 // fraction of them that may run more than once
	behave     behavior
	seed       uint64
	length     time.Duration
	forge      func(now time.Time, send func(sender int, w Report)) // sends false reports in each interval
}

type losses struct {
	once           int     // non-repeatable calls that failed at the failing endpoint
	healthyAvoided float64 // fraction of time that a healthy endpoint was avoided due to reports, over all nodes
	messages       int
}

type modelNode struct {
	name, zone   string
	delegate     bool
	tracker      *Tracker
	suspected    []time.Time
	failures     []int
	counts       [][2]int // calls and failures of the window, for the method rates
	avoidedUntil []time.Time
}

func nodeName(i int) string { return fmt.Sprintf("n-%03d", i) }

func zoneName(i int) string { return fmt.Sprint("z", i%modelZones) }

func modelEngines(n int) []engine.Engine {
	all := make([]engine.Engine, n)
	for i := range all {
		all[i] = engine.Engine{ID: fmt.Sprint("e", i), Born: 1, Service: "s", Zone: zoneName(i)}
	}
	return all
}

func (m model) fleet() []*modelNode {
	zones := map[string]string{}
	all := make([]*modelNode, m.nodes)
	for i := range all {
		zones[nodeName(i)] = zoneName(i)
	}
	for i := range all {
		n := &modelNode{name: nodeName(i), zone: zoneName(i), delegate: i < 2*modelZones, suspected: make([]time.Time, m.endpoints), failures: make([]int, m.endpoints), counts: make([][2]int, m.endpoints), avoidedUntil: make([]time.Time, m.endpoints)}
		n.tracker = NewTracker(n.name, n.zone, m.rule, func(Avoided) {})
		n.tracker.Engines(modelEngines(m.endpoints))
		n.tracker.Nodes(zones)
		all[i] = n
	}
	return all
}

func incarnationOf(endpoint int) engine.Incarnation {
	return engine.Incarnation{ID: fmt.Sprint("e", endpoint), Born: 1}
}

func (n *modelNode) avoids(w method, endpoint int, idempotent bool, key uint64, now time.Time) bool {
	if now.Before(n.suspected[endpoint]) {
		return true
	}
	switch w {
	case before:
		return false
	case rates:
		return now.Before(n.avoidedUntil[endpoint]) && (!idempotent || key%4 != 0)
	case delegates, direct:
	}
	return n.tracker.Avoids(incarnationOf(endpoint), idempotent, key, now)
}

func (n *modelNode) observe(endpoint int, o Outcome, now time.Time) {
	n.tracker.Observe(incarnationOf(endpoint), o, now)
	n.counts[endpoint][0]++
	if o == Succeeded {
		n.failures[endpoint] = 0
		return
	}
	n.counts[endpoint][1]++
	n.failures[endpoint]++
	n.suspected[endpoint] = now.Add(modelSuspect * time.Duration(min(n.failures[endpoint], 6)))
}

// run simulates the fleet. Endpoint 0 is the one that fails; the others are healthy.
func (m model) run() losses {
	r := rand.New(rand.NewPCG(m.seed, 1))
	start := time.Unix(1000, 0)
	all := m.fleet()
	var l losses
	samples := 0
	for at := time.Duration(0); at < m.length; at += modelTick {
		now := start.Add(at)
		if at%modelInterval == 0 {
			l.messages += m.exchange(all, int(at/modelInterval), now)
			for _, n := range all {
				for e := 1; e < m.endpoints; e++ { // the first is the failing one
					samples++
					if m.method == rates && now.Before(n.avoidedUntil[e]) || m.method != rates && m.method != before && n.tracker.Avoids(incarnationOf(e), false, 0, now) {
						l.healthyAvoided++
					}
				}
			}
		}
		for _, n := range all {
			if r.Float64() < m.perSecond*modelTick.Seconds() {
				l.once += m.call(n, at, now, r)
			}
		}
		if m.method == delegates {
			l.messages += sendUrgent(all, now)
		}
	}
	l.healthyAvoided /= float64(max(samples, 1))
	return l
}

// call simulates one call and returns the number of lost ones: a non-repeatable call that failed
// at the failing endpoint.
func (m model) call(n *modelNode, at time.Duration, now time.Time, r *rand.Rand) int {
	idempotent, key := r.Float64() < m.idempotent, r.Uint64()
	first := r.IntN(m.endpoints)
	pick := first
	for i := range m.endpoints {
		if e := (first + i) % m.endpoints; !n.avoids(m.method, e, idempotent, key, now) {
			pick = e
			break
		}
	}
	o := m.behave(pick, at, r)
	n.observe(pick, o, now)
	if o != Succeeded && !idempotent && pick == 0 {
		return 1
	}
	return 0
}

// audience returns who receives an immediate message.
func (n *modelNode) audience(a Audience) func(to *modelNode) bool {
	return func(to *modelNode) bool {
		near := to.zone == n.zone
		return a != Nobody && near && to.delegate || a == All && (near || to.delegate)
	}
}

// sendUrgent sends what does not wait for the next interval.
func sendUrgent(all []*modelNode, now time.Time) int {
	sent := 0
	for _, n := range all {
		select {
		case <-n.tracker.Urgent():
			audience := n.tracker.Audience(n.delegate, now)
			sent += sendTo(all, n, n.tracker.Reports(n.delegate, now), n.audience(audience), now)
		default:
		}
	}
	return sent
}

func sendTo(all []*modelNode, from *modelNode, reports []Report, to func(n *modelNode) bool, now time.Time) int {
	sent := 0
	for _, n := range all {
		if n != from && len(reports) > 0 && to(n) {
			n.tracker.Receive(from.name, reports, now.Add(modelTransit))
			sent++
		}
	}
	return sent
}

// exchange simulates one gossip interval and returns the number of messages.
func (m model) exchange(all []*modelNode, round int, now time.Time) int {
	sent := 0
	if m.forge != nil {
		m.forge(now, func(sender int, w Report) {
			for _, n := range all {
				n.tracker.Receive(nodeName(sender), []Report{w}, now)
			}
		})
	}
	send := func(from *modelNode, reports []Report, to func(n *modelNode) bool) {
		sent += sendTo(all, from, reports, to, now)
	}
	switch m.method {
	case before:
	case rates:
		return m.sendRates(all, round, now)
	case direct:
		for _, n := range all {
			n.tracker.Audience(false, now)
			send(n, n.tracker.Reports(false, now), func(*modelNode) bool { return true })
		}
	case delegates:
		for i, n := range all {
			audience := n.tracker.Audience(n.delegate, now)
			reports := n.tracker.Reports(n.delegate, now)
			sent += sendTo(all, n, reports, n.audience(audience), now)
			digest := n.delegate || (round+i)%digestIntervals == 0
			send(n, reports, func(to *modelNode) bool {
				return digest && to.zone == n.zone && (to.delegate || n.delegate && (i+round)%roundIntervals == 0)
			})
		}
	}
	return sent
}

// sendRates sums the failure rates of each zone at its delegates, which report to the zone which
// endpoints failed a quarter of its calls.
func (m model) sendRates(all []*modelNode, round int, now time.Time) int {
	const windowIntervals = 7
	if round%windowIntervals == 0 {
		defer func() {
			for _, n := range all {
				clear(n.counts)
			}
		}()
	}
	sent := len(all) * 2
	for z := range modelZones {
		for e := range m.endpoints {
			calls, failures := 0, 0
			for _, n := range all {
				if n.zone == zoneName(z) {
					calls += n.counts[e][0]
					failures += n.counts[e][1]
				}
			}
			if failures < 2 || float64(failures) < m.rule.FailureShare*float64(calls) {
				continue
			}
			for _, n := range all {
				if n.zone == zoneName(z) {
					n.avoidedUntil[e] = now.Add(m.rule.Hold)
					sent++
				}
			}
		}
	}
	return sent
}

// healthyFailureShare is the fraction of its calls that a healthy endpoint fails.
const healthyFailureShare = 0.03

func healthyOutcome(r *rand.Rand) Outcome {
	if r.Float64() < healthyFailureShare {
		return Failed
	}
	return Succeeded
}

// flapping alternates the first endpoint between down and up for eight seconds.
func flapping(endpoint int, at time.Duration, r *rand.Rand) Outcome {
	const from, until, period = time.Second, 9 * time.Second, 1400 * time.Millisecond
	if endpoint == 0 && at >= from && at < until && (at-from)%period < period/2 {
		return Interrupted
	}
	return healthyOutcome(r)
}

// grey makes the first endpoint fail two fifths of its calls for five seconds.
func grey(endpoint int, at time.Duration, r *rand.Rand) Outcome {
	if endpoint == 0 && at >= time.Second && at < 6*time.Second && r.Float64() < 0.4 {
		return Failed
	}
	return healthyOutcome(r)
}

func allHealthy(_ int, _ time.Duration, r *rand.Rand) Outcome { return healthyOutcome(r) }

func newModel(w method, behave behavior, seed uint64) model {
	return model{method: w, rule: DefaultRule(), nodes: 60, endpoints: 3, perSecond: 4, idempotent: 0.2, behave: behave, seed: seed, length: 14 * time.Second}
}

func total(t *testing.T, m model, seeds int) losses {
	t.Helper()
	var sum losses
	for s := range seeds {
		m.seed = uint64(s)
		l := m.run()
		sum.once += l.once
		sum.healthyAvoided += l.healthyAvoided
		sum.messages += l.messages
	}
	sum.once /= seeds
	sum.healthyAvoided /= float64(seeds)
	sum.messages /= seeds
	return sum
}
