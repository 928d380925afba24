package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
)

// Allowance is what transfers need of a node's budgets.
type Allowance interface {
	Missing(tenant string, tokens int64) int64
	Grant(tenant string, need, want int64) int64
	Receive(tenant string, tokens int64)
	BudgetReports(now time.Time) map[string]account.BudgetReport
	Fleets(fleets map[string]account.Fleet, now time.Time)
	Deficits(nodes int, fraction float64, now time.Time) map[string]int64
	State(tenant string) account.Holding
	Ahead(tenant string, now time.Time) int64
	Expected(now time.Time) *account.Outage
	Expect(o account.Outage, now time.Time)
}

// transferRequest is a node's request for a peer's tokens. Sent again, it has the same id.
type transferRequest struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Need   int64  `json:"need"` // given if it is there
	Want   int64  `json:"want"`
}

// grant is the answer: the giver has counted the tokens out already.
type grant struct {
	ID     string   `json:"id"` // of the request
	Tenant string   `json:"tenant"`
	Tokens int64    `json:"tokens"`
	Try    []string `json:"try,omitempty"` // addresses of nodes that are richer, where this was not enough
}

// How transfers are asked for.
const (
	grantTimeout = 30 * time.Millisecond // for one try at a peer, beyond the round trip
	grantTries   = 2                     // at a peer, with the same id, while a request waits
	grantRepeats = 6                     // and afterwards, so that what was counted out already is not lost with its datagram
	grantPause   = 150 * time.Millisecond
	grantPeers   = 6 // asked one after another
	rankingAge   = 100 * time.Millisecond
	vainAge      = 40 * time.Millisecond
	freeAge      = 2 * time.Second  // a peer's word on what it could give counts so long, farEvery times that from another region
	rateAge      = 10 * time.Second // and its word on what it is asked for
	grantKept    = 10 * time.Second // answers are repeated, and late grants taken, so long
	wantFactor   = 2                // asked for beyond the need by a node that draws from the ledger, as a multiple of the request's tokens
)

// transfers moves tokens between nodes without the store. A grant is counted out
// once before it is sent, and in once for its id: a lost message loses tokens,
// and none is ever made.
type transfers struct {
	allowance Allowance

	mu       sync.Mutex
	reported map[string]peerReport // by the peer's address
	pending  map[string]*pending   // by the request's id
	answers  map[string]answer
	ranking  map[string]ranking // by tenant
	vain     map[string]vain    // by tenant
}

// ranking is the order in which peers are asked for a tenant's tokens, used for a
// moment: what peers tell is older than that.
type ranking struct {
	peers []string
	at    time.Time
}

// vain is what was asked for and not found: for a moment nobody is asked for as much.
type vain struct {
	tokens int64
	at     time.Time
}

type peerReport struct {
	budgets map[string]account.BudgetReport
	at      time.Time
	class   distance.Class // how far it lies
}

type pending struct {
	transferRequest transferRequest
	peer            string
	done            chan grant
	at              time.Time // when it was opened
	sent            time.Time // when it was last sent
	repeats         int
}

type answer struct {
	grant grant
	at    time.Time
}

func newTransfers(p Allowance) *transfers {
	return &transfers{allowance: p, reported: map[string]peerReport{}, pending: map[string]*pending{}, answers: map[string]answer{}, ranking: map[string]ranking{}, vain: map[string]vain{}}
}

// record notes what a peer of the node's region could give.
func (l *transfers) record(peer string, budgets map[string]account.BudgetReport, now time.Time) {
	l.recordFrom(peer, distance.SameRegion, budgets, now)
}

// recordFrom notes what a peer could give, and how far it lies.
func (l *transfers) recordFrom(peer string, c distance.Class, budgets map[string]account.BudgetReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported[peer] = peerReport{budgets: budgets, at: now, class: c}
}

