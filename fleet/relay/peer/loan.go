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

	"github.com/lynxshed/lynxshed/fleet/relay/account"
)

// Purse is what loans need of a node's budgets.
type Purse interface {
	Missing(tenant string, tokens int64) int64
	Give(tenant string, need, want int64) int64
	Take(tenant string, tokens int64)
	Offers(now time.Time) map[string]account.Offer
	Fleets(fleets map[string]account.Fleet, now time.Time)
	Draws(tenant string) bool
	Lacking(nodes int, fraction float64, now time.Time) map[string]int64
	State(tenant string) account.Holding
}

// ask is a node's wish for a peer's tokens. Sent again, it has the same id.
type ask struct {
	ID     string `json:"id"`
	Tenant string `json:"tenant"`
	Need   int64  `json:"need"` // given if it is there
	Want   int64  `json:"want"`
}

// gift is the answer: the giver has counted the tokens out already.
type gift struct {
	ID     string   `json:"id"` // of the ask
	Tenant string   `json:"tenant"`
	Tokens int64    `json:"tokens"`
	Try    []string `json:"try,omitempty"` // addresses of nodes that are richer, where this was not enough
}

// How loans are asked for.
const (
	giftTimeout = 30 * time.Millisecond // for one try at a peer
	giftTries   = 2                     // at a peer, with the same id, while a request waits
	giftRepeats = 6                     // and afterwards, so that what was counted out already is not lost with its datagram
	giftPause   = 150 * time.Millisecond
	giftPeers   = 6                // asked one after another
	freeAge     = 2 * time.Second  // a peer's word on what it could give counts so long
	rateAge     = 10 * time.Second // and its word on what it is asked for
	giftKept    = 10 * time.Second // answers are repeated, and late gifts taken, so long
	wantFactor  = 2                // asked for beyond the need by a node that draws from the book, as a multiple of the request's tokens
)

// loans moves tokens between nodes without the store. A gift is counted out
// once before it is sent, and in once for its id: a lost message loses tokens,
// and none is ever made.
type loans struct {
	purse Purse

	mu      sync.Mutex
	offered map[string]offer  // by the peer's address
	asked   map[string]*asked // by the ask's id
	answers map[string]answer
}

type offer struct {
	budgets map[string]account.Offer
	at      time.Time
}

type asked struct {
	ask     ask
	peer    string
	done    chan gift
	at      time.Time // when it was opened
	sent    time.Time // when it was last sent
	repeats int
}

type answer struct {
	gift gift
	at   time.Time
}

func newLoans(p Purse) *loans {
	return &loans{purse: p, offered: map[string]offer{}, asked: map[string]*asked{}, answers: map[string]answer{}}
}

// told notes what a peer could give.
func (l *loans) told(peer string, budgets map[string]account.Offer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offered[peer] = offer{budgets: budgets, at: now}
}

// fleets sums up what the peers told, by tenant. Clients are the nodes, by
// address, that this one draws for, together with writers-1 others.
func (l *loans) fleets(clients map[string]bool, writers int, now time.Time) map[string]account.Fleet {
	l.mu.Lock()
	defer l.mu.Unlock()
	fleets := map[string]account.Fleet{}
	for peer, o := range l.offered {
		if now.Sub(o.at) > rateAge {
			continue
		}
		for tenant, b := range o.budgets {
			f := fleets[tenant]
			f.Others += b.Rate
			f.All = max(f.All, b.All)
			f.Left = max(f.Left, b.Left)
			if clients[peer] && !b.Own {
				f.Clients += b.Rate / float64(max(writers, 1))
			}
			fleets[tenant] = f
		}
	}
	return fleets
}

// answer gives tokens to a peer; an ask that comes again gets the same answer.
func (l *loans) answer(a ask, now time.Time) *gift {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if before, ok := l.answers[a.ID]; ok {
		return &before.gift
	}
	g := gift{ID: a.ID, Tenant: a.Tenant, Tokens: l.purse.Give(a.Tenant, a.Need, a.Want)}
	if g.Tokens < a.Need {
		g.Try = l.richest(a.Tenant, 1, now)
	}
	l.answers[a.ID] = answer{gift: g, at: now}
	return &g
}

