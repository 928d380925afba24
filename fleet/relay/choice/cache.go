package choice

import (
	"container/list"
	"strings"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
)

// holders maps the id of a shared prompt part to the endpoints that are assumed to cache it.
type holders map[string]map[string]bool

func (h holders) add(part, endpoint string) {
	endpoints, ok := h[part]
	if !ok {
		endpoints = map[string]bool{}
		h[part] = endpoints
	}
	endpoints[endpoint] = true
}

func (h holders) remove(part, endpoint string) {
	endpoints := h[part]
	delete(endpoints, endpoint)
	if len(endpoints) == 0 {
		delete(h, part)
	}
}

// Bounds of the model, since callers choose the parts of their prompts. An endpoint with more parts than
// maxCachedParts counts some of them as larger than they are.
const (
	maxCachedParts = 4096    // of one endpoint
	maxAllParts    = 100_000 // of all endpoints, of which each keeps one in any case
	maxPartID      = 64      // bytes; parts with a longer id are not modelled
)

// prefixCache models which prompt parts an endpoint has cached, based on what was sent there. It
// evicts the least recently used parts first.
type prefixCache struct {
	capacity int64 // tokens
	used     int64
	least    int64      // tokens that each part counts as at least
	order    *list.List // of *cachedPart, most recently used first
	byID     map[string]*list.Element
	endpoint string
	holders  holders
	all      *int // parts in the models of all endpoints
}

type cachedPart struct {
	id     string
	tokens int64
	read   bool // false: a call that will read it is waiting there
}

func newPrefixCache(capacity int64, endpoint string, h holders, all *int) *prefixCache {
	return &prefixCache{capacity: capacity, least: capacity/maxCachedParts + 1, all: all, order: list.New(), byID: map[string]*list.Element{}, endpoint: endpoint, holders: h}
}

// has reports whether the part is cached, or will be once a call that was sent has been read.
func (c *prefixCache) has(id string) bool {
	_, ok := c.byID[id]
	return ok
}

// read records that the part was read. Shared parts may then be fetched from the endpoint.
func (c *prefixCache) read(p call.Part, shared bool) {
	k := c.touch(p)
	if _, modelled := c.byID[k.id]; modelled && !k.read && shared {
		c.holders.add(k.id, c.endpoint)
	}
	k.read = true
}

// touch records that a call which reads the part was sent.
func (c *prefixCache) touch(p call.Part) *cachedPart {
	if e, ok := c.byID[p.ID]; ok {
		c.order.MoveToFront(e)
		return e.Value.(*cachedPart)
	}
	k := &cachedPart{id: p.ID, tokens: max(p.Tokens, c.least)}
	if len(p.ID) > maxPartID {
		return k
	}
	k.id = strings.Clone(p.ID) // it may be part of a long header
	c.byID[k.id] = c.order.PushFront(k)
	c.used += k.tokens
	*c.all++
	for (c.used > c.capacity || *c.all > maxAllParts) && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
	return k
}

// unread removes a part whose call was not read there after all.
func (c *prefixCache) unread(id string) {
	if e, ok := c.byID[id]; ok && !e.Value.(*cachedPart).read {
		c.drop(e)
	}
}

func (c *prefixCache) drop(e *list.Element) {
	k := e.Value.(*cachedPart)
	c.order.Remove(e)
	delete(c.byID, k.id)
	c.used -= k.tokens
	*c.all--
	c.holders.remove(k.id, c.endpoint)
}

func (c *prefixCache) clear() {
	for c.order.Len() > 0 {
		c.drop(c.order.Back())
	}
}
