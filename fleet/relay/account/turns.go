package account

import "time"

// Turn is when a writer of the ledger writes, beside the others: all write one object, and
// a write that another's overtakes is refused, and costs a call all the same. After each
// write the others follow in their order, each when it heard of it; so no clock is shared.
type Turn struct {
	Word   time.Time     // when this writer heard of the last write, or made it; zero: of none
	After  int           // place of this writer behind the one that wrote; 0 is the next
	Of     int           // writers; 1 or less: nobody else writes
	Length time.Duration // for a write, word of it to the others, and their asking for what was written
}

// cycle is the time in which each writer has one turn.
func (t Turn) cycle() time.Duration {
	if t.Of <= 1 {
		return 0
	}
	return time.Duration(t.Of) * t.Length
}

// turnPart is the part of a turn in which a write may begin.
const turnPart = 0.3

// wait is how long until this writer's turn: 0 where it is, or where no write was heard of.
// Turns go round while nobody writes.
func (t Turn) wait(now time.Time) time.Duration {
	cycle := t.cycle()
	if cycle <= 0 || t.Word.IsZero() {
		return 0
	}
	begins := time.Duration(t.After) * t.Length
	into := (now.Sub(t.Word)%cycle - begins + cycle) % cycle
	if into < time.Duration(turnPart*float64(t.Length)) {
		return 0
	}
	return cycle - into
}
