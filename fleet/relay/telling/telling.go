// Package telling is when a node tells others what it knows: at once what is new, and again
// along with its digests for a while, since datagrams are lost and in a large fleet not all
// are told at once.
package telling

import "time"

const (
	along = 1200 * time.Millisecond // for which something is told with the digests
	again = 10 * time.Second        // between two such times while nothing changes, for those that heard nothing
)

// Due is whether one thing is to be told. The zero value is not.
type Due struct {
	news  bool
	told  time.Time
	until time.Time
}

// News has it told at once, and along with the digests.
func (d *Due) News(now time.Time) {
	d.news = true
	d.told, d.until = now, now.Add(along)
}

// Renew has it told along with the digests, where it was not for long.
func (d *Due) Renew(now time.Time) {
	if now.Sub(d.told) >= again {
		d.told, d.until = now, now.Add(along)
	}
}

// TakeNews is whether it is to be told at once; true only once.
func (d *Due) TakeNews() bool {
	news := d.news
	d.news = false
	return news
}

// Along is whether it is told along with the digests.
func (d *Due) Along(now time.Time) bool { return now.Before(d.until) }

// Urgent tells that there are news that are not to wait for the digests.
type Urgent chan struct{}

// NewUrgent returns one that tells of nothing.
func NewUrgent() Urgent { return make(Urgent, 1) }

// Hurry tells it; whoever is about to be told is not told twice.
func (u Urgent) Hurry() {
	select {
	case u <- struct{}{}:
	default:
	}
}
