package engine

import (
	"container/list"
	"hash/fnv"
	"net/http"
	"strconv"
)

// Every third cache event is lost, and the last few are not published yet.
const (
	eventGap  = 3
	eventLate = 4
)

// CacheEvent says that a prefix block was stored or evicted.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Block    string `json:"block"`
	Stored   bool   `json:"stored"`
}

// prefixCache is an LRU of prompt-prefix blocks, each named by the hash of all before it.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// touch stores the blocks of a prompt and returns how many leading ones were cached.
func (c *prefixCache) touch(prompt string) int {
	hash := fnv.New64a()
	cached, leading := 0, true
	for at := 0; at+cacheBlockSize <= len(prompt); at += cacheBlockSize {
		_, _ = hash.Write([]byte(prompt[at : at+cacheBlockSize]))
		if c.use(hash.Sum64()) && leading {
			cached++
		} else {
			leading = false
		}
	}
	return cached
}

func (c *prefixCache) use(block uint64) bool {
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	c.publish(block, true)
	for c.order.Len() > c.limit {
		old := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, old)
		c.publish(old, false)
	}
	return false
}

func (c *prefixCache) publish(block uint64, stored bool) {
	c.events = append(c.events, CacheEvent{Sequence: len(c.events) + 1, Block: strconv.FormatUint(block, 16), Stored: stored})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []CacheEvent{}
	published := e.cache.events[:max(0, len(e.cache.events)-eventLate)]
	for _, event := range published {
		if event.Sequence > after && event.Sequence%eventGap != 0 {
			events = append(events, event)
		}
	}
	writeJSON(w, http.StatusOK, events)
}
