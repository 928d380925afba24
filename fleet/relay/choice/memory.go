package choice

import (
	"container/list"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
)

// memory is which parts of prompts an engine is thought to keep, by what was
// sent there: the parts unused for longest give way first.
type memory struct {
	capacity int64 // tokens
	used     int64
	order    *list.List // of *kept, the newest first
	byID     map[string]*list.Element
}

type kept struct {
	id     string
	tokens int64
}

func newMemory(capacity int64) *memory {
	return &memory{capacity: capacity, order: list.New(), byID: map[string]*list.Element{}}
}

func (m *memory) has(id string) bool {
	_, ok := m.byID[id]
	return ok
}

func (m *memory) touch(p call.Part) {
	if e, ok := m.byID[p.ID]; ok {
		m.order.MoveToFront(e)
		return
	}
	m.byID[p.ID] = m.order.PushFront(&kept{id: p.ID, tokens: p.Tokens})
	m.used += p.Tokens
	for m.used > m.capacity && m.order.Len() > 1 {
		m.drop(m.order.Back())
	}
}

func (m *memory) drop(e *list.Element) {
	k := e.Value.(*kept)
	m.order.Remove(e)
	delete(m.byID, k.id)
	m.used -= k.tokens
}
