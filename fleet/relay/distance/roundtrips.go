package distance

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxSamples is the number of round trips to a zone of which the median is taken. Full endpoints
// slow down some connects, but rarely half of them at once.
const maxSamples = 31

// RoundTrips holds the measured round trips by zone. It is safe for concurrent use; reading
// takes no lock.
type RoundTrips struct {
	mu      sync.Mutex
	samples map[string][]time.Duration // ring buffer of the latest by zone
	next    map[string]int
	medians atomic.Pointer[map[string]roundTrip]
}

type roundTrip struct {
	median time.Duration
	at     time.Time // of the newest measurement
}

func newRoundTrips() *RoundTrips {
	t := &RoundTrips{samples: map[string][]time.Duration{}, next: map[string]int{}}
	t.medians.Store(&map[string]roundTrip{})
	return t
}

func (t *RoundTrips) to(zone string) (roundTrip, bool) {
	one, ok := (*t.medians.Load())[zone]
	return one, ok
}

// of returns the newest measurement of any zone of the class.
func (t *RoundTrips) of(c Class, class func(zone string) Class) (roundTrip, bool) {
	var newest roundTrip
	for zone, one := range *t.medians.Load() {
		if class(zone) == c && one.at.After(newest.at) {
			newest = one
		}
	}
	return newest, !newest.at.IsZero()
}

// add records a round trip. Values that are not positive were not measured and are ignored.
func (t *RoundTrips) add(zone string, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	samples := t.samples[zone]
	if len(samples) < maxSamples {
		samples = append(samples, took)
	} else {
		samples[t.next[zone]] = took
	}
	t.next[zone] = (t.next[zone] + 1) % maxSamples
	t.samples[zone] = samples
	medians := maps.Clone(*t.medians.Load())
	medians[zone] = roundTrip{median: median(samples), at: now}
	t.medians.Store(&medians)
}

func median(samples []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[len(sorted)/2]
}
