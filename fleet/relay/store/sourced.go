package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// Reader answers lists and watches. It gives up by itself if no answer begins within
// AnswerTimeout after the wait of a watch.
type Reader interface {
	List(ctx context.Context, kind string) (Answer, error)
	Watch(ctx context.Context, kind string, since Revision, wait time.Duration) (Answer, error)
}

// Source is a node that may be asked instead of the store.
type Source struct {
	Name    string
	Reader  Reader
	Watches bool // it answers only with what it has from the store itself
}

// How sources are asked.
const (
	maxSourceWait  = time.Second            // maximum wait of one watch, so that a silent source is detected
	sourceSlack    = 400 * time.Millisecond // beyond that, until an answer begins
	sourceBody     = 2 * time.Second        // for an answer that has begun, also on a narrow link shared with callers
	silentBackoff  = 5 * time.Second        // before a silent source is asked again
	unfitBackoff   = time.Second            // before a source that lost the store is asked again: another one serves meanwhile
	watcherBackoff = 300 * time.Millisecond // the same for a source that watches the store, since other nodes wait for the answer
	maxSources     = 6                      // sources asked per call; those that lost the store say so at once

	// While sources are named but fail, the store is asked in short watches: a watch sent
	// while the store is silent is not answered when it is available again, and nothing
	// notifies this node of that.
	fallbackWait  = 1500 * time.Millisecond
	fallbackSlack = 700 * time.Millisecond

	// Sources that lost the store retry it themselves and are fit again when it answers.
	// This node may still reach the store. It finds out by a ping, and soon, since it must
	// apply what changes meanwhile, and asks the store only while pings succeed. Each of
	// these times is jittered, to half of it at least.
	firstPingDelay = 300 * time.Millisecond // after the sources lost the store
	pingInterval   = 2 * time.Second
	// recoveryDelay precedes the second ping once one succeeds again: after most outages the
	// sources have the store again by then, and one list of theirs serves many nodes.
	recoveryDelay    = 1100 * time.Millisecond
	sourceRetryDelay = 200 * time.Millisecond // before the sources are asked again in between

	pingTimeout = 500 * time.Millisecond
	reachedFor  = 5 * time.Second // how long the store counts as reached after a ping, unless a call fails
)

// ErrSourcesLost means that all nodes that watch the store for this node have lost it, and
// that this node did not reach it either when it last tried.
var ErrSourcesLost = errors.New("store: the nodes that watch it for this node have lost it")

// ErrIsolated marks failures that point to nodes, their links or a partition rather than to
// the store. They occur on a node that reaches neither the store nor its sources, none of
// which reported that it lost the store, and on a node whose sources lost the store while
// it has not failed to reach it itself.
var ErrIsolated = errors.New("store: neither it nor the nodes that watch it for this node were reached")

// Sourced is a Store whose lists and watches are answered by other nodes, if any are
// named, and by the store itself if none are or all fail. It is safe for concurrent use.
type Sourced struct {
	Store
	sources func() []Source // in the order in which they are asked; none: this node asks the store

	mu           sync.Mutex
	silentUntil  map[string]time.Time            // by source name: when a silent source is asked again
	unfitUntil   map[string]map[string]time.Time // by kind and source name: when a source that lost the store is asked again
	answers      map[string]Provenance           // by kind: of the last answer
	eras         *Eras                           // known to this node
	newest       map[string]Revision             // by kind: revision of the newest list
	lost         map[string]bool                 // kinds for which no source had the store when last asked
	nextPing     time.Time                       // when the next ping is due; zero: the sources have the store for every kind
	unavailable  bool                            // the last ping failed
	reachedUntil time.Time                       // until then the store, which the sources lost, counts as reached

	delays map[string]func() time.Duration // by kind: how long after an answer the store is not asked in place of silent sources
	waits  map[string]time.Duration        // by kind: maximum wait of a source's watch, if shorter than maxSourceWait
}

// AnswerTimeout is how long a source may take, beyond the wait of a watch, until its answer
// begins. After that it counts as silent.
const AnswerTimeout = sourceSlack

// NewSourced returns a store that asks the sources first.
func NewSourced(s Store, sources func() []Source) *Sourced {
	return &Sourced{Store: s, sources: sources, silentUntil: map[string]time.Time{}, unfitUntil: map[string]map[string]time.Time{}, lost: map[string]bool{}, answers: map[string]Provenance{}, newest: map[string]Revision{}, eras: NewEras(),
		delays: map[string]func() time.Duration{}, waits: map[string]time.Duration{}}
}

// WithEras sets the known eras: sources that answer from an earlier era, since they don't
// know yet that the store was restored from a backup, count as having lost the store. It must
// be called before use.
func (s *Sourced) WithEras(e *Eras) *Sourced {
	s.eras = e
	return s
}

// LimitWait bounds the wait of a source's watch for a kind. It must be called before use.
func (s *Sourced) LimitWait(kind string, wait time.Duration) { s.waits[kind] = wait }

