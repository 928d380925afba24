package account

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// outagePeriod is how long another outage of the store is expected after one.
const outagePeriod = 5 * time.Minute

// maxOutage bounds the expected outage: holdings don't replace the store.
const maxOutage = time.Minute

// Outage is an observed outage of the store that is expected to recur. Nodes send it to each
// other, since a process that starts knows of none.
type Outage struct {
	Ms     int64 `json:"ms"`
	LeftMs int64 `json:"leftMs"` // how much longer it is expected
}

// outage is the longest expected outage, by the monotonic clock.
type outage struct {
	length time.Duration
	until  time.Time
}

// expected returns the length of the expected outage, or 0 if none is expected.
func (o outage) expected(now time.Time) time.Duration {
	if !now.Before(o.until) {
		return 0
	}
	return o.length
}

// longer returns the longer of two expected outages.
func (o outage) longer(other outage, now time.Time) outage {
	if other.expected(now) > o.expected(now) {
		return other
	}
	return o
}

// RecordOutage records an outage of the store that is over. Holdings are to last through such an
// outage from now on.
func (p *Allowance) RecordOutage(length time.Duration, now time.Time) {
	p.expect(outage{length: length, until: now.Add(outagePeriod)}, now)
}

// Expect records an outage that a peer expects.
func (p *Allowance) Expect(o Outage, now time.Time) {
	left := min(clock.Milliseconds(o.LeftMs), outagePeriod)
	p.expect(outage{length: clock.Milliseconds(o.Ms), until: now.Add(left)}, now)
}

func (p *Allowance) expect(o outage, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.length = min(o.length, maxOutage)
	p.outage = p.outage.longer(o, now)
}

// Expected returns the outage that this node expects, for its peers, or nil if there is none.
func (p *Allowance) Expected(now time.Time) *Outage {
	p.mu.Lock()
	defer p.mu.Unlock()
	length := p.outage.expected(now)
	if length <= 0 {
		return nil
	}
	return &Outage{Ms: length.Milliseconds(), LeftMs: p.outage.until.Sub(now).Milliseconds()}
}

// lowShare is the share of its target below which a holding is refilled soon.
const lowShare = 0.7

// Low reports whether a holding in demand has fallen far below its target while the pool is not
// empty.
func (p *Allowance) Low(nodes int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.quotas {
		if !q.demand.known && q.dependents <= 0 {
			continue
		}
		target := p.tuning.target(q, nodes, p.outage.expected(now), now)
		if q.pool > 0 && target > 0 && float64(q.free()) < lowShare*float64(target) {
			return true
		}
	}
	return false
}
