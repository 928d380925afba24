package peer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
)

const tenant = "t"

// allowanceWith returns an allowance that holds some tokens of a budget of 1000.
func allowanceWith(node string, held int64) *account.Allowance {
	p := account.NewAllowance(node, node+"/1", account.DefaultTuning())
	p.Budget(map[string]int64{tenant: 1000})
	p.Apply(account.Ledger{Accounts: []account.Account{{Tenant: tenant, Rows: []account.Row{{Node: node, Incarnation: node + "/1", Drawn: held}}}}}, 1)
	return p
}

func TestGrantIsDeductedAndCreditedOnce(t *testing.T) {
	now := time.Now()
	giver, taker := allowanceWith("a", 100), allowanceWith("b", 0)
	from, to := newTransfers(giver), newTransfers(taker)
	request := transferRequest{ID: "id", Tenant: tenant, Need: 30, Want: 30}
	to.open(request, "a", now)
	first := from.answer(request, now)
	again := from.answer(request, now)
	assert.Equal(t, grant{ID: "id", Tenant: tenant, Tokens: 30}, *first)
	assert.Equal(t, first, again, "a repeated request gets the same grant")
	assert.Equal(t, int64(70), giver.State(tenant).Free)
	to.receive(*first)
	to.receive(*again)
	assert.Equal(t, int64(30), taker.State(tenant).Free)
}

func TestUnrequestedGrantIsDropped(t *testing.T) {
	taker := allowanceWith("b", 0)
	newTransfers(taker).receive(grant{ID: "of an earlier incarnation", Tenant: tenant, Tokens: 30})
	assert.Equal(t, int64(0), taker.State(tenant).Free)
}

func TestGrantsAreBoundedByFreeTokens(t *testing.T) {
	cases := []struct {
		name       string
		need, want int64
		given      int64
	}{
		{"what is needed", 40, 40, 40},
		{"more, up to a half", 10, 500, 50},
		{"all, if the need is greater", 300, 900, 100},
		{"nothing for a negative need", -5, -5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			giver := allowanceWith("a", 100)
			g := newTransfers(giver).answer(transferRequest{ID: "id", Tenant: tenant, Need: c.need, Want: c.want}, time.Now())
			assert.Equal(t, c.given, g.Tokens)
			assert.Equal(t, 100-c.given, giver.State(tenant).Free)
		})
	}
}

func TestSourcesAreTheRichestRecentPeers(t *testing.T) {
	now := time.Now()
	l := newTransfers(allowanceWith("b", 0))
	l.record("poor", map[string]account.BudgetReport{tenant: {Free: 5}}, now)
	l.record("rich", map[string]account.BudgetReport{tenant: {Free: 50}}, now)
	l.record("silent", map[string]account.BudgetReport{tenant: {Free: 500}}, now.Add(-3*time.Second))
	l.record("other", map[string]account.BudgetReport{"another": {Free: 500}}, now)
	assert.Equal(t, []string{"rich", "poor"}, l.sources(tenant, now))
}

// An amount that was not found is not requested again at once, nor is a larger one. A smaller
// one is.
func TestUnmetAmountIsNotRequestedAtOnce(t *testing.T) {
	now := time.Now()
	l := newTransfers(allowanceWith("b", 0))
	l.recordUnmet(tenant, 100, now)
	cases := []struct {
		name   string
		tenant string
		tokens int64
		after  time.Duration
		unmet  bool
	}{
		{"the same", tenant, 100, 0, true},
		{"more", tenant, 200, 0, true},
		{"less", tenant, 99, 0, false},
		{"another tenant", "another", 100, 0, false},
		{"later", tenant, 100, unmetAge, false},
	}
	for _, c := range cases {
		assert.Equal(t, c.unmet, l.recentlyUnmet(c.tenant, c.tokens, now.Add(c.after)), c.name)
	}
}

// A grant whose datagram is lost was already deducted. It is requested again with the same id,
// until it arrives or the retries are used up.
func TestALostGrantIsRequestedAgain(t *testing.T) {
	now := time.Now()
	giver, taker := allowanceWith("a", 100), allowanceWith("b", 0)
	from, to := newTransfers(giver), newTransfers(taker)
	request := transferRequest{ID: "id", Tenant: tenant, Need: 30, Want: 30}
	to.open(request, "a", now)
	from.answer(request, now) // the answer is lost
	assert.Empty(t, to.overdue(now))
	now = now.Add(retryInterval)
	again := to.overdue(now)
	assert.Equal(t, map[string][]transferRequest{"a": {request}}, again)
	to.receive(*from.answer(again["a"][0], now))
	assert.Equal(t, int64(70), giver.State(tenant).Free)
	assert.Equal(t, int64(30), taker.State(tenant).Free)
	assert.Empty(t, to.overdue(now.Add(retryInterval)), "it has arrived")

	to.open(transferRequest{ID: "never", Tenant: tenant, Need: 1}, "gone", now)
	times := 0
	for range 100 {
		now = now.Add(retryInterval)
		times += len(to.overdue(now)["gone"])
	}
	assert.Equal(t, maxRepeats, times)
}

// listeningGossip returns the gossip of a member with a socket on loopback, which receives
// until the test ends.
func listeningGossip(t *testing.T, self Member, all []Member, held int64) *Gossip {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	g := gossipOf(self.Name, all)
	g.registry.self = self
	g.socket, g.address = socket, socket.LocalAddr().String()
	g.transfers = newTransfers(allowanceWith(self.Name, held))
	go g.listen()
	return g
}

// A node whose zone has no tokens of a customer left receives no reports of other zones. It
// finds their tokens through its zone's writers, which receive these reports and name the
// peers.
func TestTokensOfAnotherZoneAreFoundThroughAWriter(t *testing.T) {
	rich := listeningGossip(t, Member{Name: "rich", Zone: "b"}, nil, 100)
	writer := listeningGossip(t, Member{Name: "writer", Zone: "a"}, nil, 0)
	writer.transfers.record(rich.address, map[string]account.BudgetReport{tenant: {Free: 100}}, time.Now())
	members := []Member{{Name: "node", Zone: "a"}, {Name: "writer", Zone: "a", Address: writer.address}, {Name: "rich", Zone: "b", Address: rich.address}}
	cases := []struct {
		name    string
		writers map[string]bool
		found   bool
	}{
		{"through the zone's writer", map[string]bool{"writer": true, "rich": true}, true},
		{"no writer in the zone", map[string]bool{"rich": true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node := listeningGossip(t, members[0], members, 0)
			node.chosen = c.writers
			assert.Equal(t, c.found, node.Acquire(t.Context(), tenant, 30))
		})
	}
	assert.Equal(t, int64(70), rich.transfers.allowance.State(tenant).Free)
}
