package quarantine

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Suspect is a call that ended with its endpoint.
type Suspect struct {
	Print    Print    `json:"p"`
	Progress Progress `json:"a,omitempty"`
	Customer string   `json:"c,omitempty"`
	Route    string   `json:"r,omitempty"`
	Answered bool     `json:"w,omitempty"` // the node that tells had answered the request before
}

// Progress is how far an answer had come when the call was cut.
type Progress int

// How far it may have come. An endpoint that ends under a request mostly does so as it
// begins it.
const (
	Nothing  Progress = iota // not a byte
	Begun                    // a part of it, of late
	Underway                 // it had been coming for a while
)

// begunFor is how long after its first part an answer has only begun.
const begunFor = 500 * time.Millisecond

// ProgressOf is how far an answer has come whose first part came some time ago.
func ProgressOf(since time.Duration) Progress {
	if since < begunFor {
		return Begun
	}
	return Underway
}

// end is one endpoint's, and what ran there at the time, as far as nodes told.
type end struct {
	life     engine.Life
	at       time.Time // when it was first seen
	suspects map[Print]Suspect
}

// sameEnd is how far words on the end of one life may lie apart where the endpoint does
// not say when it was born: it takes longer to start again.
const sameEnd = time.Second

// is whether the end is that of a life, told of for a moment.
func (e *end) is(life engine.Life, at time.Time) bool {
	return e.life == life && (life.Born != 0 || at.Sub(e.at).Abs() < sameEnd)
}

// add takes a suspect in; true where it was not known.
func (e *end) add(s Suspect) bool {
	if known, ok := e.suspects[s.Print]; ok {
		news := s.Progress < known.Progress || s.Answered && !known.Answered
		known.Progress, known.Answered = min(known.Progress, s.Progress), known.Answered || s.Answered
		e.suspects[s.Print] = known
		return news
	}
	if len(e.suspects) >= mostSuspects && !e.makeRoom(s) {
		return false
	}
	e.suspects[s.Print] = s
	return true
}

// makeRoom drops a suspect whose answer had come further.
func (e *end) makeRoom(s Suspect) bool {
	for print, known := range e.suspects {
		if s.Progress < known.Progress {
			delete(e.suspects, print)
			return true
		}
	}
	return false
}

// prime is which suspects the end may be attributed to: those that were not served since, and
// among them those whose answers had come least far.
func (e *end) prime(served map[Print]time.Time) []Print {
	var of [Underway + 1][]Print
	for p, s := range e.suspects {
		if served[p].Before(e.at) {
			of[s.Progress] = append(of[s.Progress], p)
		}
	}
	for _, prints := range of {
		if len(prints) > 0 {
			return prints
		}
	}
	return nil
}

// occasions counts ends, the oldest first, those that lie close together as one.
func occasions(ends []*end, apart time.Duration) int { return len(distinct(ends, apart)) }

// distinct is the first end of each occasion.
func distinct(ends []*end, apart time.Duration) []*end {
	var first []*end
	for _, e := range ends {
		if len(first) == 0 || e.at.Sub(first[len(first)-1].at) >= apart {
			first = append(first, e)
		}
	}
	return first
}

// What an end counts under a request. Where its answer had been coming for a while five
// such are as good as three others: streams that last are in many ends of endpoints that
// go down and up by themselves, and would be held back for it.
const (
	endWeight      = 5
	underwayWeight = 3
)

// weight is what the ends that are attributed to a request count together.
func weight(p Print, ends []*end, apart time.Duration) int {
	sum := 0
	for _, e := range distinct(ends, apart) {
		if e.suspects[p].Progress == Underway {
			sum += underwayWeight
			continue
		}
		sum += endWeight
	}
	return sum
}
