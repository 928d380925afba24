package origin

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/announce"
)

// While several versions serve, all nodes send the records of their streams to two keepers. The first
// writes them to the store in batches, and tells the second up to when it has written what it got. The
// second writes what the first does not report in time.

const (
	// WriteInterval is how long records wait for others before they are written. The streams that began
	// within it are lost if all nodes end.
	WriteInterval = 400 * time.Millisecond
	// standbyDelay is how long the second keeper waits for the report of the first.
	standbyDelay = time.Second
	// arrivalSkew is how much later than at the second keeper a record may arrive at the first.
	arrivalSkew = 50 * time.Millisecond
	maxKept     = 16 << 10 // records that wait, of either kind
)

// Keeper holds the records that this node writes to the store, or stands by to write. It is safe for
// concurrent use.
type Keeper struct {
	wake announce.Urgent

	mu      sync.Mutex
	due     []kept
	dropped int // of those that were due first, since Due
	standby []kept
}

type kept struct {
	Record
	at time.Time // it arrived
}

// NewKeeper returns a keeper without records.
func NewKeeper() *Keeper { return &Keeper{wake: announce.NewUrgent()} }

// Wake signals that records wait that did not before.
func (k *Keeper) Wake() <-chan struct{} { return k.wake }

// Receive takes records that this node is to write.
func (k *Keeper) Receive(records []Record, now time.Time) {
	k.mu.Lock()
	var extra int
	k.due, extra = withLatest(k.due, records, now)
	k.dropped += extra
	k.mu.Unlock()
	k.notify(records)
}

// StandBy takes records that another node is to write.
func (k *Keeper) StandBy(records []Record, now time.Time) {
	k.mu.Lock()
	k.standby, _ = withLatest(k.standby, records, now)
	k.mu.Unlock()
	k.notify(records)
}

func (k *Keeper) notify(records []Record) {
	if len(records) > 0 {
		k.wake.Notify()
	}
}

// withLatest returns a list with some more records, of which the latest stay, and how many were dropped.
func withLatest(list []kept, records []Record, now time.Time) (latest []kept, dropped int) {
	list = append(list, lo.Map(records, func(r Record, _ int) kept { return kept{r, now} })...)
	extra := max(len(list)-maxKept, 0)
	if extra == 0 {
		return list, 0
	}
	return slices.Clone(list[extra:]), extra
}

// WrittenElsewhere drops the records on standby that arrived before another node's last write.
func (k *Keeper) WrittenElsewhere(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.standby = slices.DeleteFunc(k.standby, func(r kept) bool { return r.at.Before(until.Add(-arrivalSkew)) })
}

// Due returns the records to be written now, of which there are at most MaxBatchRecords, and until when
// all that arrived are among them. They stay until Written.
func (k *Keeper) Due(now time.Time) (records []Record, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	overdue, waiting := lo.FilterReject(k.standby, func(r kept, _ int) bool { return now.Sub(r.at) >= standbyDelay })
	k.due, k.standby, k.dropped = append(k.due, overdue...), waiting, 0
	count := min(len(k.due), MaxBatchRecords)
	until = now
	for _, r := range k.due[count:] {
		if r.at.Before(until) {
			until = r.at
		}
	}
	return lo.Map(k.due[:count], func(r kept, _ int) Record { return r.Record }), until
}

// Written drops the first records that were due. Some of them may have been dropped for want of room.
func (k *Keeper) Written(count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.due = slices.Clone(k.due[min(max(count-k.dropped, 0), len(k.due)):])
}

// Waits reports whether any records wait.
func (k *Keeper) Waits() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.due)+len(k.standby) > 0
}
