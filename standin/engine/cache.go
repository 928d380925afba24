package engine

import (
	"container/list"
	"hash/fnv"
	"net/http"
	"strconv"
)

// Cache events are incomplete and late: each event whose sequence number is a multiple of lostEventInterval
// is lost, and the last unpublishedEvents events are not visible yet.
const (
	lostEventInterval = 3
	unpublishedEvents = 4
)

// CacheEvent reports that a prefix block was stored or evicted.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Block    string `json:"block"`
	Stored   bool   `json:"stored"`
}

// prefixCache is an LRU cache of prompt blocks. The key of a block is the hash of the prompt up to its end.
type prefixCache struct {
	maxBlocks int
	order     *list.List
	blocks    map[uint64]*list.Element
	events    []CacheEvent
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// store caches the blocks of a prompt and returns the number of leading blocks that were already cached.
func (c *prefixCache) store(prompt string) int {
	hash := fnv.New64a()
	cached, leading := 0, true
	for offset := 0; offset+cacheBlockSize <= len(prompt); offset += cacheBlockSize {
		_, _ = hash.Write([]byte(prompt[offset : offset+cacheBlockSize]))
		if c.use(hash.Sum64()) && leading {
			cached++
		} else {
			leading = false
		}
	}
	return cached
}

// use marks a block as recently used, or stores it and evicts the least recently used blocks above the limit.
// It reports whether the block was cached.
func (c *prefixCache) use(block uint64) bool {
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	c.publish(block, true)
	for c.order.Len() > c.maxBlocks {
		evicted := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, evicted)
		c.publish(evicted, false)
	}
	return false
}

func (c *prefixCache) publish(block uint64, stored bool) {
	c.events = append(c.events, CacheEvent{Sequence: len(c.events) + 1, Block: strconv.FormatUint(block, 16), Stored: stored})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []CacheEvent{}
	published := e.cache.events[:max(0, len(e.cache.events)-unpublishedEvents)]
	for _, event := range published {
		if event.Sequence > after && event.Sequence%lostEventInterval != 0 {
			events = append(events, event)
		}
	}
	writeJSON(w, http.StatusOK, events)
}
