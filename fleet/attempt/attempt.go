// Package attempt decides what to do after an attempt at an endpoint has failed:
// resume it, retry at another endpoint, or give up.
package attempt

import (
	"time"
)

// Bounds on the attempts of a request and on the retries of a node.
const (
	MaxAttempts = 3
	MaxResumes  = 3
	// retriesPerRequest is how many retries each request adds to the budget.
	retriesPerRequest = 0.08
	maxBurst          = 10.0 // retries that the budget allows at once
)

// Failure is the way in which an attempt ended without an answer.
type Failure int

// The kinds of failure.
const (
	NotStarted Failure = iota // the endpoint certainly did not start it
	Broken                    // it started or may have started; the connection broke, stalled or ended early
	Foreign                   // the answer is for another request
	Rejected                  // the endpoint rejected the request as invalid
)

// Situation is what is known about a request when an attempt has failed.
type Situation struct {
	Failure    Failure
	Attempts   int  // made so far
	Resumes    int  // of the last attempt
	Relayed    bool // some of the answer has reached the caller
	Resumable  bool // the endpoint keeps the run and can send the rest
	Repeatable bool
	Left       time.Duration // until the deadline
	Budget     Budget
}

// Step is the next step after a failure.
type Step int

// The steps.
const (
	GiveUp Step = iota
	Resume      // get the rest from the same endpoint
	Retry       // make another attempt at another endpoint
)

// Next returns the step after a failure.
func Next(s Situation) Step {
	if s.Left <= 0 {
		return GiveUp
	}
	switch s.Failure {
	case Rejected:
		return GiveUp
	case NotStarted:
		return s.retry()
	case Broken, Foreign:
		if s.Resumable && s.Resumes < MaxResumes {
			return Resume
		}
		if s.Relayed || !s.Repeatable {
			return GiveUp
		}
		return s.retry()
	}
	return GiveUp
}

func (s Situation) retry() Step {
	if s.Attempts >= MaxAttempts || !s.Budget.Allows() {
		return GiveUp
	}
	return Retry
}

// Budget bounds the retries of a node to a fraction of its requests, so that
// retries do not overload failing endpoints. It is immutable.
type Budget struct {
	used float64 // retries that later requests have not yet made up for
}

// Allows reports whether one more retry fits.
func (b Budget) Allows() bool { return b.used+1 <= maxBurst }

// WithRequest returns the budget after a new request.
func (b Budget) WithRequest() Budget {
	return Budget{used: max(0, b.used-retriesPerRequest)}
}

// WithRetry returns the budget after a retry.
func (b Budget) WithRetry() Budget { return Budget{used: b.used + 1} }
