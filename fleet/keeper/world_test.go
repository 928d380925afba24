package keeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/keeper"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/table"
)

const (
	budget   = ident.Budget("b")
	customer = ident.Customer("c")
	limit    = int64(10_000)
	bound    = int64(100)
)

var errUnavailable = errors.New("unavailable")

// fakeStore is the platform in memory, with faults that tests switch on.
type fakeStore struct {
	objects   map[string]platform.Object
	revision  platform.Version
	down      bool
	loseWrite int // number of next writes that take effect but whose answers are lost
	conflict  int // number of next writes that fail with a version conflict
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	if s.down {
		return platform.Object{}, errUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, key string, version platform.Version, value any) (platform.Version, error) {
	if s.down {
		return 0, errors.Mark(errUnavailable, platform.ErrUnknown)
	}
	if s.conflict > 0 {
		s.conflict--
		return 0, platform.ErrConflict
	}
	if s.objects[key].Version != version {
		return 0, platform.ErrConflict
	}
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.revision++
	s.objects[key] = platform.Object{Key: key, Version: s.revision, Value: data}
	if s.loseWrite > 0 {
		s.loseWrite--
		return 0, platform.ErrUnknown
	}
	return s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (platform.Page, error) {
	if s.down {
		return platform.Page{}, errUnavailable
	}
	var p platform.Page
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			p.Objects = append(p.Objects, platform.Object{Key: key, Version: o.Version})
		}
	}
	return p, nil
}

func (s *fakeStore) Watch(context.Context, string, int64, time.Duration) (platform.Page, error) {
	return platform.Page{}, errUnavailable
}
func (s *fakeStore) VMs(context.Context) (platform.VMList, error) {
	return platform.VMList{}, errUnavailable
}
func (s *fakeStore) Weights(context.Context, string) error { return nil }

// fakeEngine returns outcomes by request.
type fakeEngine struct {
	outcomes map[ident.Request]backend.Outcome
	down     bool
}

func (e *fakeEngine) Outcome(_ context.Context, _ holder.Attempt, id ident.Request) (backend.Outcome, error) {
	if e.down {
		return backend.Outcome{}, errUnavailable
	}
	if o, ok := e.outcomes[id]; ok {
		return o, nil
	}
	return backend.Outcome{State: backend.StateNeverStarted}, nil
}

func (e *fakeEngine) Cancel(ctx context.Context, a holder.Attempt, id ident.Request) (backend.Outcome, error) {
	o, err := e.Outcome(ctx, a, id)
	if o.State == backend.StateRunning {
		o.State = backend.StateCancelled
		e.outcomes[id] = o
	}
	return o, err
}

// vm is a keeper of one node in the world. It also implements the calls to other nodes.
type vm struct {
	*keeper.Keeper
	world       *world
	view        membership.State
	dead        bool
	unreachable bool // by the other VMs
}

// world simulates one zone of VMs with a platform, an engine and a clock.
type world struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	store   *fakeStore
	engine  *fakeEngine
	catalog *catalog.Catalog
	vms     map[ident.Node]*vm
	serial  int
	beat    int64
}

func newWorld(t *testing.T, nodes ...ident.Node) *world {
	w := &world{
		t:      t,
		clock:  clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		store:  &fakeStore{objects: map[string]platform.Object{}},
		engine: &fakeEngine{outcomes: map[ident.Request]backend.Outcome{}},
		vms:    map[ident.Node]*vm{},
	}
	w.catalog = catalog.New(1, table.New(
		table.Row{Kind: table.Customer, Name: string(customer), Version: 1, Cells: table.Cells{}},
		table.Row{Kind: table.Budget, Name: string(budget), Version: 1, Cells: table.Cells{"customer": string(customer), "limitTokens": fmt.Sprint(limit)}},
	))
	for _, n := range nodes {
		w.start(n)
	}
	w.settle()
	return w
}

func (w *world) newSerial() string {
	w.serial++
	w.clock.Advance(time.Millisecond)
	id := ulid.ULID{}
	_ = id.SetTime(ulid.Timestamp(w.clock.Now()))
	id[15] = byte(w.serial)
	return id.String()
}

