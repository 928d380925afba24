package attempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/attempt"
)

func TestNext(t *testing.T) {
	left := time.Second
	cases := []struct {
		name string
		s    attempt.Situation
		want attempt.Step
	}{
		{"not started: retried elsewhere", attempt.Situation{Failure: attempt.NotStarted, Attempts: 1, Left: left}, attempt.Retry},
		{"not started: no attempts left", attempt.Situation{Failure: attempt.NotStarted, Attempts: attempt.MaxAttempts, Left: left}, attempt.GiveUp},
		{"no time left", attempt.Situation{Failure: attempt.NotStarted, Attempts: 1}, attempt.GiveUp},
		{"broken and resumable: resumed", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Resumable: true, Relayed: true, Left: left}, attempt.Resume},
		{"broken before anything was relayed: retried", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Repeatable: true, Left: left}, attempt.Retry},
		{"broken after something was relayed: not retried", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Repeatable: true, Relayed: true, Left: left}, attempt.GiveUp},
		{"broken and not repeatable: not retried", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Left: left}, attempt.GiveUp},
		{"no resumes left", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Resumable: true, Resumes: attempt.MaxResumes, Relayed: true, Left: left}, attempt.GiveUp},
		{"rejected: not retried", attempt.Situation{Failure: attempt.Rejected, Attempts: 1, Repeatable: true, Left: left}, attempt.GiveUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, attempt.Next(c.s)) })
	}
}

// Unbounded retries would multiply the load on endpoints that all fail.
func TestRetriesStayUnderATenthWhenAllFail(t *testing.T) {
	var b attempt.Budget
	requests, sent := 10_000, 0
	for range requests {
		b = b.WithRequest()
		sent++
		for attempts := 1; ; attempts++ {
			s := attempt.Situation{Failure: attempt.NotStarted, Attempts: attempts, Left: time.Second, Budget: b}
			if attempt.Next(s) != attempt.Retry {
				break
			}
			b = b.WithRetry()
			sent++
		}
	}
	assert.Less(t, float64(sent)/float64(requests), 1.1)
}
