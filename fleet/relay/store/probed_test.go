package store_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// fixedResults is a store with fixed results for calls and pings.
type fixedResults struct {
	store.Store
	answer, ping error
	calls, pings int
}

func (m *fixedResults) Get(context.Context, string, string) (store.Object, error) {
	m.calls++
	return store.Object{}, m.answer
}

func (m *fixedResults) Ping(context.Context) error {
	m.pings++
	return m.ping
}

// A store that refuses is pinged before each call until it stops refusing; one that is
// silent, fails or answers is called. A refusal means that nothing was done, which also
// holds for a call that was not made.
func TestAStoreThatRefusesIsPingedFirst(t *testing.T) {
	silent := errors.New("silent")
	cases := []struct {
		name         string
		answer, ping error
		calls, pings int // of five attempts
	}{
		{"it answers", nil, nil, 5, 0},
		{"it refuses", store.ErrRefused, store.ErrRefused, 1, 4},
		{"it refuses calls only", store.ErrRefused, nil, 5, 4},
		{"it becomes silent", silent, silent, 5, 0},
		{"it refuses and does not answer pings", store.ErrRefused, silent, 5, 4},
		{"no such object", store.ErrNotFound, nil, 5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &fixedResults{answer: c.answer, ping: c.ping}
			s := store.Probed(m)
			for range 5 {
				_, err := s.Get(t.Context(), "k", "n")
				assert.ErrorIs(t, err, c.answer)
			}
			assert.Equal(t, []int{c.calls, c.pings}, []int{m.calls, m.pings})
			m.answer, m.ping = nil, nil
			_, err := s.Get(t.Context(), "k", "n")
			assert.NoError(t, err)
			before := m.pings
			_, err = s.Get(t.Context(), "k", "n")
			assert.NoError(t, err)
			assert.Equal(t, before, m.pings, "no more pings once it answered")
		})
	}
}