// start starts a new incarnation of a node.
func (w *world) start(n ident.Node) *vm {
	self := membership.Member{Node: n, Zone: "z", Incarnation: ident.NewIncarnation(n, w.newSerial()), Phase: membership.Live}
	v := &vm{world: w, view: membership.New(self, membership.Options{})}
	v.Keeper = keeper.New(keeper.Dependencies{
		Self: self, Platform: w.store, Peers: v, Outcomes: w.engine,
		View:    func() membership.State { return v.view },
		Catalog: func() *catalog.Catalog { return w.catalog },
		Events:  event.New(n, 100, w.clock.Now), Clock: w.clock,
		Log:       &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		NewSerial: w.newSerial,
	}, keeper.Options{Slots: 1})
	w.vms[n] = v
	return v
}

// gossip exchanges heartbeats between all live, reachable VMs.
func (w *world) gossip() {
	w.beat++
	for _, v := range w.ordered() {
		recovered, alone := v.Recovered()
		self := v.view.Self()
		self.Incarnation, self.Recovered, self.Alone = v.Incarnation(), recovered, alone
		v.view = v.view.WithSelf(self)
		v.view, _ = v.view.Handle(membership.Ticked{At: w.clock.Now(), Random: func(int) int { return 0 }})
	}
	for range 2 {
		for _, from := range w.ordered() {
			for _, to := range w.ordered() {
				if from != to && !from.dead && !to.dead && !from.unreachable && !to.unreachable {
					to.view, _ = to.view.Handle(membership.Received{At: w.clock.Now(), Members: from.view.Digest()})
				}
			}
		}
	}
}

// settle runs 12 s of heartbeats, recovery and flushes.
func (w *world) settle() {
	for range 12 {
		w.clock.Advance(time.Second)
		w.gossip()
		w.eachLive(func(v *vm) {
			v.Recover(context.Background())
			_ = v.Flush(context.Background())
		})
	}
}

func (w *world) eachLive(visit func(*vm)) {
	for _, v := range w.ordered() {
		if !v.dead {
			visit(v)
		}
	}
}

// ordered returns the VMs sorted by name, so that runs are deterministic.
func (w *world) ordered() []*vm {
	names := lo.Keys(w.vms)
	slices.Sort(names)
	return lo.Map(names, func(n ident.Node, _ int) *vm { return w.vms[n] })
}

// kill ends a VM without notice and optionally starts a replacement.
func (w *world) kill(v *vm, replace bool) {
	v.dead = true
	if replace {
		w.start(v.Self.Node)
	}
}

// roles returns the slot's holder and the VM that ranks second.
func (w *world) roles() (h, second *vm) {
	for _, v := range w.ordered() {
		rank := v.view.Rank("z", 0, w.clock.Now())
		require.NotEmpty(w.t, rank)
		h = w.vms[rank[0].Node]
		second = w.vms[rank[1].Node]
		return h, second
	}
	return nil, nil
}

// request is one request with its holder and entry VM.
type request struct {
	id     ident.Request
	record holder.Record
	entry  *vm
	holder *vm
}

// admit asks a holder to admit a request for an entry VM.
func (w *world) admit(h, entry *vm) (request, peer.AdmitResponse) {
	id := ident.NewRequest("z", 0, w.newSerial())
	r := holder.Record{
		Request: id, Customer: customer, Bound: bound, Model: true, Entry: entry.Incarnation(),
		Attempts: []holder.Attempt{{Number: 1, Endpoint: "e"}}, At: w.clock.Now(),
	}
	verdict := h.Admit(context.Background(), peer.AdmitRequest{Record: r, Budgets: []holder.BudgetLine{{Name: budget, Limit: limit, Version: 1}}})
	q := request{id: id, entry: entry, holder: h}
	if verdict.Admitted != nil {
		q.record = *verdict.Admitted
		if entry != h {
			require.NoError(w.t, entry.StoreEntryRecord(q.record))
		}
	}
	return q, verdict
}

// run sets the outcome of a request at the engine.
func (w *world) run(q request, state backend.State, tokens int64) {
	w.engine.outcomes[q.id] = backend.Outcome{State: state, PromptTokens: 10, OutputTokens: tokens}
}

