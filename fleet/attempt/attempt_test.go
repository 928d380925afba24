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
		{"not started goes elsewhere", attempt.Situation{Failure: attempt.NotStarted, Attempts: 1, Left: left}, attempt.Retry},
		{"not started, enough tries", attempt.Situation{Failure: attempt.NotStarted, Attempts: attempt.MaxAttempts, Left: left}, attempt.GiveUp},
		{"no time left", attempt.Situation{Failure: attempt.NotStarted, Attempts: 1}, attempt.GiveUp},
		{"a broken stream is resumed", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Resumable: true, Relayed: true, Left: left}, attempt.Resume},
		{"and elsewhere if nothing was relayed", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Repeatable: true, Left: left}, attempt.Retry},
		{"but never twice to the caller", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Repeatable: true, Relayed: true, Left: left}, attempt.GiveUp},
		{"what may not be repeated is not", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Left: left}, attempt.GiveUp},
		{"resumes end", attempt.Situation{Failure: attempt.Broken, Attempts: 1, Resumable: true, Resumes: attempt.MaxResumes, Relayed: true, Left: left}, attempt.GiveUp},
		{"a rejected request stays rejected", attempt.Situation{Failure: attempt.Rejected, Attempts: 1, Repeatable: true, Left: left}, attempt.GiveUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, attempt.Next(c.s)) })
	}
}

func TestRetriesStayUnderATenthWhenAllFails(t *testing.T) {
	var b attempt.Budget
	requests, sent := 10_000, 0
	for range requests {
		b = b.WithRequest()
		sent++
		for tries := 1; ; tries++ {
			s := attempt.Situation{Failure: attempt.NotStarted, Attempts: tries, Left: time.Second, Budget: b}
			if attempt.Next(s) != attempt.Retry {
				break
			}
			b = b.WithRetry()
			sent++
		}
	}
	assert.Less(t, float64(sent)/float64(requests), 1.1)
}
