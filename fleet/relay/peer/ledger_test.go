package peer

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// A node about to write the ledger fetches a newer one from the peer that announced it. A peer
// that does not return it is not asked again.
func TestNewerLedgerIsFetchedFromItsAnnouncer(t *testing.T) {
	own := store.NewCache()
	server := httptest.NewServer(CacheHandler(map[string]*store.Cache{account.Kind: own}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	ledger := store.Object{Kind: account.Kind, Name: "ledger", Revision: 7, Data: []byte(`{}`)}
	cases := []struct {
		name      string
		announced []store.Revision // in order of arrival
		holds     bool             // the peer has the ledger
		since     store.Revision
		found     bool
		again     bool // the peer would be asked again
	}{
		{"none announced", nil, true, 3, false, false},
		{"a newer one", []store.Revision{7}, true, 3, true, true},
		{"datagrams out of order", []store.Revision{7, 5}, true, 3, true, true},
		{"not newer than this node's", []store.Revision{7}, true, 7, false, true},
		{"the peer has none", []store.Revision{7}, false, 3, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			own.Apply(store.Lost{}, store.FromOther)
			if c.holds {
				own.Apply(store.Snapshot{Objects: []store.Object{ledger}, Revision: 7}, store.FromStore)
			}
			g := gossipOf("n", nil)
			g.client, g.busy, g.ledgers = sourceClient(notBusy), notBusy, &ledgers{own: store.NewCache()}
			for _, revision := range c.announced {
				g.receive(message{Node: "peer", Ledger: revision.Number()}, address)
			}
			o, found := g.Newer(t.Context(), c.since)
			require.Equal(t, c.found, found)
			if found {
				assert.Equal(t, ledger, o)
			}
			assert.Equal(t, c.again, g.ledgers.newer(0) != "")
		})
	}
}
