package account

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// sharedObject is a store of one object that many write, each call taking a moment.
type sharedObject struct {
	store.Store
	mu              sync.Mutex
	object          store.Object
	puts, conflicts int
}

const callTakes = 4 * time.Millisecond

func (s *sharedObject) Get(context.Context, string, string) (store.Object, error) {
	time.Sleep(callTakes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.object.Revision == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return s.object, nil
}

func (s *sharedObject) Put(_ context.Context, o store.Object) (store.Object, error) {
	time.Sleep(callTakes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if o.Revision != s.object.Revision {
		s.conflicts++
		return s.object, store.ErrConflict
	}
	o.Revision++
	s.object = o
	return o, nil
}

// newest is what writers tell each other, a moment after it was written.
type newest struct {
	mu     sync.Mutex
	object store.Object
}

func (n *newest) Wrote(o store.Object) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o.Revision > n.object.Revision {
		n.object = o
	}
}

func (n *newest) Newer(_ context.Context, revision int64) (store.Object, bool) {
	time.Sleep(callTakes)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.object, n.object.Revision > revision
}

// Writers that tell each other what they wrote seldom collide: under two in ten writes,
// where each but the first after another's conflicts without that.
func TestWritersThatTellEachOtherSeldomCollide(t *testing.T) {
	const writers = 8
	cases := []struct {
		name        string
		tell        bool
		least, most float64 // conflicts of a write that took effect
	}{{"alone", false, 0.8, 5}, {"told", true, 0, 0.2}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, told := &sharedObject{}, &newest{}
				ctx, cancel := context.WithCancel(t.Context())
				for i := range writers {
					node := string(rune('a' + i))
					p := NewAllowance(node, node+"/1", DefaultTuning())
					p.Budget(map[string]int64{modelTenant: 1 << 40})
					k := NewSyncer(s, p, func() int { return writers }, func() bool { return true }, store.NewHealth(), quiet())
					if c.tell {
						k.WithWriters(told)
					}
					go k.Run(ctx)
					go func() {
						for ctx.Err() == nil {
							p.Reserve(modelTenant, 500, time.Now())
							time.Sleep(50 * time.Millisecond)
						}
					}()
				}
				time.Sleep(time.Minute)
				cancel()
				time.Sleep(time.Second) // until all have ended
				s.mu.Lock()
				defer s.mu.Unlock()
				rate := float64(s.conflicts) / float64(s.puts-s.conflicts)
				assert.GreaterOrEqual(t, rate, c.least)
				assert.LessOrEqual(t, rate, c.most, "%d conflicts of %d writes", s.conflicts, s.puts)
			})
		})
	}
}

// What a peer tells that can't be read changes nothing: the store decides.
func TestALedgerOfAPeerThatIsNotUnderstoodIsPassedOver(t *testing.T) {
	s := &sharedObject{}
	told := &newest{object: store.Object{Kind: Kind, Name: ledgerName, Revision: 99, Data: []byte("not JSON")}}
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: 1000})
	k := NewSyncer(s, p, func() int { return 1 }, func() bool { return true }, store.NewHealth(), quiet()).WithWriters(told)
	assert.False(t, errors.Is(k.settle(t.Context(), testStart, false), store.ErrConflict))
	assert.Equal(t, 1, s.puts)
	assert.Positive(t, p.State(modelTenant).Free)
}
