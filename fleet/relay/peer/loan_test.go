package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
)

const tenant = "t"

// purseWith returns a purse that holds so many tokens of a budget of 1000.
func purseWith(node string, held int64) *account.Purse {
	p := account.NewPurse(node, node+"/1", account.DefaultTuning())
	p.Budget(map[string]int64{tenant: 1000})
	p.Saw(account.Book{Accounts: []account.Account{{Tenant: tenant, Rows: []account.Row{{Node: node, Life: node + "/1", Drawn: held}}}}}, 1)
	return p
}

func TestGiftIsCountedOutAndInOnce(t *testing.T) {
	now := time.Now()
	giver, taker := purseWith("a", 100), purseWith("b", 0)
	from, to := newLoans(giver), newLoans(taker)
	wish := ask{ID: "id", Tenant: tenant, Need: 30, Want: 30}
	to.open(wish, "a", now)
	first := from.answer(wish, now)
	again := from.answer(wish, now)
	assert.Equal(t, gift{ID: "id", Tenant: tenant, Tokens: 30}, *first)
	assert.Equal(t, first, again, "an ask that comes again gets the same gift")
	assert.Equal(t, int64(70), giver.State(tenant).Free)
	to.arrived(*first)
	to.arrived(*again)
	assert.Equal(t, int64(30), taker.State(tenant).Free)
}

func TestGiftThatNobodyAskedForIsDropped(t *testing.T) {
	taker := purseWith("b", 0)
	newLoans(taker).arrived(gift{ID: "of an earlier life", Tenant: tenant, Tokens: 30})
	assert.Equal(t, int64(0), taker.State(tenant).Free)
}

func TestGiftsAreBoundedByWhatIsFree(t *testing.T) {
	cases := []struct {
		name       string
		need, want int64
		given      int64
	}{
		{"what is needed", 40, 40, 40},
		{"more, up to a half", 10, 500, 50},
		{"all, where need is more", 300, 900, 100},
		{"nothing for a need below nothing", -5, -5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			giver := purseWith("a", 100)
			g := newLoans(giver).answer(ask{ID: "id", Tenant: tenant, Need: c.need, Want: c.want}, time.Now())
			assert.Equal(t, c.given, g.Tokens)
			assert.Equal(t, 100-c.given, giver.State(tenant).Free)
		})
	}
}

func TestLendersAreTheRichestThatWereHeardOfLately(t *testing.T) {
	now := time.Now()
	l := newLoans(purseWith("b", 0))
	l.told("poor", map[string]account.Offer{tenant: {Free: 5}}, now)
	l.told("rich", map[string]account.Offer{tenant: {Free: 50}}, now)
	l.told("silent", map[string]account.Offer{tenant: {Free: 500}}, now.Add(-3*time.Second))
	l.told("other", map[string]account.Offer{"another": {Free: 500}}, now)
	assert.Equal(t, []string{"rich", "poor"}, l.lenders(tenant, 1, now))
}

// A gift whose datagram is lost was counted out: it is asked for again, with the
// same id, until it has come or too long has passed.
func TestALostGiftIsAskedForAgain(t *testing.T) {
	now := time.Now()
	giver, taker := purseWith("a", 100), purseWith("b", 0)
	from, to := newLoans(giver), newLoans(taker)
	wish := ask{ID: "id", Tenant: tenant, Need: 30, Want: 30}
	to.open(wish, "a", now)
	from.answer(wish, now) // and the answer is lost
	assert.Empty(t, to.overdue(now))
	now = now.Add(giftPause)
	again := to.overdue(now)
	assert.Equal(t, map[string][]ask{"a": {wish}}, again)
	to.arrived(*from.answer(again["a"][0], now))
	assert.Equal(t, int64(70), giver.State(tenant).Free)
	assert.Equal(t, int64(30), taker.State(tenant).Free)
	assert.Empty(t, to.overdue(now.Add(giftPause)), "it has come")

	to.open(ask{ID: "never", Tenant: tenant, Need: 1}, "gone", now)
	times := 0
	for range 100 {
		now = now.Add(giftPause)
		times += len(to.overdue(now)["gone"])
	}
	assert.Equal(t, giftRepeats, times)
}
