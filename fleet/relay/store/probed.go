package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// probed pings the store before each call while the last call was refused: a refused
// call costs as much as any other, a ping a tenth of that.
type probed struct {
	Store
	refused atomic.Bool // the last call was refused
}

// Probed returns a Store that pings s before each call while s refuses calls.
func Probed(s Store) Store { return &probed{Store: s} }

// probe returns an error if the store still refuses. Only a refused ping counts: a store
// that does not answer a ping may be slow, and answer a call with a longer timeout.
func (p *probed) probe(ctx context.Context) error {
	if !p.refused.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := p.Store.Ping(ctx); errors.Is(err, ErrRefused) {
		return errors.Wrap(err, "ping before call")
	}
	return nil
}

func (p *probed) record(err error) { p.refused.Store(errors.Is(err, ErrRefused)) }

// List implements Store.
func (p *probed) List(ctx context.Context, kind string) ([]Object, Revision, error) {
	if err := p.probe(ctx); err != nil {
		return nil, 0, err
	}
	objects, at, err := p.Store.List(ctx, kind)
	p.record(err)
	return objects, at, err
}

// Watch implements Store.
func (p *probed) Watch(ctx context.Context, kind string, since Revision, wait time.Duration) ([]Event, Revision, error) {
	if err := p.probe(ctx); err != nil {
		return nil, 0, err
	}
	events, at, err := p.Store.Watch(ctx, kind, since, wait)
	p.record(err)
	return events, at, err
}

// Get implements Store.
func (p *probed) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := p.probe(ctx); err != nil {
		return Object{}, err
	}
	o, err := p.Store.Get(ctx, kind, name)
	p.record(err)
	return o, err
}

// Put implements Store.
func (p *probed) Put(ctx context.Context, o Object) (Object, error) {
	if err := p.probe(ctx); err != nil {
		return Object{}, err
	}
	after, err := p.Store.Put(ctx, o)
	p.record(err)
	return after, err
}

// Delete implements Store.
func (p *probed) Delete(ctx context.Context, kind, name string) error {
	if err := p.probe(ctx); err != nil {
		return err
	}
	err := p.Store.Delete(ctx, kind, name)
	p.record(err)
	return err
}
