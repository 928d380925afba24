package quarantine

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Suspect is a request that was interrupted by the end of its endpoint, or a part of its prompt.
type Suspect struct {
	Fingerprint Fingerprint `json:"p"`
	Progress    Progress    `json:"a,omitempty"`
	Customer    string      `json:"c,omitempty"`
	Route       string      `json:"r,omitempty"`
	Answered    bool        `json:"w,omitempty"`  // the reporting node had answered the request, or one with the part, before
	Part        string      `json:"pt,omitempty"` // name of the part; "": the whole request
	Depth       int         `json:"d,omitempty"`  // position of the part in its prompt, from 1
}

func (s Suspect) isPart() bool { return s.Part != "" }

// isKnownBadPart reports whether a suspect is one of the parts that are quarantined for any customer,
// and was never answered for its own.
func (s Suspect) isKnownBadPart(held map[string]bool) bool {
	return s.isPart() && !s.Answered && held[s.Part]
}

// Progress is how much of its answer a call had received when it was interrupted.
type Progress int

// The progress of an answer. A request that ends endpoints mostly does so right at its start.
const (
	Nothing  Progress = iota // no byte received
	Begun                    // first bytes received less than 500 ms before
	Underway                 // first bytes received earlier
)

// BegunPeriod is how long an answer counts as Begun after its first bytes.
const BegunPeriod = 500 * time.Millisecond

// ProgressOf returns the progress of an answer by the time since its first bytes.
func ProgressOf(since time.Duration) Progress {
	if since < BegunPeriod {
		return Begun
	}
	return Underway
}

// end is the end of one endpoint, with the calls that ran there as far as nodes reported them.
type end struct {
	incarnation engine.Incarnation
	at          time.Time // when it was first observed
	suspects    map[Fingerprint]Suspect
}

// sameEndWindow is how far apart reports on one end may lie if the endpoint does not announce its
// time of birth. A restart takes longer.
const sameEndWindow = time.Second

// matches reports whether e is the end of an incarnation reported for a given time.
func (e *end) matches(incarnation engine.Incarnation, at time.Time) bool {
	return e.incarnation == incarnation && (incarnation.Born != 0 || at.Sub(e.at).Abs() < sameEndWindow)
}

// add records a suspect and reports whether that changed anything.
func (e *end) add(s Suspect) bool {
	if known, ok := e.suspects[s.Fingerprint]; ok {
		changed := s.Progress < known.Progress || s.Answered && !known.Answered
		known.Progress, known.Answered = min(known.Progress, s.Progress), known.Answered || s.Answered
		e.suspects[s.Fingerprint] = known
		return changed
	}
	if len(e.suspects) >= maxSuspects && !e.makeRoom(s) {
		return false
	}
	e.suspects[s.Fingerprint] = s
	return true
}

// makeRoom drops a suspect with more progress than s, if there is one.
func (e *end) makeRoom(s Suspect) bool {
	for print, known := range e.suspects {
		if s.Progress < known.Progress {
			delete(e.suspects, print)
			return true
		}
	}
	return false
}

// primeSuspects returns the requests, or the parts, that the end may be attributed to: of those not
// served since, the ones with the least progress. An endpoint that a part crashes has begun its
// answer, while calls that wait there have received nothing: with parts both count alike.
func (e *end) primeSuspects(k kind, served map[Fingerprint]time.Time) []Fingerprint {
	var byProgress [Underway + 1][]Fingerprint
	for p, s := range e.suspects {
		switch {
		case k != kindOf(s) || !served[p].Before(e.at):
		case k == parts && s.Progress == Nothing:
			byProgress[Begun] = append(byProgress[Begun], p)
		default:
			byProgress[s.Progress] = append(byProgress[s.Progress], p)
		}
	}
	for _, suspects := range byProgress {
		if len(suspects) > 0 {
			return suspects
		}
	}
	return nil
}

// occasions counts ends, given oldest first. Ends that lie close together count as one.
func occasions(ends []*end, apart time.Duration) int { return len(distinct(ends, apart)) }

// distinct returns the first end of each occasion.
func distinct(ends []*end, apart time.Duration) []*end {
	var first []*end
	for _, e := range ends {
		if len(first) == 0 || e.at.Sub(first[len(first)-1].at) >= apart {
			first = append(first, e)
		}
	}
	return first
}

// Weights of an end attributed to a request. Five ends under an answer that was underway count
// as much as three others: long streams are present at many ends of endpoints that restart on
// their own and would otherwise be quarantined for them.
const (
	endWeight      = 5
	underwayWeight = 3
)

// weight returns the total weight of the ends attributed to a request.
func weight(p Fingerprint, ends []*end, apart time.Duration) int {
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
