package account

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestABookComesBackAsItWasStored(t *testing.T) {
	full := Book{Accounts: []Account{
		{Tenant: "a", ClosedDrawn: 5, ClosedSpent: 3, ClosedLent: -1, Rows: []Row{{Node: "n", Life: "l1", Drawn: 9, Spent: 4, Lent: 2}, {Node: "m", Life: "l2", Drawn: 1}}},
		{Tenant: "b", Rows: []Row{{Node: "n", Life: "l1", Drawn: 7}}},
		{Tenant: "c"},
	}}
	silent := Book{Accounts: []Account{{Tenant: "a", Rows: []Row{{Node: "n", Life: "l1"}}}}}
	cases := []struct {
		name     string
		in, want Book
	}{
		{"empty", Book{}, Book{Accounts: []Account{}}},
		{"full", full, full},
		{"rows that say nothing", silent, Book{Accounts: []Account{{Tenant: "a"}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			data, err := json.Marshal(c.in)
			require.NoError(t, err)
			var got Book
			require.NoError(t, json.Unmarshal(data, &got))
			assert.Equal(t, c.want, got)
		})
	}
}

func TestABookThatIsTornIsRefused(t *testing.T) {
	for _, data := range []string{
		`{"lives":[],"accounts":[{"t":"a","c":[0,0,0],"r":[[0,1,1,0]]}]}`,
		`{"lives":[["n","l"]],"accounts":[{"t":"a","c":[0,0,0],"r":[[-1,1,1,0]]}]}`,
		`{"accounts":5}`,
		`[]`,
	} {
		var b Book
		assert.Error(t, json.Unmarshal([]byte(data), &b), data)
	}
}

// The size of a book decides how often writers collide: some 25 bytes a row.
func TestABookIsSmall(t *testing.T) {
	b := Book{}
	for i := range 24 {
		a := Account{Tenant: fmt.Sprint("tenant", i)}
		for n := range 16 {
			a.Rows = append(a.Rows, Row{Node: fmt.Sprint("edge-zone-", n), Life: "4e6562df-87ec-4098-b210-0ec94e3290ce", Drawn: 1_234_567, Spent: 987_654, Lent: 54_321})
		}
		b = b.WithAccount(a)
	}
	data, err := json.Marshal(b)
	require.NoError(t, err)
	assert.Less(t, len(data), 14_000)
}

func FuzzBook(f *testing.F) {
	f.Add([]byte(`{"lives":[["n","l"]],"accounts":[{"t":"a","c":[1,2,3],"r":[[0,4,5,6]]}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var b Book
		if json.Unmarshal(data, &b) != nil {
			return
		}
		again, err := json.Marshal(b)
		require.NoError(t, err)
		var second Book
		require.NoError(t, json.Unmarshal(again, &second))
		for _, a := range b.Accounts {
			_ = a.Pool(1000)
		}
		third, err := json.Marshal(second)
		require.NoError(t, err)
		assert.Equal(t, string(again), string(third))
	})
}
