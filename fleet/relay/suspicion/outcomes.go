package suspicion

import "time"

// maxOutcomes bounds the recorded calls per endpoint.
const maxOutcomes = 16

// outcomes holds this node's recent calls at one incarnation of an endpoint, oldest first.
type outcomes []result

type result struct {
	at      time.Time
	outcome Outcome
}

// with appends a result and drops those that are too old.
func (o outcomes) with(s result, window time.Duration) outcomes {
	from := max(len(o)+1-maxOutcomes, 0)
	for from < len(o) && s.at.Sub(o[from].at) > window {
		from++
	}
	return append(o[from:], s)
}

// since counts the results after a time, and returns the last failure.
func (o outcomes) since(from time.Time) (calls, failures int, last result) {
	for _, s := range o {
		if s.at.Before(from) {
			continue
		}
		calls++
		if s.outcome != Succeeded {
			failures++
			last = s
		}
	}
	return calls, failures, last
}
