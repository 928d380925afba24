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

// Allowance is the part of a node's budgets that transfers use.
type Allowance interface {
	Missing(tenant string, tokens int64) int64
	Grant(tenant string, need, want int64) int64
	Receive(tenant string, tokens int64)
	BudgetReports(now time.Time) map[string]account.BudgetReport
	SetFleets(fleets map[string]account.Fleet, now time.Time)
	Deficits(nodes int, fraction float64, now time.Time) map[string]int64
	State(tenant string) account.Holding
	UpcomingDemand(tenant string, now time.Time) int64
	Expected(now time.Time) *account.Outage
	Expect(o account.Outage, now time.Time)
}

// transferRequest asks a peer for tokens. It keeps its id when it is sent again.
type transferRequest struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Need   int64  `json:"need"` // granted if available
	Want   int64  `json:"want"` // asked for in total
}

// grant is the answer to a request. The giver has already deducted the tokens.
type grant struct {
	ID     string   `json:"id"` // of the request
	Tenant string   `json:"tenant"`
	Tokens int64    `json:"tokens"`
	Try    []string `json:"try,omitempty"` // addresses of nodes with more tokens, if these were not enough
}

// How transfers are requested.
const (
	grantTimeout  = 30 * time.Millisecond  // for one attempt at a peer, beyond the round trip
	grantAttempts = 2                      // attempts at a peer with the same id while a call waits
	maxRepeats    = 6                      // further attempts, so that tokens already deducted are not lost with a datagram
	retryInterval = 150 * time.Millisecond // between these further attempts
	maxGrantPeers = 6                      // peers asked one after another
	rankingAge    = 100 * time.Millisecond // how long a ranking of peers is used
	unmetAge      = 40 * time.Millisecond  // how long an amount that was not found is not requested again
	freeAge       = 2 * time.Second        // validity of a peer's report of free tokens; farEvery times that for another region
	rateAge       = 10 * time.Second       // validity of a peer's report of its demand
	grantAge      = 10 * time.Second       // how long answers are repeated and late grants accepted
	wantFactor    = 2                      // extra amount requested by a node that draws from the ledger, as a multiple of the tokens needed by the call
)

// transfers moves tokens between nodes without the store. A grant is deducted once, before
// it is sent, and credited once per id: a lost message loses tokens, but none are created.
type transfers struct {
	allowance Allowance

	mu       sync.Mutex
	reported map[string]peerReport // by peer address
	pending  map[string]*pending   // by request id
	answers  map[string]answer     // by request id
	ranking  map[string]ranking    // by tenant
	unmet    map[string]unmet      // by tenant
}

// ranking is the order in which peers are asked for a tenant's tokens. It is used for
// rankingAge, since peers' reports are older than that anyway.
type ranking struct {
	peers []string
	at    time.Time
}

// unmet is an amount that was requested and not found. As much is not requested again for
// unmetAge.
type unmet struct {
	tokens int64
	at     time.Time
}

type peerReport struct {
	budgets map[string]account.BudgetReport
	at      time.Time
	class   distance.Class // distance class of the peer
}

type pending struct {
	request transferRequest
	peer    string
	done    chan grant
	at      time.Time // when it was opened
	sent    time.Time // when it was last sent
	repeats int
}

type answer struct {
	grant grant
	at    time.Time
}

func newTransfers(a Allowance) *transfers {
	return &transfers{allowance: a, reported: map[string]peerReport{}, pending: map[string]*pending{}, answers: map[string]answer{}, ranking: map[string]ranking{}, unmet: map[string]unmet{}}
}

// record stores the budget reports of a peer in the node's region.
func (t *transfers) record(peer string, budgets map[string]account.BudgetReport, now time.Time) {
	t.recordFrom(peer, distance.SameRegion, budgets, now)
}

// recordFrom stores the budget reports of a peer and its distance class.
func (t *transfers) recordFrom(peer string, c distance.Class, budgets map[string]account.BudgetReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported[peer] = peerReport{budgets: budgets, at: now, class: c}
}

