package rollout

import "time"

// Rule is the operator's bounds on what a bad version may get, and what is planned of
// them. All of them are settings.
type Rule struct {
	Share     float64       // of all calls of the service from the order to its end: a bad target gets no more
	Tolerance int           // calls beyond that
	Rollback  time.Duration // after so many bad answers that it shows, the target gets nothing by then
	Planned   float64       // part of Share that sampling uses; 0 is DefaultRule's
	FalseRate float64       // of good versions that may be taken for bad ones; 0 is DefaultRule's
}

// DefaultRule is what holds where the operator sets no bounds.
func DefaultRule() Rule {
	return Rule{
		Share:     0.05, // half of what operators who set one allow
		Tolerance: 20,
		Rollback:  5 * time.Second,
		Planned:   0.8,  // what the draw of single calls adds to a share stays within the rest
		FalseRate: 0.01, // a false alarm costs an operator one more order
	}
}

// OrDefaults fills in what isn't set.
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
