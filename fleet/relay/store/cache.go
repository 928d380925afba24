package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnfit means that a cache can't answer for the store: its content does not come from
// near enough to the store, or the store is lost.
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

// Provenance is where an answer for a kind came from.
type Provenance struct {
	Origin   Origin
	Source   string // name of the node that answered; "" is the store itself
	Answered time.Time
}

// Cache holds the objects of one kind that a follower delivered, and answers lists and
// watches from them, so that nodes which do not watch the store receive changes from one
// that does. It is safe for concurrent use.
type Cache struct {
	mu       sync.Mutex
	origin   Origin // of the content; FromOther while the store is lost
	objects  map[string]Object
	revision Revision
	floor    Revision // events up to here are dropped
	events   []cachedEvent
	changed  chan struct{} // closed at the next change
}

type cachedEvent struct {
	Event
	at Revision // revision of the update that brought it
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Apply applies a follower's change, which came from the given origin.
func (c *Cache) Apply(change Change, from Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch change := change.(type) {
	case Snapshot:
		c.origin = from
		c.objects = map[string]Object{}
		for _, o := range change.Objects {
			c.objects[o.Name] = o
		}
		c.revision, c.floor, c.events = change.Revision, change.Revision, nil
	case Update:
		c.origin = from
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
func (c *Cache) List() ([]Object, Revision, error) { return c.ListFrom(FromWatcher) }

// ListFrom is List for content that comes from minOrigin or nearer.
func (c *Cache) ListFrom(minOrigin Origin) ([]Object, Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.origin < minOrigin {
		return nil, 0, ErrUnfit
	}
	objects := make([]Object, 0, len(c.objects))
	for _, o := range c.objects {
		objects = append(objects, o)
	}
	return objects, c.revision, nil
}

// Watch waits up to wait for changes after a revision, as Store.Watch does.
func (c *Cache) Watch(ctx context.Context, since Revision, wait time.Duration) ([]Event, Revision, error) {
	return c.WatchFrom(ctx, FromWatcher, since, wait)
}

// WatchFrom is Watch for content that comes from minOrigin or nearer, both when the call
// begins and after it has waited.
func (c *Cache) WatchFrom(ctx context.Context, minOrigin Origin, since Revision, wait time.Duration) ([]Event, Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, at, changed, err := c.after(minOrigin, since)
		if err != nil || len(events) > 0 {
			return events, at, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, max(at, since), nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// after returns the events after a revision, and a channel that is closed at the next change.
func (c *Cache) after(minOrigin Origin, since Revision) ([]Event, Revision, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.origin < minOrigin || since.Era() > c.revision.Era():
		return nil, 0, nil, ErrUnfit
	case since < c.floor:
		return nil, 0, nil, ErrCompacted
	}
	return c.latest(since), c.revision, c.changed, nil
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