// fleets sums up what the peers told, by tenant. Clients are the nodes, by
// address, that this one draws for, together with writers-1 others: each of these
// counts its part of what they ask for, and speaks for it to the rest of the fleet.
// They are nil on a node that draws for nobody, which takes the whole from those that do.
func (l *transfers) fleets(clients map[string]bool, writers int, now time.Time) map[string]account.Fleet {
	l.mu.Lock()
	defer l.mu.Unlock()
	fleets := map[string]account.Fleet{}
	for peer, o := range l.reported {
		if now.Sub(o.at) > rateAge {
			continue
		}
		for tenant, b := range o.budgets {
			f := fleets[tenant]
			f.Left = max(f.Left, b.Left)
			switch {
			case clients == nil && b.All > 0: // a writer's word, with this node's own demand in it
				f.All = max(f.All, b.All)
			case clients[peer]:
				f.Clients += b.Rate / float64(max(writers, 1))
				f.Fast += max(b.Rate, b.Fast) / float64(max(writers, 1))
			default:
				f.Others += b.Rate
			}
			fleets[tenant] = f
		}
	}
	for tenant, f := range fleets {
		f.Others += f.Clients
		fleets[tenant] = f
	}
	return fleets
}

// answer gives tokens to a peer; a request that comes again gets the same answer.
func (l *transfers) answer(a transferRequest, now time.Time) *grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if before, ok := l.answers[a.ID]; ok {
		return &before.grant
	}
	g := grant{ID: a.ID, Tenant: a.Tenant, Tokens: l.allowance.Grant(a.Tenant, a.Need, a.Want)}
	if g.Tokens < a.Need {
		g.Try = l.richest(a.Tenant, now)
	}
	l.answers[a.ID] = answer{grant: g, at: now}
	return &g
}

// expire drops what is too old to matter.
func (l *transfers) expire(now time.Time) {
	for id, a := range l.answers {
		if now.Sub(a.at) > grantKept {
			delete(l.answers, id)
		}
	}
	for id, a := range l.pending {
		if now.Sub(a.at) > grantKept {
			delete(l.pending, id)
		}
	}
}

// arrived counts a grant in, once.
func (l *transfers) arrived(g grant) {
	l.mu.Lock()
	a, ok := l.pending[g.ID]
	delete(l.pending, g.ID)
	if ok && g.Tokens > 0 {
		l.allowance.Receive(g.Tenant, g.Tokens)
	}
	l.mu.Unlock()
	if ok {
		a.done <- g
	}
}

// sources lists the peers that could give something: those of the region before others,
// the richest first.
func (l *transfers) sources(tenant string, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.ranking[tenant]; ok && now.Sub(r.at) < rankingAge {
		return r.peers
	}
	r := ranking{peers: l.richest(tenant, now), at: now}
	l.ranking[tenant] = r
	return r.peers
}

// inVain is whether so much was asked for a moment ago and not found.
func (l *transfers) inVain(tenant string, tokens int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.vain[tenant]
	return ok && now.Sub(v.at) < vainAge && tokens >= v.tokens
}

// notFound notes that so much was asked for and not found.
func (l *transfers) notFound(tenant string, tokens int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vain[tenant] = vain{tokens: tokens, at: now}
}

// richest lists the peers that could give something, the richest first, and those of other
// regions, which a call that is short would wait for, last; the lock is held.
func (l *transfers) richest(tenant string, now time.Time) []string {
	type rich struct {
		peer   string
		tokens int64
		far    int // 1 in another region
	}
	all := make([]rich, 0, 2*grantPeers)
	for peer, o := range l.reported {
		if now.Sub(o.at) >= freeAge*time.Duration(1+(farEvery-1)*far(o.class)) {
			continue
		}
		if tokens := o.budgets[tenant].Free; tokens > 0 {
			all = append(all, rich{peer: peer, tokens: tokens, far: far(o.class)})
		}
	}
	slices.SortFunc(all, func(a, b rich) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.peer, b.peer))
	})
	peers := make([]string, 0, grantPeers)
	for _, r := range all[:min(len(all), grantPeers)] {
		peers = append(peers, r.peer)
	}
	return peers
}

// far is 1 for another region, so that its peers come last.
func far(c distance.Class) int {
	if c == distance.OtherRegion {
		return 1
	}
	return 0
}

// nearFirst moves the peers of other regions, as far as they were heard of, to the end.
func (l *transfers) nearFirst(peers []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(peers, func(a, b string) int { return cmp.Compare(far(l.reported[a].class), far(l.reported[b].class)) })
	return peers
}

