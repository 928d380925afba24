package config

import (
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lynxshed/lynxshed/fleet/table"
)

// shardCache caches the shards of the newest head by hash.
type shardCache struct {
	mu     sync.Mutex
	shards map[string]Shard
}

func newShardCache() *shardCache {
	return &shardCache{shards: map[string]Shard{}}
}

func (c *shardCache) get(hash string) (Shard, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shards[hash]
	return s, ok
}

// maxParallelReads is the maximum number of shards that are read at the same time.
const maxParallelReads = 16

// table assembles the table of a head. It reads the shards that are not cached, and then
// caches the shards of this head only.
func (c *shardCache) table(head Head, read func(hash string) (Shard, error)) (table.Table, error) {
	shards := make([]Shard, len(head.Shards))
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	for i, hash := range head.Shards {
		if hash == "" {
			continue
		}
		group.Go(func() (err error) {
			shards[i], err = c.find(hash, read)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return table.Table{}, err
	}
	current := make(map[string]Shard, len(shards))
	var rows []table.Row
	for i, s := range shards {
		current[head.Shards[i]] = s
		rows = append(rows, s.Rows...)
	}
	c.mu.Lock()
	c.shards = current
	c.mu.Unlock()
	return table.New(rows...), nil
}

// find returns a cached shard, or reads it and checks its content against its hash.
func (c *shardCache) find(hash string, read func(hash string) (Shard, error)) (Shard, error) {
	if s, ok := c.get(hash); ok {
		return s, nil
	}
	s, err := read(hash)
	if err != nil {
		return Shard{}, err
	}
	actual, err := s.Hash()
	if err != nil {
		return Shard{}, err
	}
	if actual != hash {
		return Shard{}, errors.Newf("shard %s has content %s", hash, actual)
	}
	return s, nil
}
