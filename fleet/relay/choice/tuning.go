package choice

import "time"

// Tuning are the constants of the choice.
type Tuning struct {
	AffinityTrust float64       // how sure it is that a part is kept at its affinity target, 0 to 1
	Waiting       float64       // what waiting for the whole of the objective costs beside missing it, as a part of the call's value
	Suspect       time.Duration // how long an endpoint that failed is avoided at first
	LoadAge       time.Duration // a reported load older than this says nothing
	Fetch         bool          // parts kept elsewhere are taken from there
	Homes         bool          // only where parts are known to lie counts on fetching: else their affinity target is the place to read them
	Harm          bool          // streams that run there count
	Pauses        bool          // pauses that streams had there count
	Distance      bool          // leaving the zone and the region costs
	Gossip        bool          // peers tell which parts lie where
}

// DefaultTuning is what measurements led to; docs/policy.md.
func DefaultTuning() Tuning {
	return Tuning{
		AffinityTrust: 0.9, Waiting: 0.3, Suspect: 600 * time.Millisecond, LoadAge: 400 * time.Millisecond,
		Fetch: true, Homes: true, Harm: true, Pauses: true, Distance: true, Gossip: true,
	}
}
