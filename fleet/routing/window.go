package routing

import (
	"time"

	"github.com/samber/lo"
)

// The constants of the batch window.
const (
	// correctEvery is the time between corrections: longer than a load report's
	// lag, so that each sees what the one before did.
	correctEvery = 2 * time.Second
	// refill is how fast a window grows back to its share, in calls.
	refill = 2.0
	// borrow is how fast it grows beyond its share while others leave theirs.
	borrow = 0.5
	// farBorrow is the same at an endpoint of another zone.
	farBorrow = 0.1
	// slack is how far under the ceiling the total must be for that, in calls.
	slack = 2.0
	// leastShare is the part of its share that a window keeps while the total is
	// over the ceiling: those who borrowed give way.
	leastShare = 0.5
	// inflation is how much slower than alone a stream may run beside batch
	// calls while interactive calls come.
	inflation = 1.2
	// reservedParts: one part in so many of an endpoint's limit is never used by
	// batch calls, so that the first interactive call finds room.
	reservedParts = 5
	// pacedStep is how far the paced ceiling follows the estimate in one correction.
	pacedStep = 0.3
	// firstPaced is where the paced ceiling starts, as a part of the limit.
	firstPaced = 0.5
	// leastCeiling is what the paced ceiling never falls under, in calls.
	leastCeiling = 1.0
)

// Window is how many batch calls this node may have in flight at an endpoint.
// Each node of the endpoint's zone has an even share of a ceiling, so that they
// keep to it without a word, however late the load report; they borrow what the
// report shows that others leave. While interactive calls come, the ceiling keeps
// the time between tokens near what it is for a stream that runs alone. It is
// not changed in place.
type Window struct {
	size    float64
	ceiling float64 // of all calls at the endpoint, 0 until the first report
	paced   float64 // the ceiling that keeps the pace, as last learned
	pace    Pace
	total   float64 // of the last report
	at      time.Time
}

// Size is the window in calls.
func (w Window) Size() float64 { return w.size }

// Ceiling is what the total is steered towards.
func (w Window) Ceiling() float64 { return w.ceiling }

// WithGap is the window after a stream with a mean time between tokens.
func (w Window) WithGap(gap time.Duration) Window {
	w.pace = w.pace.With(max(1, w.total), gap)
	return w
}

// Sighting is what a load report and the node itself show of an endpoint.
type Sighting struct {
	At          time.Time
	Total       int64 // calls running or queued at the endpoint, as reported
	Limit       int64
	OwnBatch    int64
	Nodes       int  // that share the endpoint: those of its zone
	Far         bool // it lies in another zone
	Interactive bool // interactive calls have come lately
}

// BatchLimit is how full an endpoint may be for a batch call to go there.
func BatchLimit(limit int64) int64 { return limit - max(1, limit/reservedParts) }

// WithSighting is the window corrected after a report, at most once a while.
func (w Window) WithSighting(s Sighting) Window {
	most := float64(BatchLimit(s.Limit))
	w.total = float64(s.Total)
	if w.ceiling == 0 {
		w.ceiling, w.paced, w.at = most, firstPaced*float64(s.Limit), s.At
		w.size = w.share(s)
		return w
	}
	if s.At.Sub(w.at) < correctEvery {
		return w
	}
	w.at = s.At
	return w.steered(s, most).corrected(s)
}

// share is this node's even part of the ceiling.
func (w Window) share(s Sighting) float64 {
	if s.Far {
		return 0
	}
	return w.ceiling / float64(max(1, s.Nodes))
}

// steered moves the ceiling by what streams show of their pace.
func (w Window) steered(s Sighting, most float64) Window {
	if !s.Interactive {
		w.ceiling = most
		return w
	}
	if calls, known := w.pace.Calls(inflation); known {
		w.paced += (calls - w.paced) * pacedStep
	}
	w.paced = min(max(w.paced, leastCeiling), most)
	w.ceiling = w.paced
	return w
}

// corrected moves the window to its share, and beyond it while others leave theirs.
func (w Window) corrected(s Sighting) Window {
	share, total := w.share(s), float64(s.Total)
	used := float64(s.OwnBatch) >= w.size-1
	room := w.ceiling - total
	if s.Far {
		room -= w.ceiling / 2 // the zone's own nodes go first
	}
	switch {
	case w.size > share && room < slack:
		w.size = share + (w.size-share)/2
	case w.size >= share && room >= slack && used:
		w.size += lo.Ternary(s.Far, farBorrow, borrow)
	case room < 0:
		w.size = max(leastShare*share, w.size-1)
	default:
		w.size = max(w.size, min(share, w.size+refill))
	}
	return w
}

// Allows reports whether one more batch call fits. Where the window is smaller
// than one call, chance (0 to 1) decides.
func (w Window) Allows(ownBatch int64, chance float64) bool {
	if w.size < 1 {
		return ownBatch == 0 && chance < w.size
	}
	return float64(ownBatch+1) <= w.size
}
