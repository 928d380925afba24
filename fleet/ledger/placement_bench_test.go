package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
)

// The model has one budget and four zones with one holder each, and runs for one hour in
// steps of a second. Requests come from a seeded demand. For the whole hour the zones are
// either connected or partitioned from the platform and from each other.
const (
	modelZones       = 4
	modelSeconds     = 3600
	modelLimit       = int64(4_000_000)
	modelBound       = int64(400)
	modelCost        = int64(220)
	modelWarmup      = 3600 // seconds of connected demand before the measured hour
	modelDemandDecay = 1800 // time constant of the demand estimate, seconds
	modelSyncStep    = 2    // seconds between a holder's syncs
)

// policy is a strategy for placing a budget's tokens.
type policy string

const (
	planned    policy = "planned"     // this package's Desired, with recalls
	equalSplit policy = "equal split" // an even share for each zone, never moved
	onDemand   policy = "on demand"   // small draws when a request is short
)

const smallDraw = 8 * modelBound

// shape is a distribution of demand over the zones, in requests per second.
type shape struct {
	name string
	rate func(zone, second int) float64
}

var shapes = []shape{
	{"steady", func(int, int) float64 { return 1 }},
	{"skewed", func(zone, _ int) float64 { return []float64{2.8, 0.8, 0.3, 0.1}[zone] }},
	{"moving", func(zone, second int) float64 {
		if (second/900)%modelZones == zone {
			return 2.8
		}
		return 0.4
	}},
}

type modelRun struct {
	policy      policy
	partitioned bool
	slot        ledger.Slot
	holders     []*modelHolder
	rates       []float64
	random      *rand.Rand

	requested, refused int
	spent              int64
	writes             int
}

// falseRefusals returns the percentage of requests that were refused although one
// holder with the whole budget would have admitted them.
func (r *modelRun) falseRefusals(limit int64) float64 {
	payable := int((limit-modelBound)/modelCost) + 1
	ideal := max(0, r.requested-payable)
	return 100 * float64(max(0, r.refused-ideal)) / float64(max(1, r.requested))
}

func newModelRun(p policy, partitioned bool, left float64, s shape, seed uint64) *modelRun {
	r := &modelRun{policy: p, random: rand.New(rand.NewPCG(seed, 7)), rates: make([]float64, modelZones)}
	limit := int64(float64(modelLimit) * left)
	for zone := range modelZones {
		r.holders = append(r.holders, &modelHolder{id: holder(zone)})
	}
	for zone := range modelZones {
		r.post(zone, limit, lo.Ternary(p == onDemand, smallDraw, 0))
	}
	for second := -modelWarmup; second < 0; second++ {
		for zone := range modelZones {
			r.observe(zone, s.rate(zone, second+modelWarmup))
			if second%modelSyncStep == 0 && p != onDemand {
				r.post(zone, limit, 0)
			}
		}
	}
	r.partitioned, r.writes = partitioned, 0
	return r
}

// observe adds one second of a zone's demand to its rate estimate.
func (r *modelRun) observe(zone int, requests float64) {
	r.rates[zone] += (requests*float64(modelBound) - r.rates[zone]) / modelDemandDecay
}

// post syncs one holder with the ledger according to the policy.
func (r *modelRun) post(zone int, limit, need int64) {
	h := r.holders[zone]
	line := ledger.Line{Budget: budget, Limit: limit, Version: 1, Drawn: h.drawn, Settled: h.settled, Reserved: h.reserved, Rate: r.rates[zone], ReservationSize: modelBound, Need: need}
	switch r.policy {
	case planned:
		line.DrawShare = true
		if b, ok := r.slot.Budget(budget); ok {
			h.returned += b.Surplus(h.id, h.drawn-h.returned, h.spendable())
		}
	case equalSplit:
		line.Need = max(0, limit/modelZones-h.drawn)
	case onDemand:
	}
	line.Returned = h.returned
	next, err := r.slot.Apply(ledger.Post{Holder: h.id, Zone: ident.Zone(fmt.Sprint(zone)), Lines: []ledger.Line{line}})
	if err != nil {
		panic(err)
	}
	r.slot = next
	r.writes++
	b, _ := next.Budget(budget)
	a, _ := b.Account(h.id)
	h.drawn = a.Drawn
}

// reserve admits or refuses one request in a zone.
func (r *modelRun) reserve(zone int, limit int64) {
	h := r.holders[zone]
	r.requested++
	if h.spendable() < modelBound && !r.partitioned {
		r.post(zone, limit, lo.Ternary(r.policy == onDemand, smallDraw, modelBound))
		if r.policy == planned && h.spendable() < modelBound {
			r.recall(zone, limit)
		}
	}
	if h.spendable() < modelBound {
		r.refused++
		return
	}
	h.settled += modelCost
	r.spent += modelCost
}

func (r *modelRun) recall(zone int, limit int64) {
	missing := modelBound - r.holders[zone].spendable()
	for other := range modelZones {
		h := r.holders[other]
		if give := min(missing, h.spendable()); other != zone && give > 0 {
			h.returned += give
			missing -= give
			r.post(other, limit, 0)
		}
	}
	r.post(zone, limit, modelBound)
}

func (r *modelRun) hour(limit int64, s shape) {
	for second := range modelSeconds {
		for zone := range modelZones {
			rate := s.rate(zone, second)
			arrivals := int(rate)
			if r.random.Float64() < rate-float64(arrivals) {
				arrivals++
			}
			r.observe(zone, float64(arrivals))
			for range arrivals {
				r.reserve(zone, limit)
			}
			if !r.partitioned && second%modelSyncStep == 0 && r.policy == planned {
				r.post(zone, limit, 0)
			}
		}
	}
}

// BenchmarkPlacement compares the planned placement with an even split and with
// small draws on demand. It reports overspent tokens and needlessly refused requests for
// one hour of model time: overspent tokens as a sum, the others as means over the seeds.
// docs/measurements.md has its table.
func BenchmarkPlacement(b *testing.B) {
	const seeds = 5
	for _, s := range shapes {
		for _, partitioned := range []bool{false, true} {
			for _, left := range []float64{1, 0.3, 0.05} {
				for _, p := range []policy{planned, equalSplit, onDemand} {
					link := lo.Ternary(partitioned, "cut", "connected")
					b.Run(fmt.Sprintf("%s/%s/left=%g%%/%s", s.name, link, left*100, p), func(b *testing.B) {
						limit := int64(float64(modelLimit) * left)
						var refusals, writes float64
						var over int64
						for range b.N {
							refusals, writes, over = 0, 0, 0
							for seed := range uint64(seeds) {
								r := newModelRun(p, partitioned, left, s, seed)
								r.hour(limit, s)
								refusals += r.falseRefusals(limit) / seeds
								writes += float64(r.writes) / seeds / modelSeconds
								over += max(0, r.spent-limit)
							}
						}
						b.ReportMetric(refusals, "falseRefusals%")
						b.ReportMetric(float64(over), "overspent")
						b.ReportMetric(writes, "writes/s")
					})
				}
			}
		}
	}
}
