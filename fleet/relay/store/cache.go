package store

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// ErrUnfit means that a cache can't answer for the store: its content does not come from
// near enough to the store, was confirmed too long ago, or the store is lost.
var ErrUnfit = errors.New("store: the cache does not follow the store now")

// maxCachedEvents is the number of changes that a cache keeps for watches that continue
// from an older revision.
const maxCachedEvents = 512

// Origin is how near to the store an answer comes from. A node passes on only what it has
// from the store itself or from a node that watches the store, so that updates don't loop
// between nodes and pass through at most two of them.
type Origin int

// The origins, farthest first.
const (
	FromOther   Origin = iota // from a node that does not watch the store, or unknown
	FromWatcher               // from a node that watches the store
	FromStore                 // from the store itself
)

// String implements fmt.Stringer.
func (o Origin) String() string {
	switch o {
	case FromStore:
		return "store"
	case FromWatcher:
		return "watcher"
	default:
		return "other"
	}
}

// Provenance is where an answer for a kind came from, and how current it is.
type Provenance struct {
	Origin    Origin
	Source    string    // name of the node that answered; "" is the store itself
	Answered  time.Time // when the answer arrived
	Confirmed time.Time // when the store confirmed what was answered, at the latest
}

// Answer is a list, or the events of a watch, that a node gives in place of the store.
type Answer struct {
	Objects   []Object // of a list
	Events    []Event  // of a watch
	Revision  Revision
	Confirmed time.Time // when the store confirmed the content, at the latest
}

// Cache holds the objects of one kind that a follower delivered, and answers lists and
// watches from them, so that nodes which do not watch the store receive changes from one
// that does. It is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	origin    Origin    // of the content; FromOther while the store is lost
	confirmed time.Time // when the store confirmed the content, at the latest
	maxAge    time.Duration
	objects   map[string]Object
	revision  Revision
	floor     Revision // events up to here are dropped
	events    []cachedEvent
	changed   chan struct{} // closed at the next change or confirmation
}

type cachedEvent struct {
	Event
	at Revision // revision of the update that brought it
}

// anyAge is the maximum age of content that need not be confirmed.
const anyAge = math.MaxInt64 / 2

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{objects: map[string]Object{}, changed: make(chan struct{}), maxAge: anyAge}
}

// WithMaxAge sets how long ago the store may have confirmed the content that the cache answers
// with. It must be called before use.
func (c *Cache) WithMaxAge(d time.Duration) *Cache {
	c.maxAge = d
	return c
}

// Apply applies a follower's change, which came from the given origin and is confirmed now.
func (c *Cache) Apply(change Change, from Origin) {
	c.ApplyFrom(change, Provenance{Origin: from, Confirmed: clock.Now()})
}

// ApplyFrom applies a follower's change with the given provenance.
func (c *Cache) ApplyFrom(change Change, from Provenance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch change := change.(type) {
	case Snapshot:
		c.origin, c.confirmed = from.Origin, from.Confirmed
		c.objects = map[string]Object{}
		for _, o := range change.Objects {
			c.objects[o.Name] = o
		}
		c.revision, c.floor, c.events = change.Revision, change.Revision, nil
	case Update:
		c.origin, c.confirmed = from.Origin, from.Confirmed
		c.revision = change.Revision
		for _, e := range change.Events {
			c.apply(e)
		}
	case Lost:
		c.origin = FromOther
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Cache) apply(e Event) {
	if e.Gone {
		delete(c.objects, e.Object.Name)
	} else {
		c.objects[e.Object.Name] = e.Object
	}
	c.events = append(c.events, cachedEvent{Event: e, at: c.revision})
	if extra := len(c.events) - maxCachedEvents; extra > 0 {
		c.floor = c.events[extra-1].at
		c.events = c.events[extra:]
	}
}

// Revision returns the revision of the content; 0 if there is none yet.
func (c *Cache) Revision() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// List returns all objects and their revision, or ErrUnfit unless they come from a watcher
// or the store.
func (c *Cache) List() ([]Object, Revision, error) {
	a, err := c.ListFrom(FromWatcher)
	return a.Objects, a.Revision, err
}

// ListFrom is List for content that comes from minOrigin or nearer.
func (c *Cache) ListFrom(minOrigin Origin) (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fit(minOrigin) {
		return Answer{}, ErrUnfit
	}
	return Answer{Objects: slices.Collect(maps.Values(c.objects)), Revision: c.revision, Confirmed: c.confirmed}, nil
}

// fit reports whether the cache may answer for the store. The lock is held.
func (c *Cache) fit(minOrigin Origin) bool {
	return c.origin >= minOrigin && clock.Since(c.confirmed) <= c.maxAge
}

// Watch waits up to wait for changes after a revision, as Store.Watch does.
func (c *Cache) Watch(ctx context.Context, since Revision, wait time.Duration) ([]Event, Revision, error) {
	a, err := c.WatchFrom(ctx, FromWatcher, since, wait)
	return a.Events, a.Revision, err
}

// WatchFrom is Watch for content that comes from minOrigin or nearer, and that is confirmed, both
// when the call begins and after it has waited. It returns without events as soon as the content
// is confirmed anew, so that a confirmation reaches all nodes as fast as a change.
func (c *Cache) WatchFrom(ctx context.Context, minOrigin Origin, since Revision, wait time.Duration) (Answer, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	var confirmed time.Time // as the call began
	for {
		a, changed, err := c.after(minOrigin, since)
		if confirmed.IsZero() {
			confirmed = a.Confirmed
		}
		if err != nil || len(a.Events) > 0 || a.Confirmed.After(confirmed) {
			return a, err
		}
		overdue := time.NewTimer(c.untilOverdue(a.Confirmed))
		select {
		case <-changed:
		case <-overdue.C:
		case <-end.C:
			return a, nil
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
		overdue.Stop()
	}
}

// untilOverdue returns how long content stays fit that was confirmed at a time.
func (c *Cache) untilOverdue(confirmed time.Time) time.Duration {
	const margin = time.Millisecond // beyond the age that is still fit
	return c.maxAge - clock.Since(confirmed) + margin
}

// after returns the events after a revision, and a channel that is closed at the next change or
// confirmation.
func (c *Cache) after(minOrigin Origin, since Revision) (Answer, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.fit(minOrigin) || since.Era() > c.revision.Era():
		return Answer{}, nil, ErrUnfit
	case since < c.floor:
		return Answer{}, nil, ErrCompacted
	}
	return Answer{Events: c.latest(since), Revision: max(c.revision, since), Confirmed: c.confirmed}, c.changed, nil
}

// latest lists the last change of each object after a revision: a node that is behind by
// many versions of a large object needs only the last one.
func (c *Cache) latest(since Revision) []Event {
	var events []Event
	seen := map[string]bool{}
	for _, e := range slices.Backward(c.events) {
		if e.at <= since {
			break
		}
		if !seen[e.Object.Name] {
			seen[e.Object.Name] = true
			events = append(events, e.Event)
		}
	}
	slices.Reverse(events)
	return events
}
