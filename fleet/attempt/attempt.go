// Package attempt decides what to do after an attempt at an endpoint failed:
// resume it, try another endpoint, or give up.
package attempt

import (
	"time"
)

// Options of the policy.
const (
	MaxAttempts = 3
	MaxResumes  = 3
	// budgetPart is how many retries each request earns.
	budgetPart = 0.08
	budgetMax  = 10.0
)

// Failure is how an attempt ended without an answer.
type Failure int

// The failures.
const (
	NotStarted Failure = iota // the endpoint provably did not start it
	Broken                    // it started or may have; the connection broke, stalled or ended early
	Foreign                   // the answer named another request
	Rejected                  // the endpoint found the request itself wrong
)

// Situation is what is known when an attempt has failed.
type Situation struct {
	Failure    Failure
	Attempts   int // made so far
	Resumes    int // of the last attempt
	Relayed    bool
	Resumable  bool // the endpoint keeps the run and can be asked for the rest
	Repeatable bool
	Left       time.Duration // until the deadline
	Budget     Budget
}

// Step is what to do next.
type Step int

// The steps.
const (
	GiveUp Step = iota
	Resume      // ask the same endpoint for the rest
	Retry       // try another endpoint
)

// Next decides the step after a failure.
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

// Budget bounds the retries of a node to a part of its requests, so that
// failing endpoints are not flooded; it is not changed in place.
type Budget struct {
	used float64 // retries not yet earned back
}

// Allows reports whether one more retry fits.
func (b Budget) Allows() bool { return b.used+1 <= budgetMax }

// WithRequest is the budget after a new request.
func (b Budget) WithRequest() Budget {
	return Budget{used: max(0, b.used-budgetPart)}
}

// WithRetry is the budget after a retry.
func (b Budget) WithRetry() Budget { return Budget{used: b.used + 1} }
