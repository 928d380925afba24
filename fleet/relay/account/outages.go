package account

import "time"

// outageMemory is how long an outage of the store is expected to come again.
const outageMemory = 5 * time.Minute

// longestOutage bounds what is expected: holdings are no store of their own.
const longestOutage = time.Minute

// Outage is one of the store that was seen and is expected again, as nodes tell each
// other: a process that starts knows of none.
type Outage struct {
	Ms     int64 `json:"ms"`
	LeftMs int64 `json:"leftMs"` // how much longer it is expected
}

// outage is the longest one that is expected, by the steady clock.
type outage struct {
	length time.Duration
	until  time.Time
}

// expected is how long the outage is; 0 is none.
func (o outage) expected(now time.Time) time.Duration {
	if !now.Before(o.until) {
		return 0
	}
	return o.length
}

// or is the longer of two outages that are expected.
func (o outage) or(other outage, now time.Time) outage {
	if other.expected(now) > o.expected(now) {
		return other
	}
	return o
}

// StoreBack notes that the store, which answers again, did not for so long: holdings
// are to last through such an outage from now on.
func (p *Allowance) StoreBack(length time.Duration, now time.Time) {
	p.expect(outage{length: length, until: now.Add(outageMemory)}, now)
}

// Expect takes in an outage that a peer expects.
func (p *Allowance) Expect(o Outage, now time.Time) {
	left := min(time.Duration(o.LeftMs)*time.Millisecond, outageMemory)
	p.expect(outage{length: time.Duration(o.Ms) * time.Millisecond, until: now.Add(left)}, now)
}

func (p *Allowance) expect(o outage, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.length = min(o.length, longestOutage)
	p.outage = p.outage.or(o, now)
}

// Expected is the outage that this node expects, for its peers; nil is none.
func (p *Allowance) Expected(now time.Time) *Outage {
	p.mu.Lock()
	defer p.mu.Unlock()
	length := p.outage.expected(now)
	if length <= 0 {
		return nil
	}
	return &Outage{Ms: length.Milliseconds(), LeftMs: p.outage.until.Sub(now).Milliseconds()}
}

// lowPart is the part of its target below which a holding is refilled soon.
const lowPart = 0.7

// Low is whether a holding that is asked for has fallen far below its target though
// there is something left to draw.
func (p *Allowance) Low(nodes int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.quotas {
		if !k.demand.known && k.clients <= 0 {
			continue
		}
		target := p.tuning.target(k, nodes, p.outage.expected(now), now)
		if k.pool > 0 && target > 0 && float64(k.free()) < lowPart*float64(target) {
			return true
		}
	}
	return false
}
