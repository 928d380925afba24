package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// How a follower waits. A watch is shorter than the store's own limit, so that a silent
// partition is detected; errors back off with jitter.
const (
	maxWatchWait = 25 * time.Second
	historyShare = 0.8 // maximum share of the store's history that a watch waits, so that it can continue from its revision
	watchSlack   = 700 * time.Millisecond
	callTimeout  = 2 * time.Second
	backoffMin   = 150 * time.Millisecond
	// backoffMax is short because a store that refuses is only pinged: the nodes that watch
	// it must be connected again before the nodes that wait for them ask it themselves.
	backoffMax  = 500 * time.Millisecond
	maxAttempts = 2               // consecutive failures after which a follower leaves retrying to the leader
	leaderWait  = 3 * time.Second // for the leader, before a follower retries by itself
	// maxExcused is the number of failures without an answer in between that are attributed
	// to stalls of the process: the store may be lost at the same time.
	maxExcused     = 2
	unnamedBackoff = 500 * time.Millisecond // after a list caused by a change without a name, which may recur
	peerBackoff    = 200 * time.Millisecond // before peers are asked again, which costs the store nothing
)

// FollowOptions configures a follower.
type FollowOptions struct {
	Kind         string
	Rest         func() time.Duration // pause after events, so that a burst costs few calls
	History      time.Duration        // how long the store keeps history; 0 if unknown
	Health       *Health              // shared by a node's followers; nil: not shared
	Leads        bool                 // retries on behalf of all followers while the store is lost
	MaxWait      func() time.Duration // maximum wait of one watch, so that a silent store is detected; nil: no limit of its own
	SmallChanges bool                 // changes are few and small: a restarted watch continues from its revision without a list
	Log          log.Interface        // nil: nothing is logged
	Relist       *Relist              // requests a new list at once; nil: never
}

// FixedRest returns a constant Rest.
func FixedRest(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// wait returns how long one watch waits for events.
func (o FollowOptions) wait() time.Duration {
	wait := maxWatchWait
	if o.History > 0 {
		wait = min(wait, time.Duration(historyShare*float64(o.History)))
	}
	if o.MaxWait != nil {
		wait = min(wait, o.MaxWait())
	}
	return wait
}

// minRenewedListAge is the minimum age of a pending list that is restarted together with
// the watches: a store that answers takes less time, and an extra list costs one call.
const minRenewedListAge = 50 * time.Millisecond

// errRenewed means that a list was canceled to be sent again, since the store is available
// again.
var errRenewed = errors.New("store: list restarted")

// errBehind means that an answer is older than one already delivered.
var errBehind = errors.New("store: answer older than one already delivered")

// Change is what a follower delivers: a Snapshot, an Update or Lost.
type Change interface{ change() }

// Snapshot holds all objects of a kind at a revision.
type Snapshot struct {
	Objects  []Object
	Revision Revision
}

// Update holds the events up to a revision.
type Update struct {
	Events   []Event
	Revision Revision
}

// Lost means that the store did not answer, because of Err.
type Lost struct{ Err error }

func (Snapshot) change() {}
func (Update) change()   {}
func (Lost) change()     {}

// Follow lists a kind and then watches it until ctx ends. It never delivers a revision
// older than one it delivered before: an older list is dropped.
func Follow(ctx context.Context, s Store, options FollowOptions, apply func(Change)) {
	f := follower{FollowOptions: options, store: s, apply: apply, backoff: backoffMin, dropped: Dropped{Log: options.Log}}
	if f.Health == nil {
		f.Health = NewHealth()
	}
	for ctx.Err() == nil {
		sent := clock.Now()
		err := f.step(ctx)
		if errors.Is(err, errRenewed) {
			continue
		}
		if err != nil && f.excused < maxExcused && f.Health.Stalled(sent) {
			// The call timed out while the process stalled, so the store may have answered. A
			// list soon shows whether the store is silent too; a watch might wait for long.
			f.listed = false
			f.excused++
			continue
		}
		if err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
			continue
		}
		f.succeeded()
	}
}

type follower struct {
	FollowOptions
	store    Store
	apply    func(Change)
	at       Revision
	listed   bool // a list succeeded, and no watch was abandoned since
	unnamed  bool // the kind is listed again because a change had no name
	lost     bool
	failures int // consecutive
	excused  int // failures since the last answer that a stall may have caused
	dropped  Dropped
	backoff  time.Duration
}

