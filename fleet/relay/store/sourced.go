package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Reader answers lists and watches. It gives up by itself where no answer begins
// within AnswerBegins after the time that a watch waits.
type Reader interface {
	List(ctx context.Context, kind string) ([]Object, int64, error)
	Watch(ctx context.Context, kind string, since int64, wait time.Duration) ([]Event, int64, error)
}

// Source is a node that may be asked in the store's place.
type Source struct {
	Name   string
	Reader Reader
}

// How a source is asked.
const (
	sourceWait  = time.Second            // that one watch waits at most, so that a silent source is felt
	sourceSlack = 400 * time.Millisecond // beyond that, until an answer begins
	sourceBody  = 2 * time.Second        // for an answer that has begun, on a narrow link that callers fill, too
	sourceRest  = 5 * time.Second        // that a source which failed is left alone

	// While sources are named and fail, the store is asked in short watches: one that
	// is sent into its silence is not answered when it is back, and nobody tells
	// this node when that is.
	fallbackWait  = 1500 * time.Millisecond
	fallbackSlack = 700 * time.Millisecond
)

// Sourced is a store whose lists and watches are answered by other nodes, where
// such are named, and by the store itself where none is or one fails. It is safe
// for concurrent use.
type Sourced struct {
	Store
	sources func() []Source // in the order in which they are asked; none: this node asks the store

	mu     sync.Mutex
	failed map[string]time.Time
	direct map[string]bool // by kind: the last answer came from the store
}

// AnswerBegins is how long a source may take, beyond what a watch waits, until its
// answer begins: a silent source is felt by then.
const AnswerBegins = sourceSlack

// NewSourced returns a store that asks the sources first.
func NewSourced(s Store, sources func() []Source) *Sourced {
	return &Sourced{Store: s, sources: sources, failed: map[string]time.Time{}, direct: map[string]bool{}}
}

// Direct is whether the last answer for a kind came from the store itself.
func (s *Sourced) Direct(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct[kind]
}

func (s *Sourced) came(kind string, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct[kind] = direct
}

// source is the one to ask: the first of those that never failed, else the one
// that failed longest ago; none that failed lately.
func (s *Sourced) source() (Source, bool) {
	all := s.sources()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best Source
	found := false
	for _, one := range all {
		at := s.failed[one.Name]
		if time.Since(at) >= sourceRest && (!found || at.Before(s.failed[best.Name])) {
			best, found = one, true
		}
	}
	return best, found
}

func (s *Sourced) note(source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[source] = time.Now()
}

// List implements Store.
func (s *Sourced) List(ctx context.Context, kind string) ([]Object, int64, error) {
	if from, ok := s.source(); ok {
		objects, at, err := listFrom(ctx, from, kind)
		if err == nil {
			s.came(kind, false)
			return objects, at, nil
		}
		s.note(from.Name)
	}
	objects, at, err := s.Store.List(ctx, kind)
	if err == nil {
		s.came(kind, true)
	}
	return objects, at, err
}

func listFrom(ctx context.Context, from Source, kind string) ([]Object, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, sourceSlack+sourceBody)
	defer cancel()
	return from.Reader.List(ctx, kind)
}

// Watch implements Store. A watch that a source answers waits for less than was
// asked: a source that falls silent is to be felt.
func (s *Sourced) Watch(ctx context.Context, kind string, since int64, wait time.Duration) ([]Event, int64, error) {
	if from, ok := s.source(); ok {
		events, at, err := watchFrom(ctx, from, kind, since, min(wait, sourceWait))
		if err == nil || errors.Is(err, ErrCompacted) {
			s.came(kind, false)
			return events, at, err
		}
		s.note(from.Name)
	}
	if len(s.sources()) > 0 {
		wait = min(wait, fallbackWait)
		bounded, cancel := context.WithTimeout(ctx, wait+fallbackSlack)
		defer cancel()
		ctx = bounded
	}
	events, at, err := s.Store.Watch(ctx, kind, since, wait)
	if err == nil {
		s.came(kind, true)
	}
	return events, at, err
}

func watchFrom(ctx context.Context, from Source, kind string, since int64, wait time.Duration) ([]Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+sourceSlack+sourceBody)
	defer cancel()
	return from.Reader.Watch(ctx, kind, since, wait)
}