// fleets sums up the peers' budget reports by tenant. Dependents are the addresses of the
// nodes that this one draws for, together with writers-1 others: each of these writers
// counts its share of their demand, and reports it to the rest of the fleet. Dependents is
// nil on a node that draws for no other, which takes the totals from its writers.
func (t *transfers) fleets(dependents map[string]bool, writers int, now time.Time) map[string]account.Fleet {
	t.mu.Lock()
	defer t.mu.Unlock()
	fleets := map[string]account.Fleet{}
	for peer, r := range t.reported {
		if now.Sub(r.at) > rateAge {
			continue
		}
		for tenant, b := range r.budgets {
			f := fleets[tenant]
			f.Left = max(f.Left, b.Left)
			switch {
			case dependents == nil && b.All > 0: // a writer's report, which includes this node's own demand
				f.All = max(f.All, b.All)
			case dependents[peer]:
				f.Dependents += b.Rate / float64(max(writers, 1))
				f.Fast += max(b.Rate, b.Fast) / float64(max(writers, 1))
			default:
				f.Others += b.Rate
			}
			fleets[tenant] = f
		}
	}
	for tenant, f := range fleets {
		f.Others += f.Dependents
		fleets[tenant] = f
	}
	return fleets
}

// answer grants tokens to a peer. A repeated request gets the same answer.
func (t *transfers) answer(req transferRequest, now time.Time) *grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if before, ok := t.answers[req.ID]; ok {
		return &before.grant
	}
	g := grant{ID: req.ID, Tenant: req.Tenant, Tokens: t.allowance.Grant(req.Tenant, req.Need, req.Want)}
	if g.Tokens < req.Need {
		g.Try = t.richest(req.Tenant, now)
	}
	t.answers[req.ID] = answer{grant: g, at: now}
	return &g
}

// expire drops old answers and pending requests.
func (t *transfers) expire(now time.Time) {
	for id, a := range t.answers {
		if now.Sub(a.at) > grantAge {
			delete(t.answers, id)
		}
	}
	for id, p := range t.pending {
		if now.Sub(p.at) > grantAge {
			delete(t.pending, id)
		}
	}
}

// receive credits a grant, once.
func (t *transfers) receive(g grant) {
	t.mu.Lock()
	p, ok := t.pending[g.ID]
	delete(t.pending, g.ID)
	if ok && g.Tokens > 0 { // no more than was asked for
		t.allowance.Receive(p.request.Tenant, min(g.Tokens, max(p.request.Need, p.request.Want)))
	}
	t.mu.Unlock()
	if ok {
		p.done <- g
	}
}

// sources lists the peers that have free tokens: those of the region before others, each in
// descending order of their free tokens.
func (t *transfers) sources(tenant string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.ranking[tenant]; ok && now.Sub(r.at) < rankingAge {
		return r.peers
	}
	r := ranking{peers: t.richest(tenant, now), at: now}
	t.ranking[tenant] = r
	return r.peers
}

// recentlyUnmet reports whether an amount was requested within unmetAge and not found.
func (t *transfers) recentlyUnmet(tenant string, tokens int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.unmet[tenant]
	return ok && now.Sub(u.at) < unmetAge && tokens >= u.tokens
}

// recordUnmet records that an amount was requested and not found.
func (t *transfers) recordUnmet(tenant string, tokens int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unmet[tenant] = unmet{tokens: tokens, at: now}
}

// richest lists the peers with the most free tokens in descending order. Those of other
// regions come last, since a call that lacks tokens would wait for them. The lock is held.
func (t *transfers) richest(tenant string, now time.Time) []string {
	type rich struct {
		peer   string
		tokens int64
		far    int // 1 in another region
	}
	all := make([]rich, 0, 2*maxGrantPeers)
	for peer, r := range t.reported {
		if now.Sub(r.at) >= freeAge*time.Duration(1+(farEvery-1)*far(r.class)) {
			continue
		}
		if tokens := r.budgets[tenant].Free; tokens > 0 {
			all = append(all, rich{peer: peer, tokens: tokens, far: far(r.class)})
		}
	}
	slices.SortFunc(all, func(a, b rich) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.peer, b.peer))
	})
	peers := make([]string, 0, maxGrantPeers)
	for _, r := range all[:min(len(all), maxGrantPeers)] {
		peers = append(peers, r.peer)
	}
	return peers
}

// far returns 1 for another region, so that its peers sort last, and 0 otherwise.
func far(c distance.Class) int {
	if c == distance.OtherRegion {
		return 1
	}
	return 0
}

