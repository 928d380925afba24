package quarantine

import (
	"bytes"
	"slices"
	"time"

	"github.com/samber/lo"
)

// attribution maps each request, or each part, to the ends attributed to it.
type attribution map[Fingerprint][]*end

// kind is what ends are attributed to: requests, or parts of their prompts. Each kind is judged by
// itself: a part is present at every end of each request that holds it.
type kind int

const (
	requests kind = iota
	parts
)

func kindOf(s Suspect) kind {
	if s.isPart() {
		return parts
	}
	return requests
}

// attribute attributes each end to those of its suspects that were present at the most ends. A
// request that merely ran beside a harmful one was present at few of the same ends; one that
// was present at as many is included. Requests that were present at one end only are skipped,
// except those that always returns true for: when many endpoints are lost at once, nearly all
// requests are such.
func attribute(k kind, ends []*end, served map[Fingerprint]time.Time, r Rule, always func(Fingerprint, Suspect) bool) attribution {
	presence := map[Fingerprint]int{}
	prime := make([][]Fingerprint, len(ends))
	for i, e := range ends {
		prime[i] = e.primeSuspects(k, served)
		for _, p := range prime[i] {
			presence[p]++
		}
	}
	present := attribution{}
	for i, e := range ends {
		for _, p := range prime[i] {
			if presence[p] > 1 || always(p, e.suspects[p]) {
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
		if of := lo.Filter(present[p], func(e *end, _ int) bool { return n == maxCount[e] }); len(of) > 0 {
			attributed[p] = of
		}
	}
	return attributed
}

// overLimit returns the requests or parts to which enough ends are attributed. Of those that share
// exactly the same ends, the parts that stand latest in their prompts count, since fewer requests
// hold them. Of what is left the first is not quarantined: if endpoints go on ending it is the
// harmful one and the others are not, and if it is served it is cleared.
func (o attribution) overLimit(r Rule, needed func(Fingerprint, []*end) int) map[Fingerprint][]*end {
	heavy := lo.PickBy(o, func(p Fingerprint, ends []*end) bool { return weight(p, ends, r.Apart) >= needed(p, ends) })
	return lo.OmitBy(heavy, func(p Fingerprint, ends []*end) bool {
		together := lo.Keys(lo.PickBy(heavy, func(_ Fingerprint, others []*end) bool { return slices.Equal(others, ends) }))
		depth := func(p Fingerprint) int { return ends[0].suspects[p].Depth }
		deepest := lo.Max(lo.Map(together, func(p Fingerprint, _ int) int { return depth(p) }))
		together = lo.Filter(together, func(p Fingerprint, _ int) bool { return depth(p) == deepest })
		if depth(p) < deepest {
			return true
		}
		return len(together) > 1 && p == slices.MinFunc(together, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	})
}

// without returns the attribution without the parts whose ends are all attributed to one of the
// requests: these ended endpoints, whatever their parts.
func (o attribution) without(found map[Fingerprint][]*end) attribution {
	return lo.OmitBy(o, func(_ Fingerprint, ends []*end) bool {
		return lo.SomeBy(lo.Values(found), func(others []*end) bool { return lo.Every(others, ends) })
	})
}
