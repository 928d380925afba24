package account

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// sharedObject is a store of one object with many writers and some latency.
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

// newest holds the newest object announced by any writer.
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

func (n *newest) Newer(_ context.Context, revision store.Revision) (store.Object, bool) {
	time.Sleep(callTakes)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.object, n.object.Revision > revision
}

// Guards against conflicts of writers that announce their writes: under two in ten writes. Without
// announcements each write but the first after another node's conflicts.
func TestAnnouncedWritesSeldomCollide(t *testing.T) {
	const writers = 8
	cases := []struct {
		name        string
		announce    bool
		least, most float64 // conflicts per successful write
	}{{"not announced", false, 0.8, 5}, {"announced", true, 0, 0.2}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, shared := &sharedObject{}, &newest{}
				ctx, cancel := context.WithCancel(t.Context())
				for i := range writers {
					node := string(rune('a' + i))
					p := NewAllowance(node, node+"/1", DefaultTuning())
					p.Budget(map[string]int64{modelTenant: 1 << 40})
					syncer := NewSyncer(s, p, func() int { return writers }, func() bool { return true }, store.NewHealth(), quiet())
					if c.announce {
						syncer.WithWriters(shared)
					}
					go syncer.Run(ctx)
					go func() {
						for ctx.Err() == nil {
							p.Reserve(modelTenant, 500, time.Now())
							time.Sleep(50 * time.Millisecond)
						}
					}()
				}
				time.Sleep(time.Minute)
				cancel()
				time.Sleep(time.Second) // until all goroutines have ended
				s.mu.Lock()
				defer s.mu.Unlock()
				rate := float64(s.conflicts) / float64(s.puts-s.conflicts)
				assert.GreaterOrEqual(t, rate, c.least)
				assert.LessOrEqual(t, rate, c.most, "%d conflicts of %d writes", s.conflicts, s.puts)
			})
		})
	}
}

// Guards against an unreadable ledger of a peer that stops the syncer: the store decides.
func TestUnreadableLedgerOfAPeerIsIgnored(t *testing.T) {
	s := &sharedObject{}
	peer := &newest{object: store.Object{Kind: Kind, Name: ledgerName, Revision: 99, Data: []byte("not JSON")}}
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: 1000})
	syncer := NewSyncer(s, p, func() int { return 1 }, func() bool { return true }, store.NewHealth(), quiet()).WithWriters(peer)
	assert.False(t, errors.Is(syncer.sync(t.Context(), testStart, false), store.ErrConflict))
	assert.Equal(t, 1, s.puts)
	assert.Positive(t, p.State(modelTenant).Free)
}

// distantStore is a sharedObject with network latency.
type distantStore struct {
	*sharedObject
	latency time.Duration
}

func (s distantStore) Put(ctx context.Context, o store.Object) (store.Object, error) {
	time.Sleep(s.latency)
	o, err := s.sharedObject.Put(ctx, o)
	time.Sleep(s.latency)
	return o, err
}

// remoteWriter is one writer's end of the announcements, with network latency and losses.
type remoteWriter struct {
	all     *newest
	own     int
	others  []*remoteWriter
	latency time.Duration
	lost    func() bool // reports whether an announcement is lost
	updates chan struct{}

	mu       sync.Mutex
	received store.Revision
	writer   int
	at       time.Time
}

func (w *remoteWriter) receive(revision store.Revision, writer int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision > w.received {
		w.received, w.writer, w.at = revision, writer, time.Now()
		select {
		case w.updates <- struct{}{}:
		default:
		}
	}
}

func (w *remoteWriter) Wrote(o store.Object) {
	w.all.Wrote(o)
	w.receive(o.Revision, w.own)
	for _, other := range w.others {
		if !w.lost() {
			time.AfterFunc(w.latency, func() { other.receive(o.Revision, w.own) })
		}
	}
}

func (w *remoteWriter) Newer(ctx context.Context, revision store.Revision) (store.Object, bool) {
	w.mu.Lock()
	newer := w.received > revision
	w.mu.Unlock()
	if !newer {
		return store.Object{}, false
	}
	time.Sleep(2 * w.latency)
	return w.all.Newer(ctx, revision)
}

func (w *remoteWriter) slot(length time.Duration, of int) Slot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Slot{LastWrite: w.at, After: (w.own - w.writer - 1 + of) % of, Of: of, Length: length}
}

// Guards against conflicts of twelve writers that are short of tokens, also 12 ms from the store and
// from each other. With slots few writes are refused and each still writes often enough.
func TestWritersWithSlotsSeldomCollide(t *testing.T) {
	const writers = 12
	cases := []struct {
		name          string
		slot, latency time.Duration
		lost          float64 // share of lost announcements
		least, most   float64 // refused writes per successful one
	}{
		{"no slots", 0, 12 * time.Millisecond, 0, 0.25, 9},
		{"slots", 100 * time.Millisecond, 12 * time.Millisecond, 0, 0, 0.15},
		{"slots, little latency", 35 * time.Millisecond, time.Millisecond, 0, 0, 0.15},
		{"slots, a fifth of the announcements lost", 100 * time.Millisecond, 12 * time.Millisecond, 0.2, 0, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, all := distantStore{&sharedObject{}, c.latency}, &newest{}
				drawn := rand.New(rand.NewPCG(1, 2))
				var mu sync.Mutex
				lost := func() bool {
					mu.Lock()
					defer mu.Unlock()
					return drawn.Float64() < c.lost
				}
				var remotes []*remoteWriter
				for i := range writers {
					remotes = append(remotes, &remoteWriter{all: all, own: i, latency: c.latency, lost: lost, updates: make(chan struct{}, 1)})
				}
				for _, w := range remotes {
					w.others = remotes
				}
				ctx, cancel := context.WithCancel(t.Context())
				for i := range writers {
					node := string(rune('a' + i))
					p := NewAllowance(node, node+"/1", DefaultTuning())
					p.Budget(map[string]int64{modelTenant: 1 << 40})
					syncer := NewSyncer(s, p, func() int { return writers }, func() bool { return true }, store.NewHealth(), quiet()).WithWriters(remotes[i])
					if c.slot > 0 {
						syncer.WithSlots(func() Slot { return remotes[i].slot(c.slot, writers) }, remotes[i].updates)
					}
					go syncer.Run(ctx)
					go func() {
						for at := int64(1); ctx.Err() == nil; at++ {
							p.Reserve(modelTenant, 500*at*at, time.Now()) // always more than is held
							time.Sleep(50 * time.Millisecond)
						}
					}()
				}
				time.Sleep(30 * time.Second)
				cancel()
				time.Sleep(time.Second) // until all have ended
				s.mu.Lock()
				defer s.mu.Unlock()
				done := s.puts - s.conflicts
				rate := float64(s.conflicts) / float64(done)
				assert.GreaterOrEqual(t, rate, c.least)
				assert.LessOrEqual(t, rate, c.most, "%d refused, %d successful", s.conflicts, done)
				assert.GreaterOrEqual(t, done, 30*writers*2/5, "each writes at least every 2.5 s")
			})
		})
	}
}
