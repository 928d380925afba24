package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// waitMetric is the histogram of the time that runnable goroutines waited for a processor.
const waitMetric = "/sched/latencies:seconds"

// WaitReader reads the mean wait of goroutines for the processor from the runtime. It is not safe for
// concurrent use.
type WaitReader struct {
	sample   []metrics.Sample
	previous []uint64
}

// NewWaitReader returns a reader whose first reading covers the time since this call.
func NewWaitReader() *WaitReader {
	w := &WaitReader{sample: []metrics.Sample{{Name: waitMetric}}}
	w.Mean()
	return w
}

// Mean returns the mean wait since the last reading, or 0 if none was counted.
func (w *WaitReader) Mean() time.Duration {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.sample[0].Value.Float64Histogram()
	mean := meanSince(h.Buckets, w.previous, h.Counts)
	w.previous = append(w.previous[:0], h.Counts...)
	return mean
}

// meanSince returns the mean of what was counted between two states of a histogram.
func meanSince(bounds []float64, before, after []uint64) time.Duration {
	sum, count := 0.0, uint64(0)
	for i, n := range after {
		if i < len(before) {
			n -= before[i]
		}
		if n > 0 {
			sum += float64(n) * midpoint(bounds[i], bounds[i+1])
			count += n
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / float64(count) * float64(time.Second))
}

// midpoint returns the midpoint of a bucket, or its finite bound if the other one is infinite.
func midpoint(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return max(high, 0)
	case math.IsInf(high, 1):
		return low
	default:
		return (low + high) / 2
	}
}
