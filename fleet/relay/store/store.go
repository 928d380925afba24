// Package store defines the interface to the object store, which offers revisions,
// conditional writes and watches, and the followers, caches and fallbacks around it.
// An adapter implements the interface.
package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Object is one stored value. Other writers may write objects of the same kinds; for one
// that can't be decoded, Fault is set and only Kind is reliable.
type Object struct {
	Kind     string
	Name     string          // "" if not even the name can be decoded
	Revision Revision        // of its last change; 0 if the object does not exist yet
	Made     int64           // revision number at which it was created; 0 if unknown
	Data     json.RawMessage // the value as JSON
	Status   json.RawMessage // status that the fleet wrote beside the value, as JSON; nil if none
	Fault    string          // why it can't be decoded; "" if it can
}

// Readable returns an error if the store could not decode the object.
func (o Object) Readable() error {
	if o.Fault == "" {
		return nil
	}
	return errors.New(o.Fault)
}

// Event is a change of one object.
type Event struct {
	Object Object
	Gone   bool
}

// Store keeps objects. Every method is safe for concurrent use.
type Store interface {
	// List returns all objects of a kind and the store's revision.
	List(ctx context.Context, kind string) ([]Object, Revision, error)
	// Watch waits up to wait for changes after revision since. It returns them and the
	// revision to continue from. After ErrCompacted the caller must list again.
	Watch(ctx context.Context, kind string, since Revision, wait time.Duration) ([]Event, Revision, error)
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes the object if its revision is still current (0: if it does not exist).
	// ErrConflict and ErrRefused mean that nothing was written; after any other error
	// the write may have taken effect or may still do so. With ErrConflict, Put returns
	// the current object if the store reports it.
	Put(ctx context.Context, o Object) (Object, error)
	// PutStatus writes only an object's status, if its revision is still current.
	// It returns the errors of Put.
	PutStatus(ctx context.Context, o Object) (Object, error)
	// Delete removes an object, or returns ErrNotFound.
	Delete(ctx context.Context, kind, name string) error
	// Ping checks at minimal cost whether the store answers.
	Ping(ctx context.Context) error
}

// Errors of a Store.
var (
	ErrNotFound  = errors.New("store: no such object")
	ErrConflict  = errors.New("store: the revision does not hold")
	ErrCompacted = errors.New("store: the history is compacted")
	ErrRefused   = errors.New("store: refused, nothing was done")
)