// classOf is how far a peer lies that was heard of.
func (l *transfers) classOf(peer string) distance.Class {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reported[peer].class
}

// open notes a request that is sent to a peer.
func (l *transfers) open(a transferRequest, peer string, now time.Time) chan grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := make(chan grant, 1)
	l.pending[a.ID] = &pending{transferRequest: a, peer: peer, done: done, at: now, sent: now}
	return done
}

// overdue lists the requests to send once more, by peer: the peer may have counted
// tokens out for them already, and answers an id that it knows as it did before.
func (l *transfers) overdue(now time.Time) map[string][]transferRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	again := map[string][]transferRequest{}
	for _, a := range l.pending {
		if a.repeats < grantRepeats && now.Sub(a.sent) >= grantPause {
			a.repeats++
			a.sent = now
			again[a.peer] = append(again[a.peer], a.transferRequest)
		}
	}
	return again
}

// requestAhead asks one node that writes the ledger for what this node's holdings
// lack, without waiting: grants are counted in as they come.
func (t *Gossip) requestAhead(writers []Member) {
	if len(writers) == 0 {
		return
	}
	now := clock.Now()
	from := writers[rand.IntN(len(writers))]
	var requests []transferRequest
	for tenant, tokens := range t.transfers.allowance.Deficits(t.registry.Count(), refillBelow, now) {
		a := transferRequest{ID: uuid.NewString(), Tenant: tenant, Want: tokens}
		t.transfers.open(a, from.Address, now)
		requests = append(requests, a)
	}
	if len(requests) > 0 {
		t.send(t.signed(message{Requests: requests}), from.Address)
	}
}

// Acquire asks peers for what a reservation of tokens lacks; true where it came.
// A peer that has too little names richer ones.
func (t *Gossip) Acquire(ctx context.Context, tenant string, tokens int64) bool {
	if t.transfers.inVain(tenant, t.transfers.allowance.Missing(tenant, tokens), clock.Now()) {
		return false
	}
	peers := slices.Clone(t.transfers.sources(tenant, clock.Now()))
	if len(peers) == 0 {
		peers = t.namers()
	}
	for i := 0; i < len(peers) && i < grantPeers; i++ {
		need := t.transfers.allowance.Missing(tenant, tokens)
		if need == 0 {
			return true
		}
		want := need + t.transfers.allowance.Ahead(tenant, clock.Now())
		if t.Writes() {
			want = max(want, need+wantFactor*tokens)
		}
		richer := t.requestFrom(ctx, peers[i], transferRequest{ID: uuid.NewString(), Tenant: tenant, Need: need, Want: want})
		rest := lo.Uniq(append(lo.Without(richer, append(peers[:i+1:i+1], t.address)...), peers[i+1:]...))
		peers = append(peers[:i+1:i+1], t.transfers.nearFirst(rest)...)
	}
	missing := t.transfers.allowance.Missing(tenant, tokens)
	if missing > 0 {
		t.transfers.notFound(tenant, missing, clock.Now())
	}
	return missing == 0
}

// namers lists the nodes of the zone that write the ledger, one of which is asked where
// no peer is known that could give: it hears from those of other zones, and names them.
func (t *Gossip) namers() []string {
	writers, _ := t.choice()
	self := t.registry.self
	near := lo.Filter(t.registry.Members(), func(m Member, _ int) bool { return writers[m.Name] && m.Zone == self.Zone && m.Name != self.Name })
	if len(near) == 0 {
		return nil
	}
	return []string{near[rand.IntN(len(near))].Address}
}

// requestFrom asks one peer, and returns the richer ones that it names.
func (t *Gossip) requestFrom(ctx context.Context, peer string, a transferRequest) []string {
	done := t.transfers.open(a, peer, clock.Now())
	for range grantTries {
		t.send(t.signed(message{Requests: []transferRequest{a}}), peer)
		timer := time.NewTimer(grantTimeout + t.places.OfClass(t.transfers.classOf(peer), clock.Now()).RoundTrip)
		select {
		case g := <-done:
			timer.Stop()
			return g.Try
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
	return nil
}
