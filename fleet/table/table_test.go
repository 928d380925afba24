package table_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/table"
)

func base(t *testing.T) table.Table {
	t.Helper()
	next, faults := table.New().Apply([]table.Edit{
		{Kind: table.Customer, Name: "acme", Cells: table.Cells{"weight": "2"}},
		{Kind: table.Service, Name: "suggest", Cells: table.Cells{"type": "model", "priority": "interactive"}},
		{Kind: table.Budget, Name: "acme-main", Cells: table.Cells{"customer": "acme", "services": "*", "limitTokens": "1000"}},
	})
	require.Empty(t, faults)
	return next
}

func TestApplyRefuses(t *testing.T) {
	cases := []struct {
		name string
		edit table.Edit
		want string
	}{
		{"unknown kind", table.Edit{Kind: "planet", Name: "x"}, "the kind is one of"},
		{"unknown column", table.Edit{Kind: table.Customer, Name: "b", Cells: table.Cells{"colour": "red"}}, "no such column"},
		{"negative limit", table.Edit{Kind: table.Budget, Name: "acme-main", Version: 1, Cells: table.Cells{"limitTokens": "-5"}}, "whole number"},
		{"huge limit", table.Edit{Kind: table.Budget, Name: "acme-main", Version: 1, Cells: table.Cells{"limitTokens": "99999999999999999999"}}, "whole number"},
		{"bad utf-8", table.Edit{Kind: table.Customer, Name: "b", Cells: table.Cells{"note": "\xff"}}, "UTF-8"},
		{"missing cell", table.Edit{Kind: table.Budget, Name: "b", Cells: table.Cells{"customer": "acme"}}, "must be set"},
		{"name of no row", table.Edit{Kind: table.Budget, Name: "b", Cells: table.Cells{"customer": "ghost", "limitTokens": "1"}}, `no customer "ghost"`},
		{"fixed cell", table.Edit{Kind: table.Budget, Name: "acme-main", Version: 1, Cells: table.Cells{"customer": "other"}}, "can't change"},
		{"row named by another", table.Edit{Kind: table.Customer, Name: "acme", Version: 1, Delete: true}, `no customer "acme"`},
		{"no such row", table.Edit{Kind: table.Customer, Name: "b", Version: 3, Cells: table.Cells{"weight": "1"}}, "does not exist"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := base(t)
			after, faults := before.Apply([]table.Edit{c.edit})
			require.NotEmpty(t, faults)
			assert.Contains(t, faults.Error(), c.want)
			assert.Equal(t, before.Rows(""), after.Rows(""))
		})
	}
}

// Two operators edit a row from the same version. Changes of different cells must both be kept,
// and changes of the same cell must conflict.
func TestConcurrentEditsMergeByCell(t *testing.T) {
	start := base(t)
	first, faults := start.Apply([]table.Edit{{Kind: table.Budget, Name: "acme-main", Version: 1, Cells: table.Cells{"limitTokens": "2000"}}})
	require.Empty(t, faults)
	both, faults := first.Apply([]table.Edit{{Kind: table.Budget, Name: "acme-main", Version: 1, Cells: table.Cells{"note": "spring"}}})
	require.Empty(t, faults, "a change of another cell of the row is no conflict")
	row, _ := both.Get(table.ID{Kind: table.Budget, Name: "acme-main"})
	assert.Equal(t, "2000", row.Cells["limitTokens"])
	assert.Equal(t, "spring", row.Cells["note"])

	_, faults = both.Apply([]table.Edit{{Kind: table.Budget, Name: "acme-main", Version: 1, Cells: table.Cells{"limitTokens": "3000"}}})
	require.True(t, faults.Conflict())
	assert.Equal(t, "2000", faults[0].Current)
	assert.Equal(t, "3000", faults[0].Value)
}

func TestCSVRoundTrip(t *testing.T) {
	start := base(t)
	var out bytes.Buffer
	require.NoError(t, table.WriteCSV(&out, start.Rows("")))
	edits, err := table.ReadCSV(&out)
	require.NoError(t, err)
	after, faults := start.Apply(edits)
	require.Empty(t, faults)
	for _, r := range start.Rows("") {
		got, ok := after.Get(r.ID())
		require.True(t, ok)
		assert.Equal(t, r.Cells, got.Cells)
	}
}

func TestApplyRefusesDuplicateRows(t *testing.T) {
	csv := "kind,name,version,weight\ncustomer,x,,1\ncustomer,x,,2\n"
	edits, err := table.ReadCSV(strings.NewReader(csv))
	require.NoError(t, err)
	_, faults := table.New().Apply(edits)
	require.NotEmpty(t, faults)
	assert.Contains(t, faults.Error(), "twice")
}

func FuzzReadCSV(f *testing.F) {
	f.Add("kind,name,version,weight\ncustomer,a,,1\n")
	f.Add("kind,name,version\nbudget,\"a\n")
	f.Add("kind,name,version,limitTokens\nbudget,b,9999999999999999999999,1\n")
	f.Fuzz(func(t *testing.T, text string) {
		edits, err := table.ReadCSV(strings.NewReader(text))
		if err != nil {
			return
		}
		next, faults := table.New().Apply(edits)
		if len(faults) == 0 && len(next.Rows("")) > len(edits) {
			t.Fatal("more rows than edits")
		}
	})
}
