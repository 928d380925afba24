package account

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// oneObject is a store of one object, which the test may change between two calls.
type oneObject struct {
	store.Store
	object   store.Object
	noObject bool // a conflict does not return the object
	calls    []string
	before   func() // called before each put
	refuses  bool   // refuses every call
	hidden   bool   // the object's revision can't be read
}

func (s *oneObject) Get(context.Context, string, string) (store.Object, error) {
	s.calls = append(s.calls, "get")
	if s.refuses {
		return store.Object{}, store.ErrRefused
	}
	if s.object.Revision == 0 {
		return store.Object{}, store.ErrNotFound
	}
	if s.hidden {
		return store.Object{Kind: s.object.Kind, Name: s.object.Name, Fault: s.object.Fault}, nil
	}
	return s.object, nil
}

func (s *oneObject) Put(_ context.Context, o store.Object) (store.Object, error) {
	s.calls = append(s.calls, "put")
	if s.before != nil {
		s.before()
	}
	if s.refuses {
		return store.Object{}, store.ErrRefused
	}
	if o.Revision != s.object.Revision {
		if s.noObject {
			return store.Object{}, store.ErrConflict
		}
		return s.object, store.ErrConflict
	}
	o.Revision++
	s.object = o
	return o, nil
}

// changedByAnother puts a row of another node into the ledger.
func (s *oneObject) changedByAnother(t *testing.T, drawn int64) {
	t.Helper()
	var ledger Ledger
	require.NoError(t, json.Unmarshal(s.object.Data, &ledger))
	data, err := json.Marshal(ledger.WithAccount(ledger.Account(modelTenant).WithRow(Row{Node: "other", Incarnation: "other/1", Drawn: drawn})))
	require.NoError(t, err)
	s.object = store.Object{Kind: Kind, Name: ledgerName, Revision: s.object.Revision + 1, Data: data}
}

func quiet() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

func TestConflictCostsNoRead(t *testing.T) {
	cases := []struct {
		name string
		mute bool
		want []string
	}{
		{"the store returns the ledger", false, []string{"put", "put"}},
		{"it does not", true, []string{"put", "get", "put"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &oneObject{noObject: c.mute}
			p := NewAllowance("n", "n/1", DefaultTuning())
			p.Budget(map[string]int64{modelTenant: 1000})
			syncer := NewSyncer(s, p, func() int { return 1 }, func() bool { return true }, store.NewHealth(), quiet())
			require.NoError(t, syncer.sync(t.Context(), testStart, false))
			s.changedByAnother(t, 300)
			p.Reserve(modelTenant, 500, testStart) // more than the node holds
			s.calls = nil
			require.NoError(t, syncer.sync(t.Context(), testStart, false))
			assert.Equal(t, c.want, s.calls)
			assert.GreaterOrEqual(t, p.State(modelTenant).Free, int64(500))
		})
	}
}

func TestConflictIsNoOutage(t *testing.T) {
	s := &oneObject{}
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: 1000})
	syncer := NewSyncer(s, p, func() int { return 1 }, func() bool { return true }, store.NewHealth(), quiet())
	require.NoError(t, syncer.sync(t.Context(), testStart, false))
	s.before = func() { s.changedByAnother(t, 300) }
	p.Reserve(modelTenant, 500, testStart)
	assert.Zero(t, syncer.round(t.Context(), testStart, 0), "no backoff")
	assert.False(t, syncer.Unavailable())
	assert.True(t, p.HasShortfall(), "the shortfall is still to be drawn")
	s.before = nil
	syncer.round(t.Context(), testStart, 0)
	assert.GreaterOrEqual(t, p.State(modelTenant).Free, int64(500))
}

// hanging is a store that answers puts only after the channel answer is closed.
type hanging struct {
	*oneObject
	answer chan struct{}
}

func (h hanging) Put(ctx context.Context, o store.Object) (store.Object, error) {
	select {
	case <-h.answer:
		return h.oneObject.Put(ctx, o)
	case <-ctx.Done():
		return store.Object{}, ctx.Err()
	}
}