// end reports the end of a request as an entry VM does: to the holder if it is alive, else to all other VMs.
func (w *world) end(q request, tokens int64) {
	w.run(q, backend.StateDone, tokens)
	in := peer.EndRequest{Record: q.record, Usage: holder.Usage{Prompt: 10, Output: tokens}}
	q.entry.RecordEnd(q.id, in.Usage)
	if !q.holder.dead {
		q.holder.End(context.Background(), in)
		return
	}
	w.eachLive(func(v *vm) {
		if v != q.entry {
			v.End(context.Background(), in)
		}
	})
}

// line returns the budget's entry in the stored ledger.
func (w *world) line() ledger.Budget {
	o, ok := w.store.objects[ledger.Key(0)]
	require.True(w.t, ok)
	var s ledger.Slot
	require.NoError(w.t, json.Unmarshal(o.Value, &s))
	b, _ := s.Budget(budget)
	return b
}

// bills returns all durable bills.
func (w *world) bills() []bill.Bill {
	var all []bill.Bill
	for key, o := range w.store.objects {
		if strings.HasPrefix(key, keeper.BillPrefix) {
			var s bill.Segment
			require.NoError(w.t, json.Unmarshal(o.Value, &s))
			all = append(all, s.Bills...)
		}
	}
	return bill.Unique(all)
}

// ran returns the total tokens that the engine has processed.
func (w *world) ran() int64 {
	var sum int64
	for _, o := range w.engine.outcomes {
		sum += o.PromptTokens + o.OutputTokens
	}
	return sum
}

// reach returns the VM that is called, or an error if it is unreachable.
func (v *vm) reach(to membership.Member) (*vm, error) {
	other := v.world.vms[to.Node]
	if other == nil || other.dead || other.unreachable || v.unreachable || v.dead || (to.Incarnation != "" && other.Incarnation() != to.Incarnation) {
		return nil, errors.Mark(errUnavailable, peer.ErrUnreachable)
	}
	return other, nil
}

func (v *vm) Claim(_ context.Context, to membership.Member, in peer.ClaimRequest) (peer.ClaimResponse, error) {
	other, err := v.reach(to)
	if err != nil {
		return peer.ClaimResponse{}, err
	}
	return other.Keeper.Claim(in), nil
}

func (v *vm) Forget(_ context.Context, to membership.Member, in peer.ForgetRequest) error {
	other, err := v.reach(to)
	if err == nil {
		other.Keeper.Forget(in)
	}
	return err
}

func (v *vm) Store(_ context.Context, to membership.Member, in peer.StoreRequest) (peer.StoreResponse, error) {
	other, err := v.reach(to)
	if err != nil {
		return peer.StoreResponse{}, err
	}
	return other.Keeper.Store(in), nil
}

func (v *vm) Drop(_ context.Context, to membership.Member, in peer.DropRequest) error {
	other, err := v.reach(to)
	if err == nil {
		other.Keeper.Drop(in)
	}
	return err
}

func (v *vm) Fence(_ context.Context, to membership.Member, in peer.FenceRequest) (peer.FenceResponse, error) {
	other, err := v.reach(to)
	if err != nil {
		return peer.FenceResponse{}, err
	}
	return other.Keeper.Fence(in), nil
}

func (v *vm) Surrender(ctx context.Context, to membership.Member, in peer.SurrenderRequest) (peer.SurrenderResponse, error) {
	other, err := v.reach(to)
	if err != nil {
		return peer.SurrenderResponse{}, err
	}
	return other.Keeper.Surrender(ctx, in), nil
}

func (v *vm) Lend(_ context.Context, to membership.Member, in peer.LendRequest) (peer.LendResponse, error) {
	other, err := v.reach(to)
	if err != nil {
		return peer.LendResponse{}, err
	}
	return other.Keeper.Lend(in), nil
}

func (v *vm) HandOver(_ context.Context, to membership.Member, in peer.HandOver) error {
	other, err := v.reach(to)
	if err == nil {
		other.TakeKeys(in)
	}
	return err
}
