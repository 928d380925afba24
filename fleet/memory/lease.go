package memory

import "time"

// Holder holds the memory of a lease. Its methods are called with the budget locked, and must not call
// the budget or its leases.
type Holder interface {
	// WaitsSince returns since when the memory is held only because a caller has not sent or read more.
	// It returns false if that is not so, or not for long enough.
	WaitsSince(now time.Time) (time.Time, bool)
	// Evict makes the holder give the memory up soon. It returns false if it no longer waits.
	Evict() bool
}

// Lease is the memory that is held for one caller. It is safe for concurrent use.
type Lease struct {
	budget *Budget
	holder Holder // nil: it is never evicted

	// The budget's lock guards the rest.
	owner string
	bytes int64
	ended bool // by End or by an eviction: it holds nothing any more
}

// Lease returns a lease of the budget that holds nothing yet. Its holder may be nil.
func (b *Budget) Lease(h Holder) *Lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &Lease{budget: b, holder: h}
	b.leases[l] = struct{}{}
	return l
}

// waitsSince returns since when the lease may be evicted, if it may. The budget's lock is held.
func (l *Lease) waitsSince(now time.Time) (time.Time, bool) {
	if l.holder == nil {
		return time.Time{}, false
	}
	return l.holder.WaitsSince(now)
}

// Take reserves more bytes. It returns false if they do not fit, or if the lease has ended.
func (l *Lease) Take(bytes int64) bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.ended || !l.budget.take(l.owner, bytes) {
		return false
	}
	if l.ended { // to make room for itself
		l.budget.release(l.owner, bytes)
		return false
	}
	l.bytes += bytes
	return true
}

// Add counts more bytes that are held already, and evicts other leases if they do not fit otherwise.
func (l *Lease) Add(bytes int64) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.ended {
		return
	}
	if !l.budget.fits(l.owner, bytes) {
		l.budget.makeRoom(l.owner, bytes)
	}
	l.bytes += bytes
	l.budget.hold(l.owner, bytes)
}

// Return releases some of the bytes.
func (l *Lease) Return(bytes int64) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if !l.ended {
		l.bytes -= bytes
		l.budget.release(l.owner, bytes)
	}
}

// SetOwner makes the memory count for an owner.
func (l *Lease) SetOwner(owner string) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.ended || l.owner == owner {
		return
	}
	l.budget.release(l.owner, l.bytes)
	l.owner = owner
	l.budget.hold(owner, l.bytes)
}

// Ended reports whether the lease was evicted, or ended by End.
func (l *Lease) Ended() bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.ended
}

// End releases everything. The lease holds nothing from then on.
func (l *Lease) End() {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.end(l)
}
