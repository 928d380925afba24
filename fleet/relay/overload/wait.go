package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// waitMetric is how long goroutines that could run waited for a processor.
const waitMetric = "/sched/latencies:seconds"

// Waits reads the mean wait of goroutines for the processor from the runtime. It is
// for one goroutine.
type Waits struct {
	sample []metrics.Sample
	before []uint64
}

// NewWaits returns a reader whose first reading covers the time from now on.
func NewWaits() *Waits {
	w := &Waits{sample: []metrics.Sample{{Name: waitMetric}}}
	w.Mean()
	return w
}

// Mean is the mean wait since the last reading; 0 where none was counted.
func (w *Waits) Mean() time.Duration {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.sample[0].Value.Float64Histogram()
	mean := meanOfNew(h.Buckets, w.before, h.Counts)
	w.before = append(w.before[:0], h.Counts...)
	return mean
}

// meanOfNew is the mean of what was counted between two states of a histogram.
func meanOfNew(bounds []float64, before, after []uint64) time.Duration {
	sum, count := 0.0, uint64(0)
	for i, n := range after {
		if i < len(before) {
			n -= before[i]
		}
		if n > 0 {
			sum += float64(n) * middle(bounds[i], bounds[i+1])
			count += n
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / float64(count) * float64(time.Second))
}

// middle of a bucket whose ends may be open.
func middle(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return max(high, 0)
	case math.IsInf(high, 1):
		return low
	default:
		return (low + high) / 2
	}
}
