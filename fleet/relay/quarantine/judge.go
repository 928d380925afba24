package quarantine

import (
	"bytes"
	"slices"
	"time"

	"github.com/samber/lo"
)

// attribution is the ends that are attributed to each request.
type attribution map[Print][]*end

// attribute attributes each end to those of its suspects that were in most of them: what ran beside a
// request under which endpoints end was in few of its ends. One that was in as many is
// named as well. Requests that were in one end only are passed over, but for some: in a
// loss of many endpoints at once these are all that there are.
func attribute(ends []*end, served map[Print]time.Time, r Rule, some map[Print]Held) attribution {
	times := map[Print]int{}
	prime := make([][]Print, len(ends))
	for i, e := range ends {
		prime[i] = e.prime(served)
		for _, p := range prime[i] {
			times[p]++
		}
	}
	in := attribution{}
	for i, e := range ends {
		for _, p := range prime[i] {
			if _, listed := some[p]; times[p] > 1 || listed {
				in[p] = append(in[p], e)
			}
		}
	}
	most := map[*end]int{}
	count := map[Print]int{}
	for p, of := range in {
		count[p] = occasions(of, r.Apart)
		for _, e := range of {
			most[e] = max(most[e], count[p])
		}
	}
	on := attribution{}
	for p, n := range count {
		on[p] = lo.Filter(in[p], func(e *end, _ int) bool { return n == most[e] })
	}
	return on
}

// overLimit lists the requests to which enough ends are attributed. Of those that always met, the
// first is not held back: if endpoints go on ending it is known to be the one, and the
// others are not; and if it is served it is cleared.
func (o attribution) overLimit(r Rule, needed func(Print) int) map[Print][]*end {
	found := lo.PickBy(o, func(p Print, ends []*end) bool { return weight(p, ends, r.Apart) >= needed(p) })
	return lo.OmitBy(found, func(p Print, ends []*end) bool {
		met := lo.Keys(lo.PickBy(found, func(_ Print, others []*end) bool { return slices.Equal(others, ends) }))
		return len(met) > 1 && p == slices.MinFunc(met, func(a, b Print) int { return bytes.Compare(a[:], b[:]) })
	})
}
