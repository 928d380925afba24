package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/table"
)

const (
	maxEditAttempts = 8
	// maxHistoryEdits is how many edits of one change the head's history holds.
	maxHistoryEdits = 20
)

// Guard prepares the fleet for edits before they are accepted, or refuses them. For example,
// tokens are recalled from their holders before the limit of a budget is lowered.
type Guard interface {
	// Prepare returns a function that undoes the preparation if the edits are not accepted.
	Prepare(ctx context.Context, before, after table.Table, edits []table.Edit) (undo func(context.Context), err error)
}

// GuardFunc adapts a function to a Guard.
type GuardFunc func(ctx context.Context, before, after table.Table, edits []table.Edit) (func(context.Context), error)

// Prepare implements Guard.
func (f GuardFunc) Prepare(ctx context.Context, before, after table.Table, edits []table.Edit) (func(context.Context), error) {
	return f(ctx, before, after, edits)
}

// Editor accepts operators' edits.
type Editor struct {
	store  platform.Store
	loader *Loader
	guard  Guard
	now    func() time.Time
}

// NewEditor creates an Editor.
func NewEditor(store platform.Store, loader *Loader, guard Guard, now func() time.Time) *Editor {
	return &Editor{store: store, loader: loader, guard: guard, now: now}
}

// Accept applies all the edits or none and returns the snapshot that is now in force. The id
// identifies the change, so that a retry of it has no effect.
func (e *Editor) Accept(ctx context.Context, id, operator string, edits []table.Edit) (Snapshot, error) {
	var last error
	for range maxEditAttempts {
		snapshot, err := e.attempt(ctx, id, operator, edits)
		if err == nil || !errors.IsAny(err, platform.ErrConflict, platform.ErrUnknown) {
			return snapshot, err
		}
		last = err
	}
	return Snapshot{}, errors.Wrapf(last, "accept edits after %d tries", maxEditAttempts)
}

// attempt reads the head, applies the edits and writes the new head once.
func (e *Editor) attempt(ctx context.Context, id, operator string, edits []table.Edit) (Snapshot, error) {
	head, version, err := e.loader.Head(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	before, err := e.loader.Table(ctx, head)
	if err != nil {
		return Snapshot{}, err
	}
	if head.Has(id) {
		return Snapshot{Head: head, Table: before}, nil
	}
	after, faults := before.Apply(edits)
	if len(faults) > 0 {
		return Snapshot{}, faults
	}
	undo, err := e.guard.Prepare(ctx, before, after, edits)
	if err != nil {
		return Snapshot{}, err
	}
	change := Change{ID: id, At: e.now(), Operator: operator, Edits: edits[:min(len(edits), maxHistoryEdits)]}
	snapshot, err := e.commit(ctx, head, version, after, change)
	if err != nil && !errors.Is(err, platform.ErrUnknown) {
		undo(ctx)
	}
	return snapshot, err
}

func (e *Editor) commit(ctx context.Context, head Head, version platform.Version, after table.Table, c Change) (Snapshot, error) {
	next, fresh, err := head.next(after, c)
	if err != nil {
		return Snapshot{}, err
	}
	for _, s := range fresh {
		if err := e.putShard(ctx, s); err != nil {
			return Snapshot{}, err
		}
	}
	if _, err := e.store.Put(ctx, HeadKey, version, next); err != nil {
		return Snapshot{}, errors.Wrap(err, "put head")
	}
	return Snapshot{Head: next, Table: after}, nil
}

// putShard writes a shard. An existing one has the same content, since its name is the hash.
func (e *Editor) putShard(ctx context.Context, s Shard) error {
	hash, err := s.Hash()
	if err != nil {
		return err
	}
	_, err = e.store.Put(ctx, ShardKey(hash), 0, s)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return errors.Wrap(err, "put shard")
	}
	return nil
}

// Loader reads heads and shards from the platform and caches the shards.
type Loader struct {
	store platform.Store
	local func(hash string) (Shard, bool)
	cache *shardCache
}

// NewLoader creates a Loader; local returns shards that the node has already.
func NewLoader(store platform.Store, local func(hash string) (Shard, bool)) *Loader {
	return &Loader{store: store, local: local, cache: newShardCache()}
}

// Head reads the head in force; it is empty before the first edit.
func (l *Loader) Head(ctx context.Context) (Head, platform.Version, error) {
	o, err := l.store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{Shards: make([]string, Shards)}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.Wrap(err, "get head")
	}
	head, err := DecodeHead(o.Value)
	return head, o.Version, err
}

// DecodeHead decodes a head from JSON.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	return head, nil
}

// Table reads the shards that a head names and assembles the table. Shards that are in force
// here are not read again.
func (l *Loader) Table(ctx context.Context, head Head) (table.Table, error) {
	return l.cache.table(head, func(hash string) (Shard, error) {
		if s, ok := l.local(hash); ok {
			return s, nil
		}
		return l.Shard(ctx, hash)
	})
}
