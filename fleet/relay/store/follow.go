package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// How a follower waits. A watch is shorter than the store's own bound, so that
// a silent partition is felt; an error backs off, with jitter.
const (
	watchWait   = 25 * time.Second
	watchSlack  = 1500 * time.Millisecond
	callTimeout = 2 * time.Second
	backoffMin  = 150 * time.Millisecond
	backoffMax  = 1200 * time.Millisecond
)

// Change is what a follower hands on: sealed.
type Change interface{ change() }

// Snapshot is the whole of a kind at a revision.
type Snapshot struct {
	Objects  []Object
	Revision int64
}

// Update is a run of events up to a revision.
type Update struct {
	Events   []Event
	Revision int64
}

// Lost says that the store did not answer; Err tells why.
type Lost struct{ Err error }

func (Snapshot) change() {}
func (Update) change()   {}
func (Lost) change()     {}

// Follow lists a kind and then watches it until ctx ends. It never hands on a
// revision older than one it handed on before: an older list is dropped. After
// events it rests, so that a burst of them costs few calls.
func Follow(ctx context.Context, s Store, kind string, rest time.Duration, apply func(Change)) {
	f := follower{store: s, kind: kind, rest: rest, apply: apply, backoff: backoffMin}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
			continue
		}
		f.backoff = backoffMin
	}
}

type follower struct {
	store   Store
	kind    string
	rest    time.Duration
	apply   func(Change)
	at      int64
	listed  bool
	lost    bool
	backoff time.Duration
}

func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, at, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	if at < f.at {
		return errors.Newf("list of %s at revision %d is older than %d", f.kind, at, f.at)
	}
	f.at, f.listed, f.lost = at, true, false
	f.apply(Snapshot{Objects: objects, Revision: at})
	return nil
}

func (f *follower) watch(parent context.Context) error {
	wait := watchWait
	if f.lost {
		wait = time.Millisecond
	}
	ctx, cancel := context.WithTimeout(parent, wait+watchSlack)
	defer cancel()
	events, at, err := f.store.Watch(ctx, f.kind, f.at, wait)
	if err != nil {
		return err
	}
	if at < f.at {
		return errors.Newf("watch of %s went back from revision %d to %d", f.kind, f.at, at)
	}
	f.at, f.lost = at, false
	f.apply(Update{Events: events, Revision: at})
	if len(events) > 0 {
		pause(parent, f.rest)
	}
	return nil
}

func (f *follower) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrCompacted) {
		f.listed = false
		return
	}
	if !f.lost {
		f.apply(Lost{Err: err})
	}
	f.lost = true
	pause(ctx, f.backoff/2+rand.N(f.backoff/2))
	f.backoff = min(2*f.backoff, backoffMax)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
