package relay

import "time"

// windowLength is the length of one window, short compared with the time of a move. The maximum
// covers the current window and the one before.
const windowLength = 2 * time.Second

// durationWindow tracks the longest expected duration of recent calls.
type durationWindow struct {
	current, previous time.Duration
	since             time.Time
}

func (l *durationWindow) add(d time.Duration, now time.Time) {
	l.rotate(now)
	l.current = max(l.current, d)
}

// rotate starts a new window if the current one is over.
func (l *durationWindow) rotate(now time.Time) {
	passed := now.Sub(l.since)
	switch {
	case passed >= 2*windowLength:
		l.current, l.previous, l.since = 0, 0, now
	case passed >= windowLength:
		l.current, l.previous, l.since = 0, l.current, now
	}
}

func (l *durationWindow) longest(now time.Time) time.Duration {
	l.rotate(now)
	return max(l.current, l.previous)
}