// nearFirst moves the peers known to be in other regions to the end.
func (t *transfers) nearFirst(peers []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(peers, func(a, b string) int { return cmp.Compare(far(t.reported[a].class), far(t.reported[b].class)) })
	return peers
}

// classOf returns the distance class of a peer that reported.
func (t *transfers) classOf(peer string) distance.Class {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported[peer].class
}

// open records a request that is sent to a peer, and returns the channel for its grant.
func (t *transfers) open(req transferRequest, peer string, now time.Time) chan grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := make(chan grant, 1)
	t.pending[req.ID] = &pending{request: req, peer: peer, done: done, at: now, sent: now}
	return done
}

// overdue lists the requests to send again, by peer: the peer may have deducted the tokens
// already, and repeats its answer for a known id.
func (t *transfers) overdue(now time.Time) map[string][]transferRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	again := map[string][]transferRequest{}
	for _, p := range t.pending {
		if p.repeats < maxRepeats && now.Sub(p.sent) >= retryInterval {
			p.repeats++
			p.sent = now
			again[p.peer] = append(again[p.peer], p.request)
		}
	}
	return again
}

// requestAhead asks one writer of the ledger for what this node's holdings lack, without
// waiting: grants are credited as they arrive.
func (g *Gossip) requestAhead(writers []Member) {
	if len(writers) == 0 {
		return
	}
	now := clock.Now()
	from := writers[rand.IntN(len(writers))]
	var requests []transferRequest
	for tenant, tokens := range g.transfers.allowance.Deficits(g.registry.Count(), refillBelow, now) {
		req := transferRequest{ID: uuid.NewString(), Tenant: tenant, Want: tokens}
		g.transfers.open(req, from.Address, now)
		requests = append(requests, req)
	}
	if len(requests) > 0 {
		g.send(g.withSender(message{Requests: requests}), from.Address)
	}
}

// Acquire asks peers for what a reservation of tokens lacks, and reports whether it got all
// of it. A peer that has too little names others that have more.
func (g *Gossip) Acquire(ctx context.Context, tenant string, tokens int64) bool {
	if g.transfers.recentlyUnmet(tenant, g.transfers.allowance.Missing(tenant, tokens), clock.Now()) {
		return false
	}
	peers := slices.Clone(g.transfers.sources(tenant, clock.Now()))
	if len(peers) == 0 {
		peers = g.writerToAsk()
	}
	for i := 0; i < len(peers) && i < maxGrantPeers; i++ {
		need := g.transfers.allowance.Missing(tenant, tokens)
		if need == 0 {
			return true
		}
		want := need + g.transfers.allowance.UpcomingDemand(tenant, clock.Now())
		if g.Writes() {
			want = max(want, need+wantFactor*tokens)
		}
		richer := g.requestFrom(ctx, peers[i], transferRequest{ID: uuid.NewString(), Tenant: tenant, Need: need, Want: want})
		rest := lo.Uniq(append(lo.Without(richer, append(peers[:i+1:i+1], g.address)...), peers[i+1:]...))
		peers = append(peers[:i+1:i+1], g.transfers.nearFirst(rest)...)
	}
	missing := g.transfers.allowance.Missing(tenant, tokens)
	if missing > 0 {
		g.transfers.recordUnmet(tenant, missing, clock.Now())
	}
	return missing == 0
}

// writerToAsk returns the address of a random writer of the zone, if there is one. It is
// asked if no peer with free tokens is known: it receives the reports of other zones'
// writers, and names them.
func (g *Gossip) writerToAsk() []string {
	writers, _ := g.currentChoice()
	self := g.registry.self
	near := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return writers[m.Name] && m.Zone == self.Zone && m.Name != self.Name })
	if len(near) == 0 {
		return nil
	}
	return []string{near[rand.IntN(len(near))].Address}
}

// requestFrom asks one peer, and returns the peers with more tokens that it names.
func (g *Gossip) requestFrom(ctx context.Context, peer string, req transferRequest) []string {
	done := g.transfers.open(req, peer, clock.Now())
	for range grantAttempts {
		g.send(g.withSender(message{Requests: []transferRequest{req}}), peer)
		timer := time.NewTimer(grantTimeout + g.places.OfClass(g.transfers.classOf(peer), clock.Now()).RoundTrip)
		select {
		case answer := <-done:
			timer.Stop()
			return answer.Try
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
	return nil
}
