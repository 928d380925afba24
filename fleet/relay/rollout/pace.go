package rollout

import (
	"math"
	"time"
)

const (
	// paceHalf is after how long half of the answers of late has faded.
	paceHalf = 700 * time.Millisecond
	// paceLow is the part of the usual answers below which nodes are taken for silent, where
	// it is more than paceErrors standard errors below.
	paceLow    = 0.75
	paceErrors = 2.0
	// paceGap is from when on evidence that comes late was held up by the decider's own
	// standstill: nodes tell several times as often.
	paceGap = 700 * time.Millisecond
)

// pace is how fast evidence comes in: where nodes, or the one that decides, stand still,
// answers are missing, and the time that passes proves nothing. It is immutable.
type pace struct {
	recent  float64   // answers of late
	at      time.Time // of the latest evidence
	missing time.Time // when answers were missing last
	resumed time.Time // when evidence came again after it was held up
}

// with takes in how many answers are new, where so many a second are usual.
func (p pace) with(answers int, perSecond float64, now time.Time) pace {
	if p.at.IsZero() {
		p.at = now
		return p
	}
	passed := max(now.Sub(p.at), time.Millisecond)
	keep := keeps(passed, paceHalf)
	usual := perSecond * passed.Seconds() / (1 - keep)
	p.recent, p.at = p.recent*keep+float64(answers), now
	if passed >= paceGap {
		p.resumed, p.missing = now, now
	}
	if p.recent+paceErrors*math.Sqrt(usual) < paceLow*usual {
		p.missing = now
	}
	return p
}
