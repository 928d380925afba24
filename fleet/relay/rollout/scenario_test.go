package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// modelRoute is one kind of calls of a simulated service.
type modelRoute struct {
	name      string
	perSecond float64
	once      bool
	first     time.Duration // median time until the first event of a stream; 0 if there is none
	median    time.Duration // median time of a call
	maximum   time.Duration // as a node expects it; one in a hundred calls exceeds it
}

// shows returns the median time until a call's slowness is known.
func (r modelRoute) shows() time.Duration {
	if r.first > 0 {
		return r.first
	}
	return r.median
}

// modelService is a simulated service.
type modelService struct {
	name   string
	old    int
	routes []modelRoute
}

var modelServices = []modelService{
	{"shop-model", 140, []modelRoute{
		{"long", 142, false, 500 * time.Millisecond, 2200 * time.Millisecond, 5 * time.Second},
		{"chat", 166, false, 250 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second},
		{"hint", 206, false, 200 * time.Millisecond, 250 * time.Millisecond, 800 * time.Millisecond},
	}},
	{"shop-plain", 3, []modelRoute{
		{"commit", 192, true, 0, 25 * time.Millisecond, 120 * time.Millisecond},
		{"check", 44, false, 0, 25 * time.Millisecond, 120 * time.Millisecond},
	}},
	{"farm-model", 90, []modelRoute{
		{"long", 91, false, 500 * time.Millisecond, 2500 * time.Millisecond, 5500 * time.Millisecond},
		{"chat", 92, false, 250 * time.Millisecond, 1600 * time.Millisecond, 3500 * time.Millisecond},
		{"tag", 135, false, 250 * time.Millisecond, 350 * time.Millisecond, time.Second},
	}},
	{"farm-plain", 6, []modelRoute{
		{"sign", 80, true, 0, 30 * time.Millisecond, 150 * time.Millisecond},
		{"status", 32, false, 0, 30 * time.Millisecond, 150 * time.Millisecond},
	}},
}

func (s modelService) perSecond() float64 {
	sum := 0.0
	for _, r := range s.routes {
		sum += r.perSecond
	}
	return sum
}

// span is a period of a rollout, relative to its order.
type span struct{ from, until time.Duration }

func (s span) holds(at time.Duration) bool { return at >= s.from && at < s.until }

// fault describes how a version, or one endpoint of it, is bad.
type fault struct {
	fails  float64 // share of answers
	slower float64 // factor of the typical time; 0 if not slower
	route  string  // "" selects all routes
	since  time.Duration
	load   float64       // minimum load relative to that of old endpoints
	flaps  time.Duration // alternately bad and good for this long; 0 if always bad
}

func (f fault) shows(route string, at time.Duration, load float64) bool {
	switch {
	case f.fails == 0 && f.slower == 0:
		return false
	case f.route != "" && f.route != route:
		return false
	case f.flaps > 0 && (at/f.flaps)%2 == 1:
		return false
	}
	return at >= f.since && load >= f.load
}

// scenario is one drawn rollout: the version, the service and the troubles.
type scenario struct {
	seed     uint64
	service  modelService
	tenth    bool
	duration time.Duration
	nodes    int
	targets  int
	version  fault // of the target; the zero value is a good version
	form     string

	unhealthyTarget, unhealthyOld fault // of one endpoint
	faultOfBoth                   fault // of all endpoints, during bothDuring
	bothDuring                    span
	hot                           string // a route with three times the calls during hotDuring
	hotDuring                     span
	cold                          time.Duration // after the order: the target's endpoints signal a cold start
	empty                         bool          // the target's prompt caches: its first answers are slower
	storeSlow                     span
	storeUnavailable              span
	partition                     span // of zone z0
	restarts                      []time.Duration
	deciderEnds                   time.Duration // 0 if it does not end
	allEnd                        time.Duration
	troubles                      []string
}

// bad reports whether the drawn version is bad.
func (d scenario) bad() bool { return d.form != "good" }

