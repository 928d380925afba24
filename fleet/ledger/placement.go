package ledger

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// idleShare is the part of the mean demand that a holder without demand counts for,
// so that a zone that is cut off before its first request can serve some.
const idleShare = 0.25

// returnSlack is how far a holding may exceed its planned share before the rest
// is returned, as a part of the share. It keeps holdings from moving to and fro.
const returnSlack = 0.05

// share is a holder's claim on the tokens that are free.
type share struct {
	holder ident.Incarnation
	weight float64
	lump   int64
}

// Desired is what a holder should hold: what it has settled and reserved, and a
// share of the free tokens that evens out the time to exhaustion between holders.
//
// Near the end, shares too small for a typical request go to the holders with
// the most demand instead of lying idle.
func (b Budget) Desired(h ident.Incarnation) int64 {
	a, ok := b.Account(h)
	if !ok {
		return 0
	}
	used := b.Closed + lo.SumBy(b.Accounts, func(a Account) int64 { return a.Settled + a.Reserved })
	free := max(0, b.Ceiling()-used)
	return a.Settled + a.Reserved + shareOf(h, free, b.shares())
}

// Surplus is how much of what a holder counts as held it should return, at most
// what it can spend freely. While a lowered limit waits, nothing is kept as slack.
func (b Budget) Surplus(h ident.Incarnation, held, spendable int64) int64 {
	a, _ := b.Account(h)
	desired := b.Desired(h)
	slack := int64(returnSlack * float64(max(0, desired-a.Settled-a.Reserved)))
	if b.Pool() < 0 {
		slack = 0
	}
	if held-desired <= slack {
		return 0
	}
	return max(0, min(held-desired, spendable))
}

func (b Budget) shares() []share {
	total := lo.SumBy(b.Accounts, func(a Account) float64 { return a.Rate })
	floor := 1.0
	if total > 0 {
		floor = idleShare * total / float64(len(b.Accounts))
	}
	live := lo.Filter(b.Accounts, func(a Account, _ int) bool { return !a.Frozen })
	shares := lo.Map(live, func(a Account, _ int) share {
		return share{holder: a.Holder, weight: a.Rate + floor, lump: a.Lump}
	})
	slices.SortStableFunc(shares, func(x, y share) int {
		return lo.Ternary(x.weight > y.weight, -1, lo.Ternary(x.weight < y.weight, 1, 0))
	})
	return shares
}

// shareOf drops the holders of least weight while their part would not cover a typical request.
func shareOf(h ident.Incarnation, free int64, shares []share) int64 {
	for len(shares) > 1 {
		last := shares[len(shares)-1]
		if part(free, last, shares) >= last.lump {
			break
		}
		shares = shares[:len(shares)-1]
	}
	s, ok := lo.Find(shares, func(s share) bool { return s.holder == h })
	if !ok {
		return 0
	}
	return part(free, s, shares)
}

func part(free int64, s share, shares []share) int64 {
	total := lo.SumBy(shares, func(s share) float64 { return s.weight })
	return int64(float64(free) * s.weight / total)
}
