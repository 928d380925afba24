// Package retry bounds the retries of the whole fleet to a share of the calls of each service
// over a sliding window, divided among the nodes.
package retry

import (
	"sync"
	"time"
)

// Rule is the bound for all nodes together.
type Rule struct {
	Ratio  float64       // retries per call of a service
	Slack  float64       // retries allowed beyond the ratio
	Window time.Duration // window in which both are counted
}

// Budget is one node's share of the bound. It is safe for concurrent use.
type Budget struct {
	rule  Rule
	nodes func() int

	mu       sync.Mutex
	services map[string]*window
}

// safetyShare is the share of the bound that a node uses. The windows of the nodes, and of whoever
// checks the bound, don't begin together, and shares are uneven.
const safetyShare = 0.7

// NewBudget returns a node's share of the bound. The function nodes returns how many nodes share
// the slack.
func NewBudget(r Rule, nodes func() int) *Budget {
	return &Budget{rule: r, nodes: nodes, services: map[string]*window{}}
}

// Arrived counts a call for a service.
func (b *Budget) Arrived(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).calls.add(now, b.rule.Window)
}

// Take reports whether a call may be retried, and counts the retry if so.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	allowed := b.rule.Ratio*float64(w.calls.count(now, b.rule.Window)) + b.rule.Slack/float64(max(b.nodes(), 1))
	if float64(w.retries.count(now, b.rule.Window)+1) > safetyShare*allowed {
		return false
	}
	w.retries.add(now, b.rule.Window)
	return true
}

func (b *Budget) window(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	return w
}

type window struct{ calls, retries ring }

// ring counts events in slices of a sliding window, by the monotonic clock.
type ring struct {
	start  time.Time // start of slice 0
	slices [ringSlices]int
	at     int64 // index of the newest slice since start
}

const ringSlices = 20

func (r *ring) roll(now time.Time, window time.Duration) {
	if r.start.IsZero() {
		r.start = now
	}
	at := int64(now.Sub(r.start) / (window / ringSlices))
	if at-r.at >= ringSlices {
		r.slices, r.at = [ringSlices]int{}, at
		return
	}
	for r.at < at {
		r.at++
		r.slices[r.at%ringSlices] = 0
	}
}

func (r *ring) add(now time.Time, window time.Duration) {
	r.roll(now, window)
	r.slices[r.at%ringSlices]++
}

func (r *ring) count(now time.Time, window time.Duration) int {
	r.roll(now, window)
	total := 0
	for _, n := range r.slices {
		total += n
	}
	return total
}
