package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Counter counts calls to the store by kind of object, verb and outcome.
type Counter interface {
	StoreCall(kind, verb, outcome string)
}

// counted is a Store that counts the calls to another one.
type counted struct {
	store   Store
	counter Counter
}

// Counted returns a Store that reports each completed call to the counter.
func Counted(s Store, c Counter) Store { return counted{store: s, counter: c} }

func (c counted) count(kind, verb string, err error) {
	c.counter.StoreCall(kind, verb, outcomeOf(err))
}

// outcomeOf classifies a call's result into a small set of labels.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "not-found"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrRefused):
		return "refused"
	default:
		return "unknown"
	}
}

// List implements Store.
func (c counted) List(ctx context.Context, kind string) ([]Object, Revision, error) {
	objects, at, err := c.store.List(ctx, kind)
	c.count(kind, "list", err)
	return objects, at, err
}

// Watch implements Store.
func (c counted) Watch(ctx context.Context, kind string, since Revision, wait time.Duration) ([]Event, Revision, error) {
	events, at, err := c.store.Watch(ctx, kind, since, wait)
	c.count(kind, "watch", err)
	return events, at, err
}

// Get implements Store.
func (c counted) Get(ctx context.Context, kind, name string) (Object, error) {
	o, err := c.store.Get(ctx, kind, name)
	c.count(kind, "get", err)
	return o, err
}

// Put implements Store.
func (c counted) Put(ctx context.Context, o Object) (Object, error) {
	after, err := c.store.Put(ctx, o)
	c.count(o.Kind, "put", err)
	return after, err
}

// PutStatus implements Store.
func (c counted) PutStatus(ctx context.Context, o Object) (Object, error) {
	after, err := c.store.PutStatus(ctx, o)
	c.count(o.Kind, "put-status", err)
	return after, err
}

// Ping implements Store.
func (c counted) Ping(ctx context.Context) error {
	err := c.store.Ping(ctx)
	c.count("", "ping", err)
	return err
}

// Delete implements Store.
func (c counted) Delete(ctx context.Context, kind, name string) error {
	err := c.store.Delete(ctx, kind, name)
	c.count(kind, "delete", err)
	return err
}
