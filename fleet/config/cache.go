package config

import (
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lynxshed/lynxshed/fleet/table"
)

// shardCache keeps the shards of the newest head, by hash.
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

// readAtOnce is how many shards are read at the same time.
const readAtOnce = 16

// table assembles the table of a head, reading the shards that are not kept.
func (c *shardCache) table(head Head, read func(hash string) (Shard, error)) (table.Table, error) {
	shards := make([]Shard, len(head.Shards))
	var group errgroup.Group
	group.SetLimit(readAtOnce)
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
	kept := make(map[string]Shard, len(shards))
	var rows []table.Row
	for i, s := range shards {
		kept[head.Shards[i]] = s
		rows = append(rows, s.Rows...)
	}
	c.mu.Lock()
	c.shards = kept
	c.mu.Unlock()
	return table.New(rows...), nil
}

func (c *shardCache) find(hash string, read func(hash string) (Shard, error)) (Shard, error) {
	if s, ok := c.get(hash); ok {
		return s, nil
	}
	s, err := read(hash)
	if err != nil {
		return Shard{}, err
	}
	got, err := s.Hash()
	if err != nil {
		return Shard{}, err
	}
	if got != hash {
		return Shard{}, errors.Newf("shard %s has content %s", hash, got)
	}
	return s, nil
}
