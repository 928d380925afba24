// Package announce schedules when a node announces what it knows to other nodes: updates at once, and
// then for a while together with its digests, since datagrams get lost and in a large fleet an
// announcement does not reach all nodes at once.
package announce

import "time"

const (
	digestPeriod  = 1200 * time.Millisecond // for which something is announced with the digests
	renewInterval = 10 * time.Second        // between such periods without a change, for nodes that missed the last
)

// Schedule is the announcement schedule of one thing. The zero value announces nothing.
type Schedule struct {
	updated bool      // to be announced at once
	started time.Time // start of the last period of announcements with the digests
	until   time.Time // end of that period
}

// MarkUpdated schedules an announcement at once, and with the digests for a while.
func (s *Schedule) MarkUpdated(now time.Time) {
	s.updated = true
	s.started, s.until = now, now.Add(digestPeriod)
}

// Renew schedules announcements with the digests, if the last ones were long ago.
func (s *Schedule) Renew(now time.Time) {
	if now.Sub(s.started) >= renewInterval {
		s.started, s.until = now, now.Add(digestPeriod)
	}
}

// TakeUpdate reports whether an announcement at once is due, and clears that.
func (s *Schedule) TakeUpdate() bool {
	updated := s.updated
	s.updated = false
	return updated
}

// WithDigests reports whether it is announced with the digests.
func (s *Schedule) WithDigests(now time.Time) bool { return now.Before(s.until) }

// Urgent signals that there are updates that must not wait for the digests.
type Urgent chan struct{}

// NewUrgent returns an Urgent without a pending signal.
func NewUrgent() Urgent { return make(Urgent, 1) }

// Notify sends the signal, unless one is already pending.
func (u Urgent) Notify() {
	select {
	case u <- struct{}{}:
	default:
	}
}
