// Package queue orders the calls that wait for an endpoint: interactive before
// batch, and within a priority by the customers' weights.
package queue

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Item is a waiting call.
type Item struct {
	Customer ident.Customer
	Weight   int64 // the customer's share
	Priority catalog.Priority
	Deadline time.Time
	Cost     int64 // tokens
	Value    any
	gone     bool
}

// Queue is the waiting calls of one service. It is not safe for concurrent use.
type Queue struct {
	max         int
	interactive lane
	batch       lane
}

// New makes a queue of at most max calls.
func New(limit int) *Queue {
	return &Queue{max: limit, interactive: newLane(), batch: newLane()}
}

// Len is how many calls wait.
func (q *Queue) Len() int { return q.interactive.count + q.batch.count }

// Ahead is how many calls go before a new one of the priority.
func (q *Queue) Ahead(p catalog.Priority) int {
	if p == catalog.Batch {
		return q.Len()
	}
	return q.interactive.count
}

// Push adds a call. Where the queue is full, an interactive call takes the place
// of the batch call that came last; that one is returned. Without room the call
// itself is returned.
func (q *Queue) Push(i *Item) (shed *Item) {
	if q.Len() >= q.max {
		if i.Priority == catalog.Batch || q.batch.count == 0 {
			return i
		}
		shed = q.batch.popLast()
	}
	q.lane(i.Priority).push(i)
	return shed
}

// Remove takes a call out that no longer waits.
func (q *Queue) Remove(i *Item) {
	if !i.gone {
		i.gone = true
		q.lane(i.Priority).count--
	}
}

// Next returns the call whose turn it is without taking it out, or nil; skip
// leaves out a priority that can't be placed now.
func (q *Queue) Next(skip catalog.Priority) *Item {
	if skip != catalog.Interactive {
		if i := q.interactive.head(); i != nil {
			return i
		}
	}
	if skip == catalog.Batch {
		return nil
	}
	return q.batch.head()
}

// Take takes the call out that Next returned.
func (q *Queue) Take(i *Item) { q.lane(i.Priority).take(i) }

func (q *Queue) lane(p catalog.Priority) *lane {
	if p == catalog.Batch {
		return &q.batch
	}
	return &q.interactive
}

// lane is one priority: a line for each customer, served in order of their
// passes. A pass grows with what a customer is served, divided by its weight.
type lane struct {
	lines map[ident.Customer]*line
	order []ident.Customer
	now   float64 // the pass of the customer served last
	count int
}

type line struct {
	items []*Item
	pass  float64
}

func newLane() lane { return lane{lines: map[ident.Customer]*line{}} }

func (l *lane) push(i *Item) {
	c, ok := l.lines[i.Customer]
	if !ok {
		c = &line{pass: l.now}
		l.lines[i.Customer] = c
		l.order = append(l.order, i.Customer)
	}
	if len(c.items) == 0 {
		c.pass = max(c.pass, l.now) // idle time earns no credit
	}
	c.items = append(c.items, i)
	l.count++
}

func (c *line) trim() {
	for len(c.items) > 0 && c.items[0].gone {
		c.items = c.items[1:]
	}
}

func (l *lane) head() *Item {
	var next *line
	for _, customer := range l.order {
		c := l.lines[customer]
		c.trim()
		if len(c.items) > 0 && (next == nil || c.pass < next.pass) {
			next = c
		}
	}
	if next == nil {
		return nil
	}
	return next.items[0]
}

func (l *lane) take(i *Item) {
	c := l.lines[i.Customer]
	c.trim()
	if len(c.items) == 0 || c.items[0] != i {
		return
	}
	c.items = c.items[1:]
	l.now = c.pass
	c.pass += float64(max(1, i.Cost)) / float64(max(1, i.Weight))
	i.gone = true
	l.count--
	if len(c.items) == 0 && len(l.order) > maxIdleLines {
		l.forget(i.Customer)
	}
}

// maxIdleLines bounds the lines that are kept for their pass alone.
const maxIdleLines = 4096

func (l *lane) forget(customer ident.Customer) {
	delete(l.lines, customer)
	for at, other := range l.order {
		if other == customer {
			l.order = append(l.order[:at], l.order[at+1:]...)
			return
		}
	}
}

// popLast takes out the call that came last of the longest line.
func (l *lane) popLast() *Item {
	var longest *line
	for _, customer := range l.order {
		c := l.lines[customer]
		c.trim()
		if longest == nil || len(c.items) > len(longest.items) {
			longest = c
		}
	}
	for at := len(longest.items) - 1; at >= 0; at-- {
		if i := longest.items[at]; !i.gone {
			longest.items = longest.items[:at]
			i.gone = true
			l.count--
			return i
		}
	}
	return nil
}
