package store

import "fmt"

// Revision is a point in the store's history: an era, and a number that the store assigned
// in it. The greater of two revisions is the later one, whatever their eras, so revisions
// compare as integers. Numbers of different eras can't be compared, so they are sent to
// the store and to other nodes together with their era. 0 is no revision.
type Revision int64

// numberBits is the width of a revision's number; the bits above it hold the era.
const numberBits = 48

// Limits of the parts of a revision.
const (
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(63-numberBits) - 1
)

// At returns the revision for a number in an era, both clamped to their limits.
func At(era, number int64) Revision {
	era, number = min(max(era, 0), MaxEra), min(max(number, 0), MaxNumber)
	return Revision(era<<numberBits | number)
}

// Era returns the era in which the store assigned the revision; 0 if the store reports none.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the store's own number for the revision.
func (r Revision) Number() int64 { return int64(r) & MaxNumber }

// IsOfEraBefore reports whether the store was restored from a backup between r and now.
// It is false if r is 0.
func (r Revision) IsOfEraBefore(now Revision) bool { return r > 0 && r.Era() < now.Era() }

// String implements fmt.Stringer.
func (r Revision) String() string { return fmt.Sprintf("%d in era %d", r.Number(), r.Era()) }
