// Package queue orders the calls that wait for an endpoint: interactive calls before
// batch calls, and within a priority by weighted fair queueing over customers.
package queue

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Item is a waiting call.
type Item struct {
	Customer ident.Customer
	Weight   int64 // of the customer, relative to the others
	Priority catalog.Priority
	Deadline time.Time
	Cost     int64 // tokens
	Value    any
	removed  bool
}

// Queue holds the waiting calls of one service. It is not safe for concurrent use.
type Queue struct {
	max         int
	interactive priorityQueue
	batch       priorityQueue
}

// New returns a queue that holds at most limit calls.
func New(limit int) *Queue {
	return &Queue{max: limit, interactive: newPriorityQueue(), batch: newPriorityQueue()}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.interactive.count + q.batch.count }

// Ahead returns the number of calls that are served before a new one of the priority.
func (q *Queue) Ahead(p catalog.Priority) int {
	if p == catalog.Batch {
		return q.Len()
	}
	return q.interactive.count
}

// Push adds a call. If the queue is full, an interactive call displaces a batch call,
// the newest of the customer with the most of them, which is returned. If there is no
// batch call to displace, or the new call is one, the new call itself is returned.
func (q *Queue) Push(i *Item) (shed *Item) {
	if q.Len() >= q.max {
		if i.Priority == catalog.Batch || q.batch.count == 0 {
			return i
		}
		shed = q.batch.popLast()
	}
	q.queueOf(i.Priority).push(i)
	return shed
}

// Remove removes a call that no longer waits. Removing a call twice has no effect.
func (q *Queue) Remove(i *Item) {
	if !i.removed {
		i.removed = true
		q.queueOf(i.Priority).count--
	}
}

// Next returns the next call without removing it, or nil if there is none; skip
// is a priority that can't be placed now.
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

// Take removes the call that Next returned.
func (q *Queue) Take(i *Item) { q.queueOf(i.Priority).take(i) }

func (q *Queue) queueOf(p catalog.Priority) *priorityQueue {
	if p == catalog.Batch {
		return &q.batch
	}
	return &q.interactive
}

// priorityQueue holds the calls of one priority and schedules customers by stride
// scheduling: the customer with the lowest pass is served next, and its pass grows by
// the cost of the call divided by the customer's weight.
type priorityQueue struct {
	customers map[ident.Customer]*customerQueue
	order     []ident.Customer
	lastPass  float64 // pass of the customer served last, before that call
	count     int
}

type customerQueue struct {
	items []*Item
	pass  float64
}

func newPriorityQueue() priorityQueue {
	return priorityQueue{customers: map[ident.Customer]*customerQueue{}}
}

func (pq *priorityQueue) push(i *Item) {
	c, ok := pq.customers[i.Customer]
	if !ok {
		c = &customerQueue{pass: pq.lastPass}
		pq.customers[i.Customer] = c
		pq.order = append(pq.order, i.Customer)
	}
	if len(c.items) == 0 {
		c.pass = max(c.pass, pq.lastPass) // idle time earns no credit
	}
	c.items = append(c.items, i)
	pq.count++
}

func (c *customerQueue) dropRemoved() {
	for len(c.items) > 0 && c.items[0].removed {
		c.items = c.items[1:]
	}
}

func (pq *priorityQueue) head() *Item {
	var next *customerQueue
	for _, customer := range pq.order {
		c := pq.customers[customer]
		c.dropRemoved()
		if len(c.items) > 0 && (next == nil || c.pass < next.pass) {
			next = c
		}
	}
	if next == nil {
		return nil
	}
	return next.items[0]
}

func (pq *priorityQueue) take(i *Item) {
	c := pq.customers[i.Customer]
	c.dropRemoved()
	if len(c.items) == 0 || c.items[0] != i {
		return
	}
	c.items = c.items[1:]
	pq.lastPass = c.pass
	c.pass += float64(max(1, i.Cost)) / float64(max(1, i.Weight))
	i.removed = true
	pq.count--
	if len(c.items) == 0 && len(pq.order) > maxIdleCustomers {
		pq.removeCustomer(i.Customer)
	}
}

// maxIdleCustomers bounds the customers without calls that are kept only for their pass.
const maxIdleCustomers = 4096

func (pq *priorityQueue) removeCustomer(customer ident.Customer) {
	delete(pq.customers, customer)
	for i, other := range pq.order {
		if other == customer {
			pq.order = append(pq.order[:i], pq.order[i+1:]...)
			return
		}
	}
}

// popLast removes the newest call of the customer with the most waiting calls.
func (pq *priorityQueue) popLast() *Item {
	var longest *customerQueue
	for _, customer := range pq.order {
		c := pq.customers[customer]
		c.dropRemoved()
		if longest == nil || len(c.items) > len(longest.items) {
			longest = c
		}
	}
	for at := len(longest.items) - 1; at >= 0; at-- {
		if i := longest.items[at]; !i.removed {
			longest.items = longest.items[:at]
			i.removed = true
			pq.count--
			return i
		}
	}
	return nil
}