func TestDrawWaitsForTheStoreWithATimeout(t *testing.T) {
	cases := []struct {
		name   string
		hangs  bool
		direct bool // this node
		enough bool
		most   time.Duration
	}{
		{"the store answers", false, true, true, 20 * time.Millisecond},
		{"the store hangs", true, true, false, drawTimeout},
		{"other nodes draw", false, false, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := hanging{oneObject: &oneObject{}, answer: make(chan struct{})}
				if !c.hangs {
					close(s.answer)
				}
				p := NewAllowance("n", "n/1", DefaultTuning())
				p.Budget(map[string]int64{modelTenant: 1000})
				syncer := NewSyncer(s, p, func() int { return 1 }, func() bool { return c.direct }, store.NewHealth(), quiet())
				assert.Equal(t, Insufficient, p.Reserve(modelTenant, 500, time.Now()))
				go syncer.Run(ctx)
				time.Sleep(waitingInterval / 2)
				began := time.Now()
				syncer.Draw(ctx, modelTenant)
				assert.LessOrEqual(t, time.Since(began), c.most)
				assert.Equal(t, c.enough, p.Missing(modelTenant, 500) == 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a planned stop that waits for a round while the store hangs.
func TestLeaveDoesNotWaitForARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := hanging{oneObject: &oneObject{}, answer: make(chan struct{})}
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 1000})
		syncer := NewSyncer(s, p, func() int { return 1 }, func() bool { return true }, store.NewHealth(), quiet())
		p.Reserve(modelTenant, 500, time.Now())
		go syncer.Run(ctx)
		time.Sleep(2 * checkInterval) // its put hangs by now
		began := time.Now()
		leave, done := context.WithTimeout(ctx, 300*time.Millisecond)
		assert.Error(t, syncer.Leave(leave))
		done()
		assert.LessOrEqual(t, time.Since(began), 300*time.Millisecond)
		cancel()
		synctest.Wait()
	})
}

// Guards against conflicts of many writers: the more nodes write, the longer each waits.
func TestManyWritersWriteLessOften(t *testing.T) {
	cases := []struct {
		nodes       int
		lacks       bool
		asked       bool
		least, most time.Duration
	}{
		{1, false, false, idleInterval, idleInterval},
		{8, false, false, 2 * time.Second, 2 * time.Second},
		{16, false, false, 4 * time.Second, 4 * time.Second},
		{1, true, false, urgentInterval, 400 * time.Millisecond},
		{8, true, false, urgentInterval, 800 * time.Millisecond},
		{8, true, true, waitingInterval, 200 * time.Millisecond},
	}
	for _, c := range cases {
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 1000})
		if c.lacks {
			p.Reserve(modelTenant, 500, testStart)
		}
		syncer := NewSyncer(nil, p, func() int { return c.nodes }, func() bool { return true }, store.NewHealth(), quiet())
		got := syncer.writeInterval(c.asked)
		assert.GreaterOrEqual(t, got, c.least, c)
		assert.LessOrEqual(t, got, c.most, c)
	}
}

// Guards against an unreadable ledger that frees tokens: nothing is drawn and it is not overwritten,
// the store does not count as lost, and the node goes on with what it holds. A valid one is applied
// at once.
func TestUnreadableLedgerFreesNothing(t *testing.T) {
	cases := []struct {
		name, data, fault string
		noRevision        bool // the revision is unreadable, too
	}{
		{"not JSON", "", "entry: no JSON", false},
		{"not JSON, without a revision", "", "entry: no JSON", true},
		{"empty", "", "", false},
		{"null", "null", "", false},
		{"no accounts", `{}`, "", false},
		{"a text", `"ledger"`, "", false},
		{"tokens a text", `{"lives":[],"accounts":[{"t":"tenant","c":["0",0,0]}]}`, "", false},
		{"tokens negative", `{"lives":[],"accounts":[{"t":"tenant","c":[-5000,0,0]}]}`, "", false},
		{"the account is missing", `{"lives":[],"accounts":[]}`, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &oneObject{}
			p := NewAllowance("n", "n/1", DefaultTuning())
			p.Budget(map[string]int64{modelTenant: 100_000})
			syncer := NewSyncer(s, p, func() int { return 1 }, func() bool { return true }, store.NewHealth(), quiet())
			p.Reserve(modelTenant, 300, testStart)
			require.Zero(t, syncer.round(t.Context(), testStart, 0))
			require.Equal(t, Reserved, p.Reserve(modelTenant, 300, testStart))
			p.Settle(modelTenant, 300, 300)
			require.Zero(t, syncer.round(t.Context(), testStart, 0))
			good := s.object
			held := p.State(modelTenant).Free
			s.object = store.Object{Kind: Kind, Name: ledgerName, Revision: good.Revision + 1, Data: json.RawMessage(c.data), Fault: c.fault}
			s.hidden = c.noRevision
			bad := s.object
			for range 3 {
				p.Reserve(modelTenant, held+5000, testStart) // more than the node holds
				syncer.fresh = false
				assert.Equal(t, unreadablePause, syncer.round(t.Context(), testStart, 0))
			}
			assert.Equal(t, bad, s.object, "it is not overwritten")
			assert.False(t, syncer.Unavailable(), "the store answers")
			assert.LessOrEqual(t, p.State(modelTenant).Free, held)
			good.Revision += 2
			s.hidden = false
			s.object = good
			assert.Zero(t, syncer.round(t.Context(), testStart, 0))
			assert.Greater(t, s.object.Revision, good.Revision, "it draws again")
		})
	}
}
