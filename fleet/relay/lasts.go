package relay

import "time"

// lastsWindow is over how long the longest expected call is kept: a window is a part of
// what a move takes, and two of them count.
const lastsWindow = 2 * time.Second

// lasts is the longest that calls of late were expected to take.
type lasts struct {
	now, before time.Duration
	since       time.Time
}

func (l *lasts) add(d time.Duration, now time.Time) {
	l.turn(now)
	l.now = max(l.now, d)
}

// turn begins a new window where the last one is over.
func (l *lasts) turn(now time.Time) {
	passed := now.Sub(l.since)
	switch {
	case passed >= 2*lastsWindow:
		l.now, l.before, l.since = 0, 0, now
	case passed >= lastsWindow:
		l.now, l.before, l.since = 0, l.now, now
	}
}

func (l *lasts) most(now time.Time) time.Duration {
	l.turn(now)
	return max(l.now, l.before)
}
