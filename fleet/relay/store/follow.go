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

// How a follower waits. A watch is shorter than the store's own bound, so that
// a silent partition is felt; an error backs off, with jitter.
const (
	longestWait = 25 * time.Second
	historyPart = 0.8 // of the store's history that a watch waits at most, so that it can go on from where it was
	watchSlack  = 700 * time.Millisecond
	callTimeout = 2 * time.Second
	backoffMin  = 150 * time.Millisecond
	backoffMax  = 500 * time.Millisecond // a store that refuses is only pinged: who watches it is to be back before those who wait for it ask themselves
	aloneTries  = 2                      // failures in a row after which a follower leaves asking to the leader
	leaderWait  = 3 * time.Second        // for the leader, before a follower asks again by itself
	mostExcused = 2                      // failures without an answer between them that are put down to standstills: a store may be lost beside these
	unnamedRest = 500 * time.Millisecond // after a list that a change without a name asked for, which may come time and again
	peersPause  = 200 * time.Millisecond // before peers are asked again: it costs the store nothing
)

// Watching says what is followed, and how.
type Watching struct {
	Kind    string
	Rest    func() time.Duration // after events, so that a burst of them costs few calls
	History time.Duration        // how long the store keeps history; 0 is not known
	Health  *Health              // shared by a node's followers; nil is none
	Leads   bool                 // asks for all of them while the store is lost
	Longest func() time.Duration // that one watch may wait, so that a silent store is felt; nil is no bound of its own
	Small   bool                 // changes are few and small: a watch that is sent anew goes on from where it was, and nothing is listed
	Log     log.Interface        // nil: nothing is logged
	Again   *Again               // has the kind listed anew at once; nil: nobody asks for that
}

// Always is a rest that does not change.
func Always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// wait is how long one watch waits for events.
func (w Watching) wait() time.Duration {
	wait := longestWait
	if w.History > 0 {
		wait = min(wait, time.Duration(historyPart*float64(w.History)))
	}
	if w.Longest != nil {
		wait = min(wait, w.Longest())
	}
	return wait
}

// swallowedAfter is how old a list is at least that is sent anew together with the
// watches: a store that answers takes less, and a list too many costs one call.
const swallowedAfter = 50 * time.Millisecond

// errRenewed says that a list was given up to be sent anew, since the store is back.
var errRenewed = errors.New("store: sent anew")

// errBehind says that an answer is older than what was handed on already.
var errBehind = errors.New("store: the answer is older than what was seen")

// Change is what a follower hands on: sealed.
type Change interface{ change() }

// Snapshot is the whole of a kind at a revision.
type Snapshot struct {
	Objects  []Object
	Revision Revision
}

// Update is a run of events up to a revision.
type Update struct {
	Events   []Event
	Revision Revision
}

// Lost says that the store did not answer; Err tells why.
type Lost struct{ Err error }

func (Snapshot) change() {}
func (Update) change()   {}
func (Lost) change()     {}

// Follow lists a kind and then watches it until ctx ends. It never hands on a
// revision older than one it handed on before: an older list is dropped.
func Follow(ctx context.Context, s Store, w Watching, apply func(Change)) {
	f := follower{Watching: w, store: s, apply: apply, backoff: backoffMin, dropped: Dropped{Log: w.Log}}
	if f.Health == nil {
		f.Health = NewHealth()
	}
	for ctx.Err() == nil {
		sent := clock.Now()
		err := f.step(ctx)
		if errors.Is(err, errRenewed) {
			continue
		}
		if err != nil && f.excused < mostExcused && f.Health.Stood(sent) {
			// The call's time was over while the process stood still, which is no silence of the
			// store. A list tells soon whether it is silent, too; a watch might wait for long.
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
	Watching
	store    Store
	apply    func(Change)
	at       Revision
	listed   bool // and no watch was given up since
	unnamed  bool // it is listed anew since a change had no name
	lost     bool
	failures int // in a row
	excused  int // failures since the last answer that a standstill may have caused
	dropped  Dropped
	backoff  time.Duration
}

func (f *follower) succeeded() {
	f.backoff, f.failures, f.excused = backoffMin, 0, 0
	if f.Leads {
		f.Health.leaderAnswered()
		return
	}
	f.Health.found(f.Kind)
}

// step lists where the store was lost meanwhile, since the changes that were
// missed may be many and large, and watches else.
func (f *follower) step(ctx context.Context) error {
	if f.listed && !f.lost {
		return f.watch(ctx)
	}
	if err := f.list(ctx); err != nil {
		return err
	}
	if f.unnamed {
		f.unnamed = false
		clock.Pause(ctx, unnamedRest)
	}
	return nil
}

// hasUnnamed is whether an object changed of which not even the name can be read: which
// one it was tells only a list, by what it lacks.
func hasUnnamed(events []Event) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return e.Object.Name == "" })
}