func (f *follower) succeeded() {
	f.backoff, f.failures, f.excused = backoffMin, 0, 0
	if f.Leads {
		f.Health.leaderAnswered()
		return
	}
	f.Health.answered(f.Kind)
}

// step watches, or lists if the store was lost since, because the missed changes may be
// many and large.
func (f *follower) step(ctx context.Context) error {
	if f.listed && !f.lost {
		return f.watch(ctx)
	}
	if err := f.list(ctx); err != nil {
		return err
	}
	if f.unnamed {
		f.unnamed = false
		clock.Pause(ctx, unnamedBackoff)
	}
	return nil
}

// hasUnnamed reports whether an object changed whose name can't be decoded. Only a list
// shows which one it was, by its absence.
func hasUnnamed(events []Event) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return e.Object.Name == "" })
}

func (f *follower) list(ctx context.Context) error {
	renew := f.Health.renewed()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := clock.Now()
	go cancelOn(bounded, func() {
		if clock.Since(began) > minRenewedListAge {
			cancel()
		}
	}, renew, nil)
	objects, at, err := f.store.List(bounded, f.Kind)
	if errors.Is(bounded.Err(), context.Canceled) && ctx.Err() == nil {
		return errRenewed
	}
	if err != nil {
		return err
	}
	if at < f.at {
		return f.behindError("list", at)
	}
	f.at, f.listed, f.lost = at, true, false
	f.apply(Snapshot{Objects: objects, Revision: at})
	return nil
}

func (f *follower) watch(parent context.Context) error {
	wait, sent := f.wait(), clock.Now()
	renew, relist := f.Health.renewed(), f.Relist.Requested()
	ctx, cancel := context.WithTimeout(parent, wait+watchSlack)
	defer cancel()
	go cancelOn(ctx, cancel, renew, relist)
	events, at, err := f.store.Watch(ctx, f.Kind, f.at, wait)
	if err != nil && (isClosed(renew) || isClosed(relist)) && parent.Err() == nil {
		f.listed = f.SmallChanges && !isClosed(relist)
		return nil
	}
	if err != nil {
		return err
	}
	if at < f.at {
		return f.behindError("watch", at)
	}
	if hasUnnamed(events) {
		f.listed, f.unnamed = false, true
		return nil
	}
	f.at = at
	f.apply(Update{Events: events, Revision: at})
	// An answer that waited in its socket while the process stalled holds only the first of
	// the changes since; the later ones have waited long enough.
	if len(events) > 0 && !f.Health.Stalled(sent) {
		clock.Pause(parent, f.Rest())
	}
	return nil
}

// behindError logs an answer that is older than one already delivered, and returns its error.
func (f *follower) behindError(call string, at Revision) error {
	f.dropped.Report(f.Kind, call, at, f.at)
	return errors.Wrapf(errBehind, "%s of %s at revision %s, after %s", call, f.Kind, at, f.at)
}

// cancelOn cancels a call early if it must be restarted.
func cancelOn(ctx context.Context, cancel context.CancelFunc, renew, relist <-chan struct{}) {
	select {
	case <-renew:
		cancel()
	case <-relist:
		cancel()
	case <-ctx.Done():
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
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
	f.recordLost(errors.Is(err, ErrIsolated) || errors.Is(err, errBehind))
	if errors.Is(err, ErrSourcesLost) || errors.Is(err, errBehind) {
		clock.Pause(ctx, Jittered(peerBackoff))
		return
	}
	f.failures++
	if !f.Leads && f.failures > maxAttempts && f.Health.wait(ctx, leaderWait) {
		clock.Pause(ctx, rand.N(backoffMin))
		return
	}
	f.pause(ctx, f.backoff/2+rand.N(f.backoff/2))
	f.backoff = min(2*f.backoff, backoffMax)
}

// pause waits before the next attempt, or until watches are restarted.
func (f *follower) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	cancelOn(ctx, cancel, f.Health.renewed(), nil)
}

// recordLost records that the follower got no answer. An answer older than one already
// delivered comes from a source that is behind, and is no evidence of an outage. If the
// node is isolated (its link is full, it is partitioned, or only its sources lost the store),
// nothing suggests that entries expired because of an outage: what its sources list when
// they answer again is what the store lists.
func (f *follower) recordLost(isolated bool) {
	switch {
	case f.Leads:
		f.Health.leaderLost(isolated)
	case !isolated:
		f.Health.Lost(f.Kind)
	}
}
