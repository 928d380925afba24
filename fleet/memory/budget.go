// Package memory bounds the memory that a node holds for its callers, and for answers while they are read.
// What a caller has not finished to send, or does not read, gives way to the calls of others. What still does
// not fit is refused, instead of the process being killed together with all its calls.
package memory

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	largeOwner   = 0.5                   // share of the budget from which an owner leaves the rest to others
	othersShare  = 1.0 / 8               // of the budget, which an owner of that size may not take
	evictedExtra = 1.0 / 32              // of the budget, freed beyond what is needed, so that evictions are rare
	barrenFor    = 20 * time.Millisecond // after a search that found no lease to evict, until the next one
)

// Budget bounds the total memory that is held. A budget without a bound only counts. It is safe for
// concurrent use.
type Budget struct {
	bound int64 // bytes; 0: unbounded

	mu       sync.Mutex
	held     int64            // bytes
	peak     int64            // bytes
	rejected int64            // failed calls of Take
	evicted  int64            // leases
	owners   map[string]int64 // bytes held by owner
	leases   map[*Lease]struct{}
	barren   time.Time // last search that found no lease to evict
}

// NewBudget returns a budget with a bound in bytes; 0 means unbounded.
func NewBudget(bytes int64) *Budget {
	return &Budget{bound: bytes, owners: map[string]int64{}, leases: map[*Lease]struct{}{}}
}

// Share returns a share of the bound in bytes.
func (b *Budget) Share(of float64) int64 {
	if b.bound <= 0 {
		return math.MaxInt64
	}
	return int64(of * float64(b.bound))
}

// Take reserves bytes without a lease, or returns false if they do not fit.
func (b *Budget) Take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take("", bytes)
}

// Release releases bytes that were taken without a lease.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release("", bytes)
}

// take reserves bytes for an owner, and evicts leases if they do not fit otherwise.
func (b *Budget) take(owner string, bytes int64) bool {
	if !b.fits(owner, bytes) && !b.makeRoom(owner, bytes) {
		b.rejected++
		return false
	}
	b.hold(owner, bytes)
	return true
}

func (b *Budget) hold(owner string, bytes int64) {
	b.held += bytes
	b.owners[owner] += bytes
	b.peak = max(b.peak, b.held)
}

func (b *Budget) release(owner string, bytes int64) {
	b.held -= bytes
	if b.owners[owner] -= bytes; b.owners[owner] <= 0 {
		delete(b.owners, owner)
	}
}

// fits reports whether an owner may take bytes. A known one that holds most of the budget leaves a part of
// it to others.
func (b *Budget) fits(owner string, bytes int64) bool {
	if b.bound <= 0 {
		return true
	}
	bound := b.bound
	if owner != "" && float64(b.owners[owner]+bytes) > largeOwner*float64(b.bound) {
		bound -= int64(othersShare * float64(b.bound))
	}
	return b.held+bytes <= bound
}

// waiting is a lease that may be evicted.
type waiting struct {
	lease *Lease
	since time.Time
}

// makeRoom evicts leases until an owner may take bytes, and reports whether it may: of the owner whose
// evictable leases hold the most, the one that has waited longest, and so on.
func (b *Budget) makeRoom(owner string, bytes int64) bool {
	now := time.Now()
	if bytes > b.bound || now.Sub(b.barren) < barrenFor {
		return false
	}
	byOwner := b.evictable(now)
	if len(byOwner) == 0 {
		b.barren = now
	}
	extra := int64(evictedExtra * float64(b.bound))
	for len(byOwner) > 0 && !b.fits(owner, bytes+extra) {
		heaviest := heaviestOf(byOwner)
		queue := byOwner[heaviest]
		if byOwner[heaviest] = queue[1:]; len(queue) == 1 {
			delete(byOwner, heaviest)
		}
		b.evict(queue[0].lease)
	}
	return b.fits(owner, bytes)
}

// evictable returns the leases that may be evicted, by owner, the one that has waited longest first.
func (b *Budget) evictable(now time.Time) map[string][]waiting {
	byOwner := map[string][]waiting{}
	for l := range b.leases {
		if since, ok := l.waitsSince(now); ok {
			byOwner[l.owner] = append(byOwner[l.owner], waiting{l, since})
		}
	}
	for _, queue := range byOwner {
		slices.SortFunc(queue, func(x, y waiting) int { return x.since.Compare(y.since) })
	}
	return byOwner
}

// heaviestOf returns the owner whose leases hold the most; of those that hold as much, the first by name.
func heaviestOf(byOwner map[string][]waiting) string {
	heaviest, most := "", int64(-1)
	for owner, queue := range byOwner {
		held := int64(0)
		for _, w := range queue {
			held += w.lease.bytes
		}
		if held > most || held == most && cmp.Less(owner, heaviest) {
			heaviest, most = owner, held
		}
	}
	return heaviest
}

// evict ends a lease if its holder still waits. Its memory counts as released from then on.
func (b *Budget) evict(l *Lease) {
	if !l.holder.Evict() {
		return
	}
	b.evicted++
	b.end(l)
}

// end releases what a lease holds, for good.
func (b *Budget) end(l *Lease) {
	if l.ended {
		return
	}
	b.release(l.owner, l.bytes)
	l.bytes, l.ended = 0, true
	delete(b.leases, l)
}

// State is a snapshot of a budget.
type State struct {
	Bound, Held, Peak int64 // bytes
	Rejected          int64 // failed calls of Take
	Evicted           int64 // leases
	Waiting           int64 // leases that may be evicted now
	WaitingBytes      int64 // that they hold
}

// State returns the budget's state, for metrics.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Bound: b.bound, Held: b.held, Peak: b.peak, Rejected: b.rejected, Evicted: b.evicted}
	now := time.Now()
	for l := range b.leases {
		if _, waits := l.waitsSince(now); waits {
			s.Waiting++
			s.WaitingBytes += l.bytes
		}
	}
	return s
}

// Share is the memory that is held for one owner.
type Share struct {
	Owner string `json:"customer"` // "": not known yet, or anyone
	Bytes int64  `json:"bytes"`
}

// Shares returns what is held for each owner, the largest first.
func (b *Budget) Shares() []Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	shares := make([]Share, 0, len(b.owners))
	for owner, bytes := range b.owners {
		shares = append(shares, Share{owner, bytes})
	}
	slices.SortFunc(shares, func(x, y Share) int {
		return cmp.Or(cmp.Compare(y.Bytes, x.Bytes), cmp.Compare(x.Owner, y.Owner))
	})
	return shares
}
