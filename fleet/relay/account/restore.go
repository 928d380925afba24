package account

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// The store may be restored from a backup. The ledger then lacks what was drawn after the backup was
// made, although it is spent or held. Each node writes back what it knows, and no node draws
// until the others have had time to do so.

// Origin is where in the store's history a ledger was written.
type Origin struct {
	Recorded bool           // false: written by an earlier build, which does not record an origin
	Era      int64          // era in which it was written
	Base     store.Revision // of the newest ledger of an earlier era that it includes; 0: none
}

// fromBackup reports whether a ledger of this origin, held by the store at a revision, was written
// before the store was restored from a backup.
func (o Origin) fromBackup(at store.Revision) bool { return o.Recorded && o.Era < at.Era() }

// in returns the origin of a ledger that replaces the one at a revision.
func (o Origin) in(at store.Revision) Origin {
	if o.fromBackup(at) {
		o.Base = max(o.Base, store.At(o.Era, at.Number()))
	}
	o.Recorded, o.Era = true, at.Era()
	return o
}

// KnownLedger is the newest ledger of an era that a node has read.
type KnownLedger struct {
	Ledger   Ledger
	Revision store.Revision
}

// Includes reports whether a ledger at a revision of a later era contains everything in a known
// ledger of an earlier era.
func (l Ledger) Includes(known KnownLedger, at store.Revision) bool {
	switch o := l.Origin; {
	case !o.Recorded:
		return false
	case o.Era == known.Revision.Era() && o.Era < at.Era(): // it is the backup itself
		return known.Revision.Number() <= at.Number()
	default:
		return o.Base.Era() == known.Revision.Era() && known.Revision <= o.Base
	}
}

// Merge returns the ledger that the store holds at a revision, merged with what a node knew of an
// earlier era. What was written before the backup was made is the same in both. Rows written since
// may be counted twice, but none is omitted.
func (l Ledger) Merge(known KnownLedger, at store.Revision) Ledger {
	if l.Includes(known, at) {
		return l
	}
	base := max(known.Revision, l.Origin.Base)
	if l.Origin.fromBackup(at) && l.Origin.Era <= known.Revision.Era() { // all that the backup holds was known
		l = known.Ledger
	} else {
		l = l.union(known.Ledger)
	}
	l.Origin = Origin{Recorded: true, Era: at.Era(), Base: base}
	return l
}

// assumedBackupAge is the assumed age of a backup from which the store is restored.
const assumedBackupAge = 6 * time.Second

// WithUnclaimed returns a ledger that comes from a backup and that no node has written back, with what
// may have been drawn since the backup counted as lost.
func (l Ledger) WithUnclaimed(t Tuning) Ledger {
	for _, a := range l.Accounts {
		if lost := a.drawnSince(assumedBackupAge, t.Horizon); lost > 0 {
			a.ClosedDrawn = min(a.ClosedDrawn+lost, maxTokens) // nodes reject a ledger with more
			l = l.WithAccount(a)
		}
	}
	return l
}

// drawnSince returns how much more all nodes may have drawn some time later: what callers spend in
// that time, and the growth of holdings until they last for the horizon.
func (a Account) drawnSince(age, horizon time.Duration) int64 {
	rate := float64(a.Rate)
	grown := max(rate*horizon.Seconds()-float64(a.held()), 0)
	return int64(rate*age.Seconds() + grown)
}

// union merges two ledgers; the larger amount wins in each place.
func (l Ledger) union(other Ledger) Ledger {
	for _, a := range other.Accounts {
		l = l.WithAccount(l.Account(a.Tenant).union(a))
	}
	return l
}

func (a Account) union(other Account) Account {
	a.ClosedDrawn, a.ClosedSpent = max(a.ClosedDrawn, other.ClosedDrawn), max(a.ClosedSpent, other.ClosedSpent)
	a.ClosedGranted = max(a.ClosedGranted, other.ClosedGranted)
	for _, r := range other.Rows {
		if own, ok := a.Row(r.Incarnation); ok {
			r.Drawn = max(r.Drawn, own.Drawn)
			if own.Spent > r.Spent {
				r.Spent, r.Granted = own.Spent, own.Granted
			}
		}
		a = a.WithRow(r)
	}
	return a
}

// WithLimits returns the ledger with the rows of an incarnation set to what it may spend, by tenant.
// A row from before it gave tokens back would let it spend them again.
func (l Ledger) WithLimits(node, incarnation string, limits map[string]int64) Ledger {
	for _, tenant := range slices.Sorted(slices.Values(lo.Keys(limits))) {
		a := l.Account(tenant)
		row, known := a.Row(incarnation)
		if row.shows(limits[tenant], known) {
			continue
		}
		row.Node, row.Incarnation, row.Drawn = node, incarnation, limits[tenant]
		l = l.WithAccount(a.WithRow(row))
	}
	return l
}

// shows reports whether a row shows the limit of its incarnation. A missing row shows a limit of 0.
func (r Row) shows(limit int64, known bool) bool {
	return known && r.Drawn == limit || !known && limit <= 0
}

// Limits returns what this incarnation may spend of each budget, by what it has drawn.
func (p *Allowance) Limits() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.MapValues(lo.PickBy(p.quotas, func(_ string, q *quota) bool { return !q.closed }), func(q *quota, _ string) int64 { return q.limit })
}