// expire drops what is too old to matter.
func (l *loans) expire(now time.Time) {
	for id, a := range l.answers {
		if now.Sub(a.at) > giftKept {
			delete(l.answers, id)
		}
	}
	for id, a := range l.asked {
		if now.Sub(a.at) > giftKept {
			delete(l.asked, id)
		}
	}
}

// arrived counts a gift in, once.
func (l *loans) arrived(g gift) {
	l.mu.Lock()
	a, ok := l.asked[g.ID]
	delete(l.asked, g.ID)
	if ok && g.Tokens > 0 {
		l.purse.Take(g.Tenant, g.Tokens)
	}
	l.mu.Unlock()
	if ok {
		a.done <- g
	}
}

// lenders lists the peers that could give so much, the richest first.
func (l *loans) lenders(tenant string, need int64, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.richest(tenant, need, now)
}

// richest is lenders with the lock held.
func (l *loans) richest(tenant string, need int64, now time.Time) []string {
	type rich struct {
		peer   string
		tokens int64
	}
	var all []rich
	for peer, o := range l.offered {
		if tokens := o.budgets[tenant].Free; tokens >= need && now.Sub(o.at) < freeAge {
			all = append(all, rich{peer: peer, tokens: tokens})
		}
	}
	slices.SortFunc(all, func(a, b rich) int { return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.peer, b.peer)) })
	peers := make([]string, 0, giftPeers)
	for _, r := range all[:min(len(all), giftPeers)] {
		peers = append(peers, r.peer)
	}
	return peers
}

// open notes an ask that is sent to a peer.
func (l *loans) open(a ask, peer string, now time.Time) chan gift {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := make(chan gift, 1)
	l.asked[a.ID] = &asked{ask: a, peer: peer, done: done, at: now, sent: now}
	return done
}

// overdue lists the asks to send once more, by peer: the peer may have counted
// tokens out for them already, and answers an id that it knows as it did before.
func (l *loans) overdue(now time.Time) map[string][]ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	again := map[string][]ask{}
	for _, a := range l.asked {
		if a.repeats < giftRepeats && now.Sub(a.sent) >= giftPause {
			a.repeats++
			a.sent = now
			again[a.peer] = append(again[a.peer], a.ask)
		}
	}
	return again
}

// stockUp asks one node that writes the book for what this node's holdings
// lack, without waiting: gifts are counted in as they come.
func (t *Talk) stockUp(writers []Member) {
	if len(writers) == 0 {
		return
	}
	now := time.Now()
	from := writers[rand.IntN(len(writers))]
	var asks []ask
	for tenant, tokens := range t.loans.purse.Lacking(t.registry.Count(), stockFraction, now) {
		a := ask{ID: uuid.NewString(), Tenant: tenant, Want: tokens}
		t.loans.open(a, from.Address, now)
		asks = append(asks, a)
	}
	if len(asks) > 0 {
		t.send(from.Address, t.signed(message{Asks: asks}))
	}
}

// Borrow asks peers for what a reservation of tokens lacks; true where it came.
// A peer that has too little names richer ones.
func (t *Talk) Borrow(ctx context.Context, tenant string, tokens int64) bool {
	peers := t.loans.lenders(tenant, 1, time.Now())
	for i := 0; i < len(peers) && i < giftPeers; i++ {
		need := t.loans.purse.Missing(tenant, tokens)
		if need == 0 {
			return true
		}
		want := need
		if t.Writes() || t.loans.purse.Draws(tenant) {
			want += wantFactor * tokens
		}
		richer := t.borrowFrom(ctx, peers[i], ask{ID: uuid.NewString(), Tenant: tenant, Need: need, Want: want})
		peers = append(peers[:i+1:i+1], lo.Uniq(append(lo.Without(richer, append(peers[:i+1:i+1], t.address)...), peers[i+1:]...))...)
	}
	return t.loans.purse.Missing(tenant, tokens) == 0
}

// borrowFrom asks one peer, and returns the richer ones that it names.
func (t *Talk) borrowFrom(ctx context.Context, peer string, a ask) []string {
	done := t.loans.open(a, peer, time.Now())
	for range giftTries {
		t.send(peer, t.signed(message{Asks: []ask{a}}))
		timer := time.NewTimer(giftTimeout)
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