func within(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

func (d *scenario) moment(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration(within(r, low, high) * float64(d.duration))
}

func (d *scenario) span(r *rand.Rand, low, high time.Duration) span {
	from := d.moment(r, 0, 0.9)
	return span{from, from + time.Duration(within(r, float64(low), float64(high)))}
}

// draw draws a rollout by its seed.
func draw(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 35))
	d := scenario{seed: seed, service: modelServices[r.IntN(len(modelServices))], tenth: r.IntN(3) == 0, form: "good"}
	if d.tenth {
		d.service.routes = append([]modelRoute(nil), d.service.routes...)
		for i := range d.service.routes {
			d.service.routes[i].perSecond /= 10
		}
	}
	d.duration = time.Duration(within(r, 12, 60) * float64(time.Second))
	d.nodes = 1 + r.IntN(75)
	d.targets = d.service.old
	if r.IntN(5) == 0 {
		d.targets = max(3, d.service.old/2)
	}
	if r.IntN(2) == 0 {
		d.drawVersion(r)
	}
	for range r.IntN(3) {
		d.drawTrouble(r)
	}
	return d
}

func (d *scenario) drawVersion(r *rand.Rand) {
	f := drawFault(r)
	d.form = "from the start"
	switch r.IntN(5) {
	case 1:
		d.form, f.since = "later", d.moment(r, 0, 0.6)
	case 2:
		d.form, f.load = "under load", within(r, 0.5, 0.9)
	case 3:
		d.form, f.route = "one route", d.service.routes[r.IntN(len(d.service.routes))].name
	case 4:
		d.form, f.since = "one route, later", d.moment(r, 0, 0.5)
		f.route = d.service.routes[r.IntN(len(d.service.routes))].name
	}
	d.version = f
}

// drawFault draws the fault of a version or an endpoint: it fails a share of its answers or is
// several times slower.
func drawFault(r *rand.Rand) fault {
	if r.IntN(2) == 0 {
		return fault{fails: within(r, 0.2, 0.8)}
	}
	return fault{slower: within(r, 3, 6)}
}

func (d *scenario) drawTrouble(r *rand.Rand) {
	troubles := []struct {
		name string
		draw func()
	}{
		{"unhealthy endpoint of the target", func() { d.unhealthyTarget = drawFault(r) }},
		{"unhealthy endpoint of the old version", func() { d.unhealthyOld = drawFault(r) }},
		{"flapping endpoint of the target", func() { d.unhealthyTarget = fault{fails: 1, flaps: 1500 * time.Millisecond} }},
		{"answers lost at both", func() {
			d.faultOfBoth, d.bothDuring = fault{fails: within(r, 0.05, 0.3)}, d.span(r, 3*time.Second, 10*time.Second)
		}},
		{"both slower", func() {
			d.faultOfBoth, d.bothDuring = fault{slower: within(r, 1.5, 4)}, d.span(r, 3*time.Second, 10*time.Second)
		}},
		{"hot customer", func() {
			d.hot, d.hotDuring = d.service.routes[r.IntN(len(d.service.routes))].name, d.span(r, 3*time.Second, 15*time.Second)
		}},
		{"cold target", func() { d.cold = time.Duration(within(r, 2, 5) * float64(time.Second)) }},
		{"empty caches", func() { d.empty = true }},
		{"slow store", func() { d.storeSlow = d.span(r, 3*time.Second, 10*time.Second) }},
		{"store unavailable", func() { d.storeUnavailable = d.span(r, 2*time.Second, 6*time.Second) }},
		{"zone partitioned", func() { d.partition = d.span(r, 3*time.Second, 8*time.Second) }},
		{"restarts", func() {
			for range 1 + r.IntN(5) {
				d.restarts = append(d.restarts, d.moment(r, 0, 1))
			}
		}},
		{"decider ends", func() { d.deciderEnds = d.moment(r, 0, 0.95) }},
		{"all end", func() { d.allEnd = d.moment(r, 0, 0.95) }},
	}
	t := troubles[r.IntN(len(troubles))]
	t.draw()
	d.troubles = append(d.troubles, t.name)
}

func (d scenario) String() string {
	return fmt.Sprintf("seed %d: %s tenth=%v %s over %s, %d nodes, version %+v, %v",
		d.seed, d.service.name, d.tenth, d.form, d.duration.Round(time.Second/10), d.nodes, d.version, d.troubles)
}

// poisson draws a number of calls with the given mean.
func poisson(r *rand.Rand, expected float64) int {
	if expected > 30 {
		return max(int(math.Round(expected+math.Sqrt(expected)*r.NormFloat64())), 0)
	}
	n, p, limit := 0, r.Float64(), math.Exp(-expected)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

func modelEngines(d scenario) []engine.Engine {
	all := append(endpoints("v1", d.service.old, 5), endpoints("v2", d.targets, 12)...)
	return engine.NewDirectory(12, all).Of("svc")
}
