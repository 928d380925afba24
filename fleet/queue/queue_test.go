package queue_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/queue"
)

func item(c ident.Customer, weight int64, p catalog.Priority) *queue.Item {
	return &queue.Item{Customer: c, Weight: weight, Priority: p, Cost: 1}
}

func next(q *queue.Queue) *queue.Item {
	i := q.Next("")
	if i != nil {
		q.Take(i)
	}
	return i
}

func TestInteractiveGoesFirst(t *testing.T) {
	q := queue.New(10)
	interactive := item("a", 1, catalog.Interactive)
	require.Nil(t, q.Push(item("a", 1, catalog.Batch)))
	require.Nil(t, q.Push(interactive))
	assert.Same(t, interactive, next(q))
	assert.Equal(t, 1, q.Len())
}

func TestServiceIsProportionalToWeights(t *testing.T) {
	q := queue.New(1000)
	for range 300 {
		q.Push(item("small", 1, catalog.Batch))
		q.Push(item("large", 3, catalog.Batch))
	}
	served := map[ident.Customer]int{}
	for range 200 {
		served[next(q).Customer]++
	}
	assert.InDelta(t, 150, served["large"], 2)
	assert.InDelta(t, 50, served["small"], 2)
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	q := queue.New(1000)
	for range 100 {
		q.Push(item("busy", 1, catalog.Batch))
	}
	for range 50 {
		next(q)
	}
	for range 50 {
		q.Push(item("idle", 1, catalog.Batch))
	}
	served := map[ident.Customer]int{}
	for range 20 {
		served[next(q).Customer]++
	}
	assert.InDelta(t, 10, served["idle"], 1)
}

func TestFullQueueShedsBatchFirst(t *testing.T) {
	q := queue.New(2)
	first, second := item("a", 1, catalog.Batch), item("b", 1, catalog.Batch)
	q.Push(first)
	q.Push(second)
	refused := item("c", 1, catalog.Batch)
	assert.Same(t, refused, q.Push(refused))
	shed := q.Push(item("d", 1, catalog.Interactive))
	require.NotNil(t, shed)
	assert.Equal(t, catalog.Batch, shed.Priority)
	assert.Equal(t, 2, q.Len())
}

func TestRemovedCallsAreSkipped(t *testing.T) {
	q := queue.New(10)
	removed, waiting := item("a", 1, catalog.Interactive), item("a", 1, catalog.Interactive)
	q.Push(removed)
	q.Push(waiting)
	q.Remove(removed)
	q.Remove(removed)
	assert.Equal(t, 1, q.Len())
	assert.Same(t, waiting, next(q))
	assert.Nil(t, next(q))
}
