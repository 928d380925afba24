package account

import "time"

// Slot is the slot in which a writer of the ledger writes. All writers write one object, and a
// write that another one overtakes is refused but still costs a call. After each write the other
// writers follow in order, each relative to when it was notified, so no shared clock is needed.
type Slot struct {
	LastWrite time.Time     // when this writer made the last write or was notified of it; zero: never
	After     int           // position of this writer behind the one that wrote; 0 is the next
	Of        int           // number of writers; 1 or less: no other writers
	Length    time.Duration // covers a write, the notification of the others, and their fetch of the result
}

// cycle returns the time in which each writer has one slot.
func (s Slot) cycle() time.Duration {
	if s.Of <= 1 {
		return 0
	}
	return time.Duration(s.Of) * s.Length
}

// slotShare is the share of a slot in which a write may begin.
const slotShare = 0.3

// wait returns the time until this writer's slot: 0 during the slot, or if no write is known.
// Slots rotate while nobody writes.
func (s Slot) wait(now time.Time) time.Duration {
	cycle := s.cycle()
	if cycle <= 0 || s.LastWrite.IsZero() {
		return 0
	}
	begins := time.Duration(s.After) * s.Length
	into := (now.Sub(s.LastWrite)%cycle - begins + cycle) % cycle
	if into < time.Duration(slotShare*float64(s.Length)) {
		return 0
	}
	return cycle - into
}