func (f *follower) list(ctx context.Context) error {
	renew := f.Health.renewed()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := clock.Now()
	go cancelOn(bounded, func() {
		if clock.Since(began) > swallowedAfter {
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
		return f.behind("list", at)
	}
	f.at, f.listed, f.lost = at, true, false
	f.apply(Snapshot{Objects: objects, Revision: at})
	return nil
}

func (f *follower) watch(parent context.Context) error {
	wait, sent := f.wait(), clock.Now()
	renew, again := f.Health.renewed(), f.Again.Asked()
	ctx, cancel := context.WithTimeout(parent, wait+watchSlack)
	defer cancel()
	go cancelOn(ctx, cancel, renew, again)
	events, at, err := f.store.Watch(ctx, f.Kind, f.at, wait)
	if err != nil && (isClosed(renew) || isClosed(again)) && parent.Err() == nil {
		f.listed = f.Small && !isClosed(again)
		return nil
	}
	if err != nil {
		return err
	}
	if at < f.at {
		return f.behind("watch", at)
	}
	if hasUnnamed(events) {
		f.listed, f.unnamed = false, true
		return nil
	}
	f.at = at
	f.apply(Update{Events: events, Revision: at})
	// An answer that lay unread while the process stood still tells the first of the changes
	// since, and what came after it has waited long enough.
	if len(events) > 0 && !f.Health.Stood(sent) {
		clock.Pause(parent, f.Rest())
	}
	return nil
}

// behind is the error of an answer that is older than what was handed on already.
func (f *follower) behind(call string, at Revision) error {
	f.dropped.Tell(f.Kind, call, at, f.at)
	return errors.Wrapf(errBehind, "%s of %s at revision %s, after %s", call, f.Kind, at, f.at)
}

// cancelOn ends a watch early where it is to be sent anew.
func cancelOn(ctx context.Context, cancel context.CancelFunc, renew, again <-chan struct{}) {
	select {
	case <-renew:
		cancel()
	case <-again:
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
	f.tellLost(errors.Is(err, ErrAlone) || errors.Is(err, errBehind))
	if errors.Is(err, ErrSourcesOut) || errors.Is(err, errBehind) {
		clock.Pause(ctx, Jittered(peersPause))
		return
	}
	f.failures++
	if !f.Leads && f.failures > aloneTries && f.Health.wait(ctx, leaderWait) {
		clock.Pause(ctx, rand.N(backoffMin))
		return
	}
	f.rest(ctx, f.backoff/2+rand.N(f.backoff/2))
	f.backoff = min(2*f.backoff, backoffMax)
}

// rest waits before the next try, or until watches are sent anew.
func (f *follower) rest(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	cancelOn(ctx, cancel, f.Health.renewed(), nil)
}

// tellLost notes that the follower got no answer. One that was older than what was seen
// came of a source that is behind, and says nothing of the store. A node that is alone,
// since its link is full or it is cut off, or whose sources alone lost the store, has no
// reason to believe that entries lapsed for want of the store: what its sources list when
// they answer again is what the store lists.
func (f *follower) tellLost(alone bool) {
	switch {
	case f.Leads:
		f.Health.leaderLost(alone)
	case !alone:
		f.Health.Lost(f.Kind)
	}
}