// sourceWait returns the maximum wait of a source's watch for a kind.
func (s *Sourced) sourceWait(kind string) time.Duration {
	if wait, limited := s.waits[kind]; limited {
		return min(wait, maxSourceWait)
	}
	return maxSourceWait
}

// DelayStore sets, for a kind whose changes can wait, how long after the last answer the store
// itself is not asked while sources are named but silent. A node that is partitioned for
// seconds then costs the store nothing.
func (s *Sourced) DelayStore(kind string, delay func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[kind] = delay
}

// delaysStore reports whether it is too early to ask the store for a kind.
func (s *Sourced) delaysStore(kind string) bool {
	if len(s.sources()) == 0 {
		return false
	}
	s.mu.Lock()
	delay, at := s.delays[kind], s.answers[kind].Answered
	s.mu.Unlock()
	return delay != nil && !at.IsZero() && clock.Since(at) < delay()
}

// Origin returns how near to the store the last answer for a kind came from.
func (s *Sourced) Origin(kind string) Origin { return s.Provenance(kind).Origin }

// Provenance returns where the last answer for a kind came from, and when.
func (s *Sourced) Provenance(kind string) Provenance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[kind]
}

// available lists, in order, the sources to ask for a kind: those that did not fail
// recently.
func (s *Sourced) available(kind string) []Source {
	all := s.sources()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var available []Source
	for _, one := range all {
		backsOff := now.Before(s.silentUntil[one.Name]) || now.Before(s.unfitUntil[kind][one.Name])
		if !backsOff && len(available) < maxSources {
			available = append(available, one)
		}
	}
	return available
}

// checkRevision returns ErrUnfit for a source's list that is older than one already received:
// such a source counts as having lost the store.
func (s *Sourced) checkRevision(kind string, at Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at < s.newest[kind] || at.Era() < s.eras.Newest() {
		return errors.Wrapf(ErrUnfit, "list of %s at revision %s, after %s", kind, at, s.newest[kind])
	}
	s.newest[kind] = at
	return nil
}

// recordFailure makes a source back off: for every kind if it is silent, and only for this
// kind if it lost the store, since it may still watch other kinds or not have noticed.
func (s *Sourced) recordFailure(source Source, kind string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, ErrUnfit) {
		s.silentUntil[source.Name] = clock.Now().Add(silentBackoff)
		return
	}
	delete(s.silentUntil, source.Name)
	if s.unfitUntil[kind] == nil {
		s.unfitUntil[kind] = map[string]time.Time{}
	}
	backoff := unfitBackoff
	if source.Watches {
		backoff = watcherBackoff
	}
	s.unfitUntil[kind][source.Name] = clock.Now().Add(backoff)
}

// recordAnswer records that a source answered for a kind, with content that was confirmed at a
// time; zero if the answer has no content, since the source's history is compacted. The state of
// the pings is reset only once no kind needs it: otherwise each answer for one kind would restart
// the delay of the ping that another kind's follower waits for.
func (s *Sourced) recordAnswer(source Source, kind string, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Provenance{Origin: FromOther, Source: source.Name, Answered: clock.Now(), Confirmed: confirmed}
	if source.Watches {
		p.Origin = FromWatcher
	}
	if confirmed.IsZero() {
		p.Confirmed = s.answers[kind].Confirmed
	}
	s.answers[kind] = p
	delete(s.silentUntil, source.Name)
	delete(s.unfitUntil[kind], source.Name)
	delete(s.lost, kind)
	if len(s.lost) == 0 {
		s.nextPing, s.unavailable, s.reachedUntil = time.Time{}, false, time.Time{}
	}
}

// reachesStore reports whether this node should ask the store itself now: if no source is
// named or all of them are silent, or if a source lost the store while this node's own
// ping reached it.
func (s *Sourced) reachesStore(ctx context.Context, kind string) bool {
	if !s.hasUnfit(kind) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[kind] = true
	now := clock.Now()
	switch {
	case now.Before(s.reachedUntil):
		return true
	case s.nextPing.IsZero():
		s.nextPing = now.Add(Jittered(firstPingDelay))
		return false
	case now.Before(s.nextPing):
		return false
	}
	s.nextPing = now.Add(Jittered(pingInterval))
	s.mu.Unlock()
	err := s.pingStore(ctx)
	s.mu.Lock()
	wasUnavailable := s.unavailable
	s.unavailable = err != nil
	switch {
	case err != nil:
		return false
	case wasUnavailable:
		s.nextPing = clock.Now().Add(Jittered(recoveryDelay))
		s.retrySources()
		return false
	}
	s.reachedUntil = clock.Now().Add(reachedFor)
	return true
}

// sourcesLostError returns the error of a node whose sources lost the store, marked with
// ErrIsolated unless this node's own ping failed too.
func (s *Sourced) sourcesLostError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return ErrSourcesLost
	}
	return errors.Mark(ErrSourcesLost, ErrIsolated)
}

