package store

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// Other writers may write entries that can't be decoded. Each is logged once while it stays
// unchanged, and the log is rate-limited, so that a thousand of them don't write a thousand
// lines.

// Limits on what is logged and remembered of bad entries.
const (
	maxFaults     = 1024        // bad entries remembered as logged
	faultBurst    = 20          // log lines at once
	faultInterval = time.Second // per further log line
)

// FaultCounter counts entries that can't be decoded, by kind.
type FaultCounter interface {
	BadEntry(kind string)
}

// Faults logs and counts entries that can't be decoded. It is safe for concurrent use.
type Faults struct {
	log     log.Interface
	counter FaultCounter // nil: nothing is counted
	seed    maphash.Seed

	mu         sync.Mutex
	logged     map[faultyEntry]uint64 // hash of the revision and fault last logged
	tokens     float64                // log lines allowed now
	at         time.Time              // when tokens was updated
	suppressed int                    // entries not logged since the last line
}

type faultyEntry struct{ kind, name string }

// NewFaults returns a Faults that has logged nothing yet; the counter may be nil.
func NewFaults(l log.Interface, c FaultCounter) *Faults {
	return &Faults{log: l, counter: c, seed: maphash.MakeSeed(), logged: map[faultyEntry]uint64{}, tokens: faultBurst, at: clock.Now()}
}

// Report logs and counts an entry that can't be decoded, once per revision and fault. Step
// is where the fault was found, and kept is what is used in the entry's place.
func (f *Faults) Report(o Object, step, kept string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := faultyEntry{o.Kind, o.Name}
	hash := maphash.Comparable(f.seed, struct {
		revision Revision
		reason   string
	}{o.Revision, err.Error()})
	if before, known := f.logged[key]; known && before == hash {
		return
	}
	f.remember(key, hash)
	if f.counter != nil {
		f.counter.BadEntry(o.Kind)
	}
	if !f.allowLine(clock.Now()) {
		f.suppressed++
		return
	}
	f.log.WithFields(log.Fields{
		"kind": o.Kind, "key": o.Name, "revision": o.Revision.Number(), "step": step, "kept": kept, "untold": f.suppressed,
	}).WithError(Short(err)).Warn("entry can't be decoded")
	f.suppressed = 0
}

// Resolve notes that an entry can be decoded, and logs that if it could not be before.
func (f *Faults) Resolve(o Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := faultyEntry{o.Kind, o.Name}
	if _, bad := f.logged[key]; !bad {
		return
	}
	delete(f.logged, key)
	if f.allowLine(clock.Now()) {
		f.log.WithFields(log.Fields{"kind": o.Kind, "key": o.Name, "revision": o.Revision.Number()}).Info("entry can be decoded again")
	}
}

// Gone forgets an entry that was deleted.
func (f *Faults) Gone(o Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.logged, faultyEntry{o.Kind, o.Name})
}

// remember stores the hash logged for an entry, and evicts any other entry when full.
func (f *Faults) remember(key faultyEntry, hash uint64) {
	if _, known := f.logged[key]; !known && len(f.logged) >= maxFaults {
		for other := range f.logged {
			delete(f.logged, other)
			break
		}
	}
	f.logged[key] = hash
}

// allowLine takes one log line from the token bucket, if there is one.
func (f *Faults) allowLine(now time.Time) bool {
	f.tokens = min(f.tokens+now.Sub(f.at).Seconds()/faultInterval.Seconds(), faultBurst)
	f.at = now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}
