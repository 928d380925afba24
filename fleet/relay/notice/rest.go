package notice

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/relay/announce"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Use is how far a node uses an endpoint that asked for rest.
type Use int

// The uses.
const (
	Free       Use = iota // like any other endpoint
	Probe                 // for one call that may be sent elsewhere if it is turned away
	LastResort            // for calls that no other endpoint may take
	Closed                // not at all
)

const (
	// maxSpread is the maximum time after a rest over which nodes return one after the other. They
	// were asked at about the same time, by an endpoint that had just become too full.
	maxSpread = 2 * time.Second
	// answerTimeout is how long to wait for the answer to the first call after a rest before sending
	// the next one.
	answerTimeout = time.Second
	// probePeriod is how long after its slot a node leaves the first call to those that can go
	// elsewhere if the endpoint still turns them away.
	probePeriod = time.Second
	// carryOver is how long before the entry of a new incarnation an answer may have come from it:
	// answers don't name the incarnation, and may be read before its entry.
	carryOver = time.Second
	// restRetention is how long after its end a rest is kept that no call showed to be over.
	restRetention = 10 * time.Second
)

// rest is the state of the rests of one incarnation. The zero value means there was none.
type rest struct {
	since, until time.Time // requested from this node
	requestedAt  time.Time // when an answer to this node last requested it
	peerUntil    time.Time // end of the rest requested from another node
	by           string    // that node
	probed       time.Time // when the first call after the rest was sent
	due          announce.Schedule
}

// requested records that this node is to send nothing for a while. It returns true if no rest
// was in effect. The latest end holds, since answers can overtake each other.
func (r *rest) requested(length time.Duration, now time.Time) (began bool) {
	began = !now.Before(r.until)
	r.requestedAt = now
	if began {
		r.since = now
	}
	if began && !now.Before(r.peerUntil) {
		r.due.MarkUpdated(now) // otherwise the others know of one
	}
	if until := now.Add(length); until.After(r.until) {
		r.until = until
	}
	r.probed = time.Time{}
	return began
}

// received records that another node was asked for rest. It returns true if none was known.
func (r *rest) received(from string, until, now time.Time) (began bool) {
	if !until.After(r.peerUntil) {
		return false
	}
	began = !now.Before(r.end())
	if began {
		r.since, r.probed = now, time.Time{}
		r.due.MarkUpdated(now)
	}
	r.peerUntil, r.by = until, from
	return began
}

// end returns the end of the latest known rest.
func (r *rest) end() time.Time {
	if r.peerUntil.After(r.until) {
		return r.peerUntil
	}
	return r.until
}

// use returns how far an endpoint is used. The node returns after its position in the spread. A
// rest requested from another node does not forbid this node's calls, which the endpoint may
// want, but the next one is more likely to be turned away there than elsewhere.
func (r *rest) use(position float64, now time.Time) Use {
	end := r.end()
	switch slot := time.Duration(position * float64(min(end.Sub(r.since), maxSpread))); {
	case now.Before(r.until):
		return Closed
	case now.Before(end.Add(slot)), !r.probed.IsZero() && now.Sub(r.probed) < answerTimeout:
		return LastResort
	case now.Before(end.Add(slot + probePeriod)):
		return Probe
	}
	return Free
}

func (r *rest) list(one Listed, now time.Time) Listed {
	one.Notice, one.SinceMs, one.LeftMs = "rest", now.Sub(r.since).Milliseconds(), r.end().Sub(now).Milliseconds()
	if !now.Before(r.until) {
		one.From = r.by
	}
	return one
}

// spreadPosition returns this node's position among those that return to an endpoint, from 0 to
// 1.
func (t *Tracker) spreadPosition(incarnation engine.Incarnation) float64 {
	const shift = 11 // leaves as many bits of a hash as a float64 has in its fraction
	return float64(ident.Mix(t.self^xxhash.Sum64String(incarnation.ID))>>shift) / (1 << (64 - shift))
}

// Use returns how far this node uses an endpoint now.
func (t *Tracker) Use(incarnation engine.Incarnation, now time.Time) Use {
	if t.count.Load() == 0 {
		return Free
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.known[incarnation]
	if !ok || k.rest.end().IsZero() {
		return Free
	}
	return k.rest.use(t.spreadPosition(incarnation), now)
}

// Resting reports whether an endpoint wants nothing from this node now, until when, and the
// total length of the rest.
func (t *Tracker) Resting(incarnation engine.Incarnation, now time.Time) (until time.Time, length time.Duration, resting bool) {
	if t.count.Load() == 0 {
		return time.Time{}, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.known[incarnation]
	if !ok || !now.Before(k.rest.until) {
		return time.Time{}, 0, false
	}
	return k.rest.until, k.rest.until.Sub(k.rest.since), true
}

// Placed records a call to an endpoint. After a rest the first call is sent alone.
func (t *Tracker) Placed(incarnation engine.Incarnation, now time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if k, ok := t.known[incarnation]; ok && !now.Before(k.rest.end()) {
		k.rest.probed = now
	}
}

// Accepted records that an endpoint accepted a call that was sent at the given time. If that was
// after a rest, the endpoint is used as before.
func (t *Tracker) Accepted(incarnation engine.Incarnation, sent time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	k, ok := t.known[incarnation]
	over := ok && !k.rest.end().IsZero() && !sent.Before(k.rest.end())
	if over {
		k.rest = rest{}
		t.dropEmpty(incarnation, k)
	}
	t.mu.Unlock()
	if over {
		t.changed(Ended{Engine: k.engine})
	}
}
