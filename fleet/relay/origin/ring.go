package origin

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// The store keeps the latest batches in a fixed number of objects, which are overwritten in turn. Each
// takes records for some time: what it takes altogether is more than Retention, unless streams begin
// so fast that the objects are full before.
const (
	ringSlots  = 16
	slotPeriod = 4 * time.Second
)

// SlotNames lists the objects of the ring.
var SlotNames = lo.Map(lo.Range(ringSlots), func(i int, _ int) string { return fmt.Sprintf("batch-%02d", i) })

// Ring is the state of the ring as its writer knows it. It is immutable.
type Ring struct {
	revisions map[string]store.Revision // by name; 0: the object does not exist
	name      string                    // of the object that takes records now
	since     time.Time                 // when it took the first
	batch     Batch                     // what it holds
}

// NewRing returns the ring with the objects as they were listed.
func NewRing(listed map[string]store.Revision) Ring {
	return Ring{revisions: lo.SliceToMap(SlotNames, func(name string) (string, store.Revision) { return name, listed[name] })}
}

// oldest returns the object that was written first.
func (r Ring) oldest() string {
	return lo.MinBy(SlotNames, func(a, b string) bool { return r.revisions[a] < r.revisions[b] })
}

// With returns the ring with some more records in the object that takes them now.
func (r Ring) With(records []Record, now time.Time) Ring {
	if r.name == "" || now.Sub(r.since) >= slotPeriod || r.batch.Bytes() >= maxBatchBytes {
		r.name, r.since, r.batch = r.oldest(), now, Batch{}
	}
	r.batch = r.batch.With(records)
	return r
}

// Current returns the object that takes records: its name, revision and content.
func (r Ring) Current() (string, store.Revision, Batch) { return r.name, r.revisions[r.name], r.batch }

// Written returns the ring once the object that takes records was written.
func (r Ring) Written(revision store.Revision) Ring {
	r.revisions = lo.Assign(r.revisions, map[string]store.Revision{r.name: revision})
	return r
}
