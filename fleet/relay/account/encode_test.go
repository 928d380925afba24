package account

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLedgerRoundTrip(t *testing.T) {
	full := Ledger{Accounts: []Account{
		{Tenant: "a", ClosedDrawn: 5, ClosedSpent: 3, ClosedGranted: -1, Rows: []Row{{Node: "n", Incarnation: "l1", Drawn: 9, Spent: 4, Granted: 2}, {Node: "m", Incarnation: "l2", Drawn: 1}}},
		{Tenant: "b", Rows: []Row{{Node: "n", Incarnation: "l1", Drawn: 7}}},
		{Tenant: "c"},
	}}
	empty := Ledger{Accounts: []Account{{Tenant: "a", Rows: []Row{{Node: "n", Incarnation: "l1"}}}}}
	cases := []struct {
		name     string
		in, want Ledger
	}{
		{"empty", Ledger{}, Ledger{Accounts: []Account{}}},
		{"full", full, full},
		{"empty rows", empty, Ledger{Accounts: []Account{{Tenant: "a"}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			data, err := json.Marshal(c.in)
			require.NoError(t, err)
			var got Ledger
			require.NoError(t, json.Unmarshal(data, &got))
			assert.Equal(t, c.want, got)
		})
	}
}

func TestInvalidLedgerIsRejected(t *testing.T) {
	for _, data := range []string{
		`{"lives":[],"accounts":[{"t":"a","c":[0,0,0],"r":[[0,1,1,0]]}]}`,
		`{"lives":[["n","l"]],"accounts":[{"t":"a","c":[0,0,0],"r":[[-1,1,1,0]]}]}`,
		`{"accounts":5}`,
		`{}`,
		`null`,
		`7`,
		`{"lives":[],"accounts":null}`,
		`{"lives":[],"accounts":[{"t":"a","c":[-1,0,0]}]}`,
		`{"lives":[],"accounts":[{"t":"a","c":[5,-1,0]}]}`,
		`{"lives":[],"accounts":[{"t":"a","c":["5",0,0]}]}`,
		`{"lives":[],"accounts":[{"t":"a","c":[9000000000000000000,0,0]}]}`,
		`{"lives":[],"accounts":[{"t":"a","c":[5,0,-9223372036854775808]}]}`,
		`{"lives":[],"accounts":[{"t":"a","c":[5,0,0]},{"t":"a","c":[0,0,0]}]}`,
		`{"lives":[["n","l"]],"accounts":[{"t":"a","c":[5,0,0],"r":[[0,-6,0,0]]}]}`,
		`{"lives":[["n","l"]],"accounts":[{"t":"a","c":[5,0,0],"r":[[0,6,-1,0]]}]}`,
		`{"lives":[["n","l"]],"accounts":[{"t":"a","c":[5,0,0],"r":[[0,9000000000000000000,0,0]]}]}`,
		`[]`,
	} {
		var ledger Ledger
		assert.Error(t, json.Unmarshal([]byte(data), &ledger), data)
	}
}

// Guards against taking a ledger that lost accounts or spending for a later one, and against
// rejecting negative amounts drawn, which incarnations leave that received grants.
func TestFollowsRejectsLostSpending(t *testing.T) {
	read := func(text string) Ledger {
		var ledger Ledger
		require.NoError(t, json.Unmarshal([]byte(text), &ledger))
		return ledger
	}
	before := read(`{"lives":[["n","l"],["m","k"]],"accounts":[{"t":"a","c":[100,50,0],"r":[[0,900,30,600],[1,-400,20,-500]]}]}`)
	cases := []struct {
		name, after string
		later       bool
	}{
		{"the same", `{"lives":[["n","l"],["m","k"]],"accounts":[{"t":"a","c":[100,50,0],"r":[[0,900,30,600],[1,-400,20,-500]]}]}`, true},
		{"an incarnation that received grants ended", `{"lives":[["n","l"]],"accounts":[{"t":"a","c":[-300,70,-500],"r":[[0,900,30,600]]}]}`, true},
		{"less spent", `{"lives":[["n","l"],["m","k"]],"accounts":[{"t":"a","c":[100,50,0],"r":[[0,900,30,600],[1,-400,0,-500]]}]}`, false},
		{"a row is missing", `{"lives":[["n","l"]],"accounts":[{"t":"a","c":[100,50,0],"r":[[0,900,30,600]]}]}`, false},
		{"the account is missing", `{"lives":[],"accounts":[]}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.later, read(c.after).Follows(before) == nil) })
	}
}

// Guards against large ledgers, whose writers collide more often: some 25 bytes a row.
func TestLedgerIsSmall(t *testing.T) {
	ledger := Ledger{}
	for i := range 24 {
		a := Account{Tenant: fmt.Sprint("tenant", i)}
		for n := range 16 {
			a.Rows = append(a.Rows, Row{Node: fmt.Sprint("edge-zone-", n), Incarnation: "4e6562df-87ec-4098-b210-0ec94e3290ce", Drawn: 1_234_567, Spent: 987_654, Granted: 54_321})
		}
		ledger = ledger.WithAccount(a)
	}
	data, err := json.Marshal(ledger)
	require.NoError(t, err)
	assert.Less(t, len(data), 14_000)
}

func FuzzLedger(f *testing.F) {
	f.Add([]byte(`{"lives":[["n","l"]],"accounts":[{"t":"a","c":[1,2,3],"r":[[0,4,5,6]]}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var ledger Ledger
		if json.Unmarshal(data, &ledger) != nil {
			return
		}
		again, err := json.Marshal(ledger)
		require.NoError(t, err)
		var second Ledger
		require.NoError(t, json.Unmarshal(again, &second))
		for _, a := range ledger.Accounts {
			_ = a.Pool(1000)
		}
		third, err := json.Marshal(second)
		require.NoError(t, err)
		assert.Equal(t, string(again), string(third))
	})
}
