package rollout

import "time"

// Rule is the operator's bounds on what a bad version may receive, and how much of them is planned
// for. All of them are settings.
type Rule struct {
	Share     float64       // of the service's calls from the order to its end: a bad target receives no more
	Tolerance int           // calls beyond Share
	Rollback  time.Duration // once a bad target's failures show, it receives nothing after this time
	Planned   float64       // part of Share that sampling uses; 0 selects the default
	FalseRate float64       // share of good versions that may be found bad; 0 selects the default
}

// DefaultRule returns the bounds that apply where the operator sets none.
func DefaultRule() Rule {
	return Rule{
		Share:     0.05, // half of what operators who set one allow
		Tolerance: 20,
		Rollback:  5 * time.Second,
		Planned:   0.8,  // the rest absorbs the variance of sampling single calls
		FalseRate: 0.01, // a false alarm costs an operator one more order
	}
}

// OrDefaults replaces unset or invalid fields by their defaults.
func (r Rule) OrDefaults() Rule {
	d := DefaultRule()
	if r.Share <= 0 || r.Share > 1 {
		r.Share, r.Tolerance = d.Share, d.Tolerance
	}
	if r.Rollback <= 0 {
		r.Rollback = d.Rollback
	}
	if r.Planned <= 0 || r.Planned > 1 {
		r.Planned = d.Planned
	}
	if r.FalseRate <= 0 || r.FalseRate >= 1 {
		r.FalseRate = d.FalseRate
	}
	return r
}
