package distance

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// tripsKept is how many round trips to a zone the median is taken of: connects are
// slowed by full endpoints now and then, and rarely half of them at once.
const tripsKept = 31

// Trips are the round trips that were measured, by zone. It is safe for concurrent use;
// reading takes no lock.
type Trips struct {
	mu      sync.Mutex
	samples map[string][]time.Duration // the last ones, by zone, in a ring
	next    map[string]int
	medians atomic.Pointer[map[string]trip]
}

type trip struct {
	median time.Duration
	at     time.Time // when the newest was measured
}

func newTrips() *Trips {
	t := &Trips{samples: map[string][]time.Duration{}, next: map[string]int{}}
	t.medians.Store(&map[string]trip{})
	return t
}

func (t *Trips) to(zone string) (trip, bool) {
	one, ok := (*t.medians.Load())[zone]
	return one, ok
}

// of is the newest trip to a zone of a class.
func (t *Trips) of(c Class, class func(zone string) Class) (trip, bool) {
	var newest trip
	for zone, one := range *t.medians.Load() {
		if class(zone) == c && one.at.After(newest.at) {
			newest = one
		}
	}
	return newest, !newest.at.IsZero()
}

// add notes a round trip; one that is not positive was not measured.
func (t *Trips) add(zone string, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	samples := t.samples[zone]
	if len(samples) < tripsKept {
		samples = append(samples, took)
	} else {
		samples[t.next[zone]] = took
	}
	t.next[zone] = (t.next[zone] + 1) % tripsKept
	t.samples[zone] = samples
	medians := maps.Clone(*t.medians.Load())
	medians[zone] = trip{median: median(samples), at: now}
	t.medians.Store(&medians)
}

func median(samples []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[len(sorted)/2]
}
