package store_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// failing is a store whose Get always returns the same error.
type failing struct {
	store.Store
	err error
}

func (f failing) Get(context.Context, string, string) (store.Object, error) {
	return store.Object{}, f.err
}

// tally collects the counted calls.
type tally []string

func (t *tally) StoreCall(kind, verb, outcome string) { *t = append(*t, kind+" "+verb+" "+outcome) }

func TestCallsAreCountedByOutcome(t *testing.T) {
	cases := []struct {
		err  error
		want string
	}{
		{nil, "k get done"},
		{errors.Wrap(store.ErrConflict, "step"), "k get conflict"},
		{errors.Wrap(store.ErrNotFound, "step"), "k get not-found"},
		{errors.Mark(errors.New("dial"), store.ErrRefused), "k get refused"},
		{store.ErrCompacted, "k get compacted"},
		{context.DeadlineExceeded, "k get unknown"},
	}
	for _, c := range cases {
		var counted tally
		_, err := store.Counted(failing{err: c.err}, &counted).Get(t.Context(), "k", "n")
		assert.ErrorIs(t, err, c.err)
		assert.Equal(t, tally{c.want}, counted)
	}
}