// retrySources shortens the backoff of sources that lost the store; the lock is held.
func (s *Sourced) retrySources() {
	for _, sources := range s.unfitUntil {
		for name := range sources {
			sources[name] = clock.Now().Add(Jittered(sourceRetryDelay))
		}
	}
}

func (s *Sourced) pingStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return s.Store.Ping(ctx)
}

// Jittered returns a random duration between half and one and a half of d, so that nodes
// that start together don't act at the same time.
func Jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// recordStoreCall records how a call to the store itself ended. A canceled call is no evidence
// of an outage: watches are restarted once the leader reaches the store again.
func (s *Sourced) recordStoreCall(ctx context.Context, kind string, confirmed time.Time, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.reachedUntil = time.Time{}
		return
	}
	s.answers[kind] = Provenance{Origin: FromStore, Answered: clock.Now(), Confirmed: confirmed}
}

// List implements Store.
func (s *Sourced) List(ctx context.Context, kind string) (objects []Object, at Revision, err error) {
	a, done := s.ask(ctx, kind, func(ctx context.Context, from Source, _ bool) answer {
		list, err := listFrom(ctx, from, kind)
		if err == nil {
			err = s.checkRevision(kind, list.Revision)
		}
		return answer{Answer: list, err: err}
	})
	if done {
		return a.Objects, a.Revision, s.markIsolated(kind, a.err)
	}
	if s.delaysStore(kind) {
		return nil, 0, s.delayedError(kind)
	}
	if !s.reachesStore(ctx, kind) {
		return nil, 0, s.sourcesLostError()
	}
	sent := clock.Now()
	objects, at, err = s.Store.List(ctx, kind)
	s.recordStoreCall(ctx, kind, sent, err)
	return objects, at, s.markIsolated(kind, err)
}

// delayedError returns the error of a node that does not ask the store yet.
func (s *Sourced) delayedError(kind string) error {
	if s.hasUnfit(kind) {
		return s.sourcesLostError()
	}
	return errors.Mark(ErrSourcesLost, ErrIsolated)
}

// markIsolated marks the error of a node that reaches neither a source nor the store.
func (s *Sourced) markIsolated(kind string, err error) error {
	if err == nil || errors.Is(err, ErrCompacted) || len(s.sources()) == 0 || s.hasUnfit(kind) {
		return err
	}
	return errors.Mark(err, ErrIsolated)
}

// hasUnfit reports whether one of the sources reported that it lost the store for a kind.
func (s *Sourced) hasUnfit(kind string) bool {
	all := s.sources()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(all, func(one Source) bool {
		_, unfit := s.unfitUntil[kind][one.Name]
		return unfit
	})
}

func listFrom(ctx context.Context, from Source, kind string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, sourceSlack+sourceBody)
	defer cancel()
	return from.Reader.List(ctx, kind)
}

// Watch implements Store. A watch of a source waits for less than wait, so that a silent
// source is detected. After a silent one the others must answer at once with what they
// know, so that several lost together are detected in little more time than one.
func (s *Sourced) Watch(ctx context.Context, kind string, since Revision, wait time.Duration) (events []Event, at Revision, err error) {
	a, done := s.ask(ctx, kind, func(ctx context.Context, from Source, immediate bool) answer {
		maxWait := s.sourceWait(kind)
		if immediate {
			maxWait = 0
		}
		events, err := s.watchFrom(ctx, from, kind, since, min(wait, maxWait))
		return answer{Answer: events, err: err}
	})
	if done {
		return a.Events, a.Revision, s.markIsolated(kind, a.err)
	}
	if s.delaysStore(kind) {
		return nil, 0, s.delayedError(kind)
	}
	if !s.reachesStore(ctx, kind) {
		return nil, 0, s.sourcesLostError()
	}
	bounded := ctx
	if len(s.sources()) > 0 {
		wait = min(wait, fallbackWait)
		short, cancel := context.WithTimeout(ctx, wait+fallbackSlack)
		defer cancel()
		bounded = short
	}
	sent := clock.Now()
	events, at, err = s.Store.Watch(bounded, kind, since, wait)
	s.recordStoreCall(ctx, kind, confirmedByWatch(sent, wait, len(events)), err)
	return events, at, s.markIsolated(kind, err)
}

// confirmedByWatch returns when the store confirmed the content of a watch that was sent at a time
// and that just ended. Events are sent as they occur; without any, the answer may have been on its
// way, or unread, for what it took beyond its wait.
func confirmedByWatch(sent time.Time, wait time.Duration, events int) time.Time {
	now := clock.Now()
	if waited := sent.Add(wait); events == 0 && waited.Before(now) {
		return waited
	}
	return now
}

func (s *Sourced) watchFrom(ctx context.Context, from Source, kind string, since Revision, wait time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+sourceSlack+sourceBody)
	defer cancel()
	events, err := from.Reader.Watch(ctx, kind, since, wait)
	if err == nil && events.Revision.Era() < s.eras.Newest() {
		return Answer{}, errors.Wrapf(ErrUnfit, "watch of %s at revision %s, in era %d", kind, events.Revision, s.eras.Newest())
	}
	return events, err
}
