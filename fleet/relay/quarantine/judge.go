package quarantine

import (
	"bytes"
	"slices"
	"time"

	"github.com/samber/lo"
)

// attribution maps each request to the ends attributed to it.
type attribution map[Fingerprint][]*end

// attribute attributes each end to those of its suspects that were present at the most ends. A
// request that merely ran beside a harmful one was present at few of the same ends; one that
// was present at as many is included. Requests that were present at one end only are skipped,
// except those in always: when many endpoints are lost at once, nearly all requests are such.
func attribute(ends []*end, served map[Fingerprint]time.Time, r Rule, always map[Fingerprint]Held) attribution {
	presence := map[Fingerprint]int{}
	prime := make([][]Fingerprint, len(ends))
	for i, e := range ends {
		prime[i] = e.primeSuspects(served)
		for _, p := range prime[i] {
			presence[p]++
		}
	}
	present := attribution{}
	for i, e := range ends {
		for _, p := range prime[i] {
			if _, listed := always[p]; presence[p] > 1 || listed {
				present[p] = append(present[p], e)
			}
		}
	}
	maxCount := map[*end]int{}
	count := map[Fingerprint]int{}
	for p, of := range present {
		count[p] = occasions(of, r.Apart)
		for _, e := range of {
			maxCount[e] = max(maxCount[e], count[p])
		}
	}
	attributed := attribution{}
	for p, n := range count {
		attributed[p] = lo.Filter(present[p], func(e *end, _ int) bool { return n == maxCount[e] })
	}
	return attributed
}

// overLimit returns the requests to which enough ends are attributed. Of requests that share
// exactly the same ends, the first is not quarantined: if endpoints go on ending it is the
// harmful one and the others are not, and if it is served it is cleared.
func (o attribution) overLimit(r Rule, needed func(Fingerprint) int) map[Fingerprint][]*end {
	heavy := lo.PickBy(o, func(p Fingerprint, ends []*end) bool { return weight(p, ends, r.Apart) >= needed(p) })
	return lo.OmitBy(heavy, func(p Fingerprint, ends []*end) bool {
		together := lo.Keys(lo.PickBy(heavy, func(_ Fingerprint, others []*end) bool { return slices.Equal(others, ends) }))
		return len(together) > 1 && p == slices.MinFunc(together, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	})
}
