package choice

import "time"

// Tuning holds the parameters of the choice.
type Tuning struct {
	AffinityTrust float64       // probability that a part is cached at its affinity target, 0 to 1
	Waiting       float64       // cost of waiting for the whole objective, as a fraction of the call's value; missing it costs 1
	Suspect       time.Duration // how long an endpoint is avoided after its first failure
	LoadAge       time.Duration // maximum age of a reported load
	Fetch         bool          // fetch parts from other endpoints that cache them
	Homes         bool          // count on fetching only where parts are known to be cached; others are best read at their affinity target
	Harm          bool          // add the cost for streams that run there
	Pauses        bool          // add the cost of pauses that streams had there
	Distance      bool          // add the cost of leaving the zone and the region
	Gossip        bool          // exchange with peers which parts are cached where
}

// DefaultTuning returns the parameters derived from the measurements in docs/policy.md.
func DefaultTuning() Tuning {
	return Tuning{
		AffinityTrust: 0.9, Waiting: 0.3, Suspect: 600 * time.Millisecond, LoadAge: 400 * time.Millisecond,
		Fetch: true, Homes: true, Harm: true, Pauses: true, Distance: true, Gossip: true,
	}
}
