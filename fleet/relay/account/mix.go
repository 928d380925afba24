package account

import (
	"math"
	"time"
)

// mixFades is the time after which half of what was asked for counts.
const mixFades = 5 * time.Second

// mix is what a node is asked for by kind of call, of all tenants: tokens and calls that
// fade.
type mix struct {
	kinds map[string]kindDemand
	at    time.Time
}

type kindDemand struct{ tokens, calls float64 }

func (k kindDemand) size() float64 { return k.tokens / max(k.calls, 1e-9) }

func (m *mix) add(kind string, tokens int64, now time.Time) {
	if m.kinds == nil {
		m.kinds, m.at = map[string]kindDemand{}, now
	}
	if past := now.Sub(m.at); past > mixFades/10 {
		keep := math.Exp2(-past.Seconds() / mixFades.Seconds())
		for name, k := range m.kinds {
			m.kinds[name] = kindDemand{k.tokens * keep, k.calls * keep}
		}
		m.at = now
	}
	k := m.kinds[kind]
	m.kinds[kind] = kindDemand{k.tokens + float64(tokens), k.calls + 1}
}

// smaller is the share of the tokens that kinds of calls ask for which are smaller in
// the mean than those of one kind.
func (m *mix) smaller(kind string) float64 {
	size, of, all := m.kinds[kind].size(), 0.0, 0.0
	for _, k := range m.kinds {
		all += k.tokens
		if k.size() < size {
			of += k.tokens
		}
	}
	if all == 0 {
		return 0
	}
	return of / all
}
