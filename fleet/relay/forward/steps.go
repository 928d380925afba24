package forward

import "strconv"

// minSteps is how many steps from one event's id to the next show that the ids of a stream rise evenly.
const minSteps = 4

// idSteps is how the ids of the events of a stream rise.
type idSteps struct {
	last   uint64
	step   uint64
	steps  int // of that size
	begun  bool
	uneven bool
}

// with returns the steps with the id of one more event; "": it has none.
func (s idSteps) with(id string) idSteps {
	n, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil:
		s.uneven = true
	case s.begun && s.steps == 0:
		s.step, s.steps = n-s.last, 1
	case s.begun && n-s.last != s.step:
		s.uneven = true
	case s.begun:
		s.steps++
	}
	s.begun, s.last = true, n
	return s
}

// leavesOut reports whether an event with an id above the last one can't be the next, since the ids so far
// rose evenly.
func (s idSteps) leavesOut(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && !s.uneven && s.steps >= minSteps && n-s.last > s.step
}
