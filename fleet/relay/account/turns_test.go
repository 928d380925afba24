package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// In a cycle each writer has one turn, nobody two, and none has another's.
func TestTurns(t *testing.T) {
	const length = 75 * time.Millisecond
	cases := []struct {
		name string
		of   int
	}{{"nobody else", 1}, {"two", 2}, {"twelve", 12}, {"forty", 40}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for at := time.Duration(0); at < time.Duration(c.of)*length; at += time.Millisecond {
				now := testStart.Add(at)
				turns := 0
				for i := range c.of {
					turn := Turn{Word: testStart, After: i, Of: c.of, Length: length}
					wait := turn.wait(now)
					assert.LessOrEqual(t, wait, time.Duration(c.of)*length)
					if wait == 0 {
						turns++
					}
					assert.Zero(t, turn.wait(now.Add(wait)), "it is its turn then")
				}
				assert.LessOrEqual(t, turns, 1)
			}
		})
	}
	assert.Zero(t, Turn{}.wait(testStart))
	assert.Zero(t, Turn{After: 5, Of: 12, Length: length}.wait(testStart), "nobody wrote yet")
}
