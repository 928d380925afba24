package choice

import "time"

// First notes the first event of an attempt.
func (t *Ticket) First() {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	t.endWaiting()
}

func (t *Ticket) endWaiting() {
	if t.first {
		return
	}
	t.first = true
	if s, ok := t.picker.states[t.Engine.ID]; ok {
		s.waiting -= t.Uncached
	}
}

// Result is how an attempt ended, for the ranking.
type Result int

// The results.
const (
	Good     Result = iota
	Rejected        // refused as full
	Bad             // failed, broke off or could not be reached
	Neutral         // says nothing about the endpoint
)

// Close ends an attempt.
func (t *Ticket) Close(r Result, now time.Time) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	t.endWaiting()
	s, ok := t.picker.states[t.Engine.ID]
	if !ok {
		return
	}
	s.inFlight--
	switch r {
	case Good:
		s.failures = 0
	case Rejected:
		s.suspected = now.Add(t.picker.tuning.Suspect / 4)
	case Bad:
		s.failures++
		s.suspected = now.Add(t.picker.tuning.Suspect * time.Duration(min(s.failures, 6)))
	case Neutral:
	}
}

// Took notes how long the first event took against what was expected.
func (t *Ticket) Took(d time.Duration) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	s, ok := t.picker.states[t.Engine.ID]
	if !ok {
		return
	}
	ratio := (float64(d.Milliseconds()) + 1) / (t.Expect + 20)
	s.slow = 0.8*s.slow + 0.2*min(max(ratio, 0.5), 20)
}
