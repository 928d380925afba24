package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// answer is the result of a list or a watch that a source was asked for.
type answer struct {
	Answer
	from Source
	err  error
}

// valid reports whether the source answered for the store.
func (a answer) valid() bool { return a.err == nil || errors.Is(a.err, ErrCompacted) }

// askFunc asks one source; with immediate set, the source must answer at once with what
// it has.
type askFunc func(ctx context.Context, from Source, immediate bool) answer

// ask asks the sources one after another until one answers; it returns false if none did.
// After a silent source it asks the others in parallel: sources that fall silent together,
// with their zone or in a network partition, would cost the time of a watch each.
func (s *Sourced) ask(ctx context.Context, kind string, call askFunc) (answer, bool) {
	sources := s.available(kind)
	for i, from := range sources {
		a := call(ctx, from, false)
		a.from = from
		if done := s.record(ctx, kind, a); done {
			return a, true
		}
		if !errors.Is(a.err, ErrUnfit) {
			return s.askAll(ctx, kind, sources[i+1:], call)
		}
	}
	return answer{}, false
}

// record notes how a source answered, and reports whether that ends the call.
func (s *Sourced) record(ctx context.Context, kind string, a answer) bool {
	switch {
	case a.valid():
		s.recordAnswer(a.from, kind, a.Confirmed)
		return true
	case errors.Is(ctx.Err(), context.Canceled):
		return true // the caller canceled, which is no evidence against the source
	}
	s.recordFailure(a.from, kind, a.err)
	return ctx.Err() != nil
}

// askAll asks several sources in parallel and returns the first valid answer.
func (s *Sourced) askAll(parent context.Context, kind string, sources []Source, call askFunc) (answer, bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	answers := make(chan answer, len(sources))
	for _, from := range sources {
		go func() {
			a := call(ctx, from, true)
			a.from = from
			answers <- a
		}()
	}
	for range sources {
		if a := <-answers; s.record(parent, kind, a) {
			return a, true
		}
	}
	return answer{}, false
}
