package ledger

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// idleShare is the fraction of the mean demand that a holder without demand is credited with,
// so that a zone which becomes unreachable before its first request can serve some.
const idleShare = 0.25

// returnSlack is the fraction by which a holding may exceed its planned share before the
// excess is returned. It keeps tokens from moving back and forth.
const returnSlack = 0.05

// share is a holder's claim on the tokens that are free.
type share struct {
	holder ident.Incarnation
	weight float64
	size   int64
}

// Desired returns the tokens that a holder should hold: those it has settled and reserved,
// and a share of the free tokens that equalizes the time to exhaustion between holders.
//
// Near exhaustion, shares too small for a typical request go to the holders with
// the highest demand instead of staying unused.
func (b Budget) Desired(h ident.Incarnation) int64 {
	a, ok := b.Account(h)
	if !ok {
		return 0
	}
	used := b.Closed + lo.SumBy(b.Accounts, func(a Account) int64 { return a.Settled + a.Reserved })
	free := max(0, b.Ceiling()-used)
	return a.Settled + a.Reserved + shareOf(h, free, b.shares())
}

// Surplus returns how many of its held tokens a holder should return, at most its
// spendable tokens. No slack is allowed while a lowered limit is pending.
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

// shares returns the claims of the holders that are not frozen, the largest weight first.
func (b Budget) shares() []share {
	total := lo.SumBy(b.Accounts, func(a Account) float64 { return a.Rate })
	floor := 1.0
	if total > 0 {
		floor = idleShare * total / float64(len(b.Accounts))
	}
	live := lo.Filter(b.Accounts, func(a Account, _ int) bool { return !a.Frozen })
	shares := lo.Map(live, func(a Account, _ int) share {
		return share{holder: a.Holder, weight: a.Rate + floor, size: a.ReservationSize}
	})
	slices.SortStableFunc(shares, func(x, y share) int {
		return lo.Ternary(x.weight > y.weight, -1, lo.Ternary(x.weight < y.weight, 1, 0))
	})
	return shares
}

// shareOf returns a holder's share of the free tokens. It leaves out the holders with the least
// weight while their share would not cover a typical request.
func shareOf(h ident.Incarnation, free int64, shares []share) int64 {
	for len(shares) > 1 {
		last := shares[len(shares)-1]
		if tokensOf(free, last, shares) >= last.size {
			break
		}
		shares = shares[:len(shares)-1]
	}
	s, ok := lo.Find(shares, func(s share) bool { return s.holder == h })
	if !ok {
		return 0
	}
	return tokensOf(free, s, shares)
}

// tokensOf returns the free tokens in proportion to the weight of one share.
func tokensOf(free int64, s share, shares []share) int64 {
	total := lo.SumBy(shares, func(s share) float64 { return s.weight })
	return int64(float64(free) * s.weight / total)
}
