package forward_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against events beyond a call's tokens, which a caller would receive and not pay for, and against an answer that is lost for them though another endpoint can end it.
func TestACallerGetsNoMoreThanTheTokensOfItsCall(t *testing.T) {
	const manyEvents = "id: 0\ndata: x\n\n: comment\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	oneByOne := func(f *fleet) script { return events(0, 1000, true) }
	atOnce := func(*fleet) script {
		return (&endless{head: streamHead, bytes: manyEvents, sound: streamFrom(2)}).serve
	}
	tests := []struct {
		name, path, output string
		from               func(f *fleet) script
		events             int
		whole              bool
		spent              int64
	}{
		{"as many as its tokens", "/stream/", "3000", oneByOne, 1000, true, 3010},
		{"one by one, may run once", "/stream/", "6", oneByOne, 2, false, 16},
		{"the last one holds a token", "/stream/", "7", oneByOne, 3, false, 17},
		{"at once, without end, may run once", "/stream/", "6", atOnce, 2, false, 16},
		{"at once, without end, another endpoint ends it", "/resume/", "6", atOnce, 2, true, 16},
		{"without a number of tokens", "/stream/", "0", oneByOne, 1000, true, 10},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 10000)
			from := c.from(f)
			for _, id := range []string{"e0", "e1"} {
				f.engines = append(f.engines, f.startEngine(t, id, from))
			}
			f.start(t, f.engines)
			f.allowance.Budget(map[string]int64{"t": 10000})
			before := f.allowance.State("t")
			got := f.do(t, f.request(t, "POST", c.path, "", "Prompt", "10", "Output", c.output, "Deadline", "3000"))
			assert.Equal(t, 200, got.status)
			assert.Equal(t, c.events, strings.Count(got.body, "id: "))
			assert.Equal(t, c.whole, got.err == nil)
			assert.Eventually(t, func() bool { return f.allowance.State("t").Reserved == 0 }, time.Second, time.Millisecond)
			assert.Equal(t, c.spent, before.Free-f.allowance.State("t").Free)
		})
	}
}
