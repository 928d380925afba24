// Package account enforces prepaid budgets on nodes without persistent state. A ledger in
// the store records what each incarnation of a node has drawn, an allowance on the node
// records what it has spent of that, and a syncer moves tokens between the two.
//
// What an incarnation has drawn and not given back counts as spent forever, so that no loss
// of nodes, however many at once, lets a budget be exceeded.
package account

import (
	"slices"

	"github.com/samber/lo"
)

// Ledger is the stored state of all budgets. It is an immutable value; all amounts are tokens.
type Ledger struct {
	Accounts []Account
	Origin   Origin // where in the store's history it was written
}

// Account is the section of a ledger for one tenant.
type Account struct {
	Tenant        string
	ClosedDrawn   int64 // drawn by ended incarnations: spent forever
	ClosedSpent   int64 // share of ClosedDrawn they had reported as spent
	ClosedGranted int64 // tokens they had granted to other nodes, less those received
	Rate          int64 // demand on all nodes in tokens a second, as known to the last writer
	Rows          []Row
}

// Row is what one incarnation of a node has drawn. Only that incarnation writes it, until it
// has ended.
type Row struct {
	Node        string
	Incarnation string
	Drawn       int64
	Spent       int64 // as of the last report; at most Drawn
	Granted     int64 // granted to other nodes, less those received from them, as of the last report
}

// Account returns a tenant's account, or an empty one if there is none.
func (l Ledger) Account(tenant string) Account {
	a, ok := lo.Find(l.Accounts, func(a Account) bool { return a.Tenant == tenant })
	if !ok {
		return Account{Tenant: tenant}
	}
	return a
}

// WithAccount returns the ledger with one account replaced.
func (l Ledger) WithAccount(a Account) Ledger {
	accounts := slices.Clone(l.Accounts)
	i := slices.IndexFunc(accounts, func(x Account) bool { return x.Tenant == a.Tenant })
	if i < 0 {
		l.Accounts = append(accounts, a)
		return l
	}
	accounts[i] = a
	l.Accounts = accounts
	return l
}

// Row returns the row of an incarnation.
func (a Account) Row(incarnation string) (Row, bool) {
	return lo.Find(a.Rows, func(r Row) bool { return r.Incarnation == incarnation })
}

// WithRow returns the account with one row replaced or added.
func (a Account) WithRow(r Row) Account {
	rows := slices.Clone(a.Rows)
	i := slices.IndexFunc(rows, func(x Row) bool { return x.Incarnation == r.Incarnation })
	if i < 0 {
		rows = append(rows, r)
	} else {
		rows[i] = r
	}
	a.Rows = rows
	return a
}

// WithClosed returns the account with the rows of ended incarnations added to the closed
// amounts: all they had drawn counts as spent.
func (a Account) WithClosed(ended func(Row) bool) Account {
	rows := make([]Row, 0, len(a.Rows))
	for _, r := range a.Rows {
		if !ended(r) {
			rows = append(rows, r)
			continue
		}
		a.ClosedDrawn += r.Drawn
		a.ClosedSpent += r.Spent
		a.ClosedGranted += r.Granted
	}
	a.Rows = rows
	return a
}

// Drawn returns what was drawn and not given back.
func (a Account) Drawn() int64 {
	return a.ClosedDrawn + lo.SumBy(a.Rows, func(r Row) int64 { return r.Drawn })
}

// Spent returns what was reported as spent, which is at most what was really spent.
func (a Account) Spent() int64 {
	return a.ClosedSpent + lo.SumBy(a.Rows, func(r Row) int64 { return r.Spent })
}

// Remaining returns what can still be spent as far as the ledger shows: the pool and what
// running incarnations hold. What an ended incarnation had drawn beyond its spending is lost.
// Counting it as remaining would raise what nodes hold, and that could be lost in turn.
func (a Account) Remaining(prepaid int64) int64 {
	return a.Pool(prepaid) + a.held()
}

// held returns what incarnations still hold of what they have drawn, as far as reported.
func (a Account) held() int64 {
	return lo.SumBy(a.Rows, func(r Row) int64 { return max(r.Drawn-r.Spent-r.Granted, 0) })
}

// Pool returns what can still be drawn.
func (a Account) Pool(prepaid int64) int64 { return max(prepaid-a.Drawn(), 0) }
