package routing

import (
	"time"

	"github.com/samber/lo"
)

// The parameters of the batch window.
const (
	// correctionInterval is the time between corrections. It is longer than the lag of a
	// load report, so that each correction observes the effect of the previous one.
	correctionInterval = 2 * time.Second
	// growth is how much a window below its share grows per correction, in calls.
	growth = 2.0
	// borrowGrowth is how much a window grows beyond its share per correction, in calls,
	// while other nodes do not use theirs.
	borrowGrowth = 0.5
	// remoteBorrowGrowth is borrowGrowth at an endpoint of another zone.
	remoteBorrowGrowth = 0.1
	// borrowHeadroom is how far below the ceiling the calls must be for a window to borrow.
	borrowHeadroom = 2.0
	// minShareFraction is the fraction of its share that a window keeps while the calls
	// are over the ceiling: windows beyond their share shrink first.
	minShareFraction = 0.5
	// maxSlowdown is how much slower than alone a stream may run beside batch calls
	// while there are interactive calls, as a factor.
	maxSlowdown = 1.2
	// reserveDivisor sets the reserve of an endpoint, limit/reserveDivisor, that batch calls
	// never use, so that the first interactive call is not blocked.
	reserveDivisor = 5
	// pacedSmoothing is the weight of the newest estimate in the paced ceiling.
	pacedSmoothing = 0.3
	// initialPacedShare is the initial paced ceiling, as a fraction of the limit.
	initialPacedShare = 0.5
	// minPacedCeiling is the lower bound of the paced ceiling, in calls.
	minPacedCeiling = 1.0
)

// Window limits the batch calls that this node may have in flight at an endpoint.
// Each node of the endpoint's zone has an equal share of a ceiling, so that together
// they respect it without communication, however late the load reports are. A node
// borrows capacity that, by the reports, other nodes do not use. While there are
// interactive calls, the ceiling keeps the time between tokens close to that of a stream
// that runs alone. Window is immutable; methods return a changed copy.
type Window struct {
	size         float64
	ceiling      float64 // for all calls at the endpoint, 0 until the first report
	pacedCeiling float64 // ceiling that keeps the time between tokens low, as last estimated
	intervals    IntervalEstimate
	calls        float64 // calls at the endpoint in the last report
	correctedAt  time.Time
}

// Size returns the size of the window in calls.
func (w Window) Size() float64 { return w.size }

// Ceiling returns the target for the calls of all nodes at the endpoint.
func (w Window) Ceiling() float64 { return w.ceiling }

// WithInterval returns the window after a stream with a mean time between tokens.
func (w Window) WithInterval(interval time.Duration) Window {
	w.intervals = w.intervals.With(max(1, w.calls), interval)
	return w
}

// Observation is the state of an endpoint according to a load report and this node.
type Observation struct {
	At          time.Time
	Calls       int64 // running or queued at the endpoint, as reported
	Limit       int64
	OwnBatch    int64
	Nodes       int  // nodes that share the endpoint: those of its zone
	Remote      bool // the endpoint is in another zone
	Interactive bool // there were interactive calls recently
}

// BatchLimit returns the number of calls at an endpoint from which on it takes no batch calls.
func BatchLimit(limit int64) int64 { return limit - max(1, limit/reserveDivisor) }

// WithObservation returns the window after a load report. It corrects the size at most
// once per correctionInterval.
func (w Window) WithObservation(o Observation) Window {
	maxCeiling := float64(BatchLimit(o.Limit))
	w.calls = float64(o.Calls)
	if w.ceiling == 0 {
		w.ceiling, w.pacedCeiling, w.correctedAt = maxCeiling, initialPacedShare*float64(o.Limit), o.At
		w.size = w.share(o)
		return w
	}
	if o.At.Sub(w.correctedAt) < correctionInterval {
		return w
	}
	w.correctedAt = o.At
	return w.withCeiling(o, maxCeiling).withSize(o)
}

// share returns this node's equal share of the ceiling.
func (w Window) share(o Observation) float64 {
	if o.Remote {
		return 0
	}
	return w.ceiling / float64(max(1, o.Nodes))
}

// withCeiling adjusts the ceiling to the observed time between tokens.
func (w Window) withCeiling(o Observation, maxCeiling float64) Window {
	if !o.Interactive {
		w.ceiling = maxCeiling
		return w
	}
	if allowed, known := w.intervals.Calls(maxSlowdown); known {
		w.pacedCeiling += (allowed - w.pacedCeiling) * pacedSmoothing
	}
	w.pacedCeiling = min(max(w.pacedCeiling, minPacedCeiling), maxCeiling)
	w.ceiling = w.pacedCeiling
	return w
}

// withSize moves the size towards the share, and beyond it while other nodes do not use theirs.
func (w Window) withSize(o Observation) Window {
	share, calls := w.share(o), float64(o.Calls)
	used := float64(o.OwnBatch) >= w.size-1
	headroom := w.ceiling - calls
	if o.Remote {
		headroom -= w.ceiling / 2 // nodes of the endpoint's zone have precedence
	}
	switch {
	case w.size > share && headroom < borrowHeadroom:
		w.size = share + (w.size-share)/2
	case w.size >= share && headroom >= borrowHeadroom && used:
		w.size += lo.Ternary(o.Remote, remoteBorrowGrowth, borrowGrowth)
	case headroom < 0:
		w.size = max(minShareFraction*share, w.size-1)
	default:
		w.size = max(w.size, min(share, w.size+growth))
	}
	return w
}

// Allows reports whether one more batch call fits. If the window is smaller than
// one call, a call is allowed with the window's size as probability; chance is a
// random number in [0, 1).
func (w Window) Allows(ownBatch int64, chance float64) bool {
	if w.size < 1 {
		return ownBatch == 0 && chance < w.size
	}
	return float64(ownBatch+1) <= w.size
}
