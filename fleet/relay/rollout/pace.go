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
	since   time.Time // what is usual is counted from then on, once others were heard
	before  int       // answers until then
	began   time.Time // of the evidence
	all     int       // answers by the latest evidence
	recent  float64   // answers of late
	lasted  float64   // seconds in which they came, fading as these do
	at      time.Time // of the latest evidence
	missing time.Time // when answers were missing last
	resumed time.Time // when evidence came again after it was held up
}

// with takes in how many answers there are of an order of which so much is over. What others
// saw before a decider began comes with the first words of theirs, and is no pace: until
// these are in nothing is known of it.
func (p pace) with(all int, used time.Duration, now time.Time) pace {
	if p.at.IsZero() {
		p.began, p.at, p.all = now, now, all
		return p
	}
	passed := max(now.Sub(p.at), time.Millisecond)
	keep := keeps(passed, paceHalf)
	p.recent, p.lasted = p.recent*keep+float64(all-p.all), p.lasted*keep+passed.Seconds()
	p.at, p.all = now, all
	hears := p.since.Before(p.began.Add(foundAfter))
	if passed >= paceGap {
		p.resumed, p.missing = now, now
		if hears {
			p.began = now // what others saw meanwhile is still to be heard
		}
	}
	if hears {
		p.since, p.before, p.recent, p.lasted, p.missing = now, all, 0, 0, now
		return p
	}
	// Nodes that were lost take what they saw with them, and a decider that has just begun may
	// have seen nothing but a standstill: the greater one is usual.
	perSecond := max(float64(all)/used.Seconds(), float64(all-p.before)/max(now.Sub(p.since), time.Millisecond).Seconds())
	usual := perSecond * p.lasted
	if p.recent+paceErrors*math.Sqrt(usual) < paceLow*usual {
		p.missing = now
	}
	return p
}
