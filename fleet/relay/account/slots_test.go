package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against slots that overlap, and against a writer that waits for more than one cycle.
func TestSlots(t *testing.T) {
	const length = 75 * time.Millisecond
	cases := []struct {
		name string
		of   int
	}{{"no others", 1}, {"two", 2}, {"twelve", 12}, {"forty", 40}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for at := time.Duration(0); at < time.Duration(c.of)*length; at += time.Millisecond {
				now := testStart.Add(at)
				begun := 0
				for i := range c.of {
					slot := Slot{LastWrite: testStart, After: i, Of: c.of, Length: length}
					wait := slot.wait(now)
					assert.LessOrEqual(t, wait, time.Duration(c.of)*length)
					if wait == 0 {
						begun++
					}
					assert.Zero(t, slot.wait(now.Add(wait)), "the slot has begun")
				}
				assert.LessOrEqual(t, begun, 1)
			}
		})
	}
	assert.Zero(t, Slot{}.wait(testStart))
	assert.Zero(t, Slot{After: 5, Of: 12, Length: length}.wait(testStart), "no write yet")
}
