package config

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// InForce is the revision that is in force on a node; it never decreases.
type InForce struct {
	mu      sync.Mutex
	cache   *shardCache
	current atomic.Pointer[view]
	onNew   func(*catalog.Catalog)
}

type view struct {
	snapshot Snapshot
	catalog  *catalog.Catalog
}

// NewInForce creates an InForce with an empty table; onNew is called with each new revision.
func NewInForce(onNew func(*catalog.Catalog)) *InForce {
	f := &InForce{cache: newShardCache(), onNew: onNew}
	f.current.Store(&view{catalog: catalog.New(0, table.New())})
	return f
}

// Catalog returns the index of the revision in force.
func (f *InForce) Catalog() *catalog.Catalog { return f.current.Load().catalog }

// Snapshot returns the complete revision in force.
func (f *InForce) Snapshot() Snapshot { return f.current.Load().snapshot }

// Revision returns the number of the revision in force.
func (f *InForce) Revision() int64 { return f.current.Load().snapshot.Head.Revision }

// Shard returns a shard of the revision in force, for a peer that does not have it.
func (f *InForce) Shard(hash string) (Shard, bool) { return f.cache.get(hash) }

// Advance puts a newer head in force; read fetches the shards that are not cached.
func (f *InForce) Advance(head Head, read func(hash string) (Shard, error)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !head.Newer(f.current.Load().snapshot.Head) {
		return nil
	}
	t, err := f.cache.table(head, read)
	if err != nil {
		return errors.Wrapf(err, "advance to revision %d", head.Revision)
	}
	c := catalog.New(head.Revision, t)
	f.current.Store(&view{snapshot: Snapshot{Head: head, Table: t}, catalog: c})
	f.onNew(c)
	return nil
}

// AdvanceTo puts a snapshot in force that this node accepted.
func (f *InForce) AdvanceTo(s Snapshot) error {
	byHash := map[string]Shard{}
	for _, shard := range split(s.Table) {
		hash, err := shard.Hash()
		if err != nil {
			return err
		}
		byHash[hash] = shard
	}
	return f.Advance(s.Head, func(hash string) (Shard, error) {
		shard, ok := byHash[hash]
		if !ok {
			return Shard{}, errors.Newf("shard %s is not part of this table", hash)
		}
		return shard, nil
	})
}
