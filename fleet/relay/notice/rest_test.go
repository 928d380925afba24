package notice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// asked has the first endpoint ask this node for rest.
func asked(b *notice.Book, length time.Duration, ms int) {
	b.Saw(first, call.Rest{For: length}, at(ms))
}

// restWord is another node's on a rest that it was asked for.
func restWord(ms int64) notice.Word {
	return notice.Word{Endpoint: first.ID, Born: first.Born, RestMs: ms}
}

// A node that was asked for rest sends nothing until the latest end, and then a call at a time until one
// is taken; one that heard of it uses the endpoint last.
func TestHowFarARestingEndpointIsUsed(t *testing.T) {
	none := func(*notice.Book) {}
	three := func(b *notice.Book) { asked(b, 3*time.Second, 0) }
	cases := []struct {
		name string
		then func(b *notice.Book)
		of   engine.Engine
		now  time.Time
		use  notice.Use
	}{
		{"nothing was asked", none, first, at(1), notice.Free},
		{"asked", three, first, at(0), notice.Closed},
		{"just before the end", three, first, at(2_999), notice.Closed},
		{"another endpoint", three, other, at(10), notice.Free},
		{"another life under its id", three, later, at(10), notice.Free},
		{"at the end: the others' turns", three, first, at(3_000), notice.Spare},
		{"after all turns: a probe", three, first, at(5_000), notice.Probe},
		{"no probe came", three, first, at(6_500), notice.Free},
		{"the first call is on its way", func(b *notice.Book) { three(b); b.Placed(first.Life(), at(5_000)) }, first, at(5_500), notice.Spare},
		{"it is not answered", func(b *notice.Book) { three(b); b.Placed(first.Life(), at(5_500)) }, first, at(6_600), notice.Free},
		{"it was taken", func(b *notice.Book) { three(b); b.Took(first.Life(), at(5_000)) }, first, at(5_100), notice.Free},
		{"a call of before the rest was taken", func(b *notice.Book) { three(b); b.Took(first.Life(), at(-10)) }, first, at(20), notice.Closed},
		{"asked again, for less", func(b *notice.Book) { three(b); asked(b, time.Second, 10) }, first, at(2_000), notice.Closed},
		{"asked again, for longer", func(b *notice.Book) { three(b); asked(b, 5*time.Second, 10) }, first, at(5_000), notice.Closed},
		{"asked again by the first call after it", func(b *notice.Book) { three(b); asked(b, 3*time.Second, 5_000) }, first, at(7_900), notice.Closed},
		{"its entry lapses, and is back", func(b *notice.Book) {
			three(b)
			b.Engines([]engine.Engine{other}, at(100))
			b.Engines([]engine.Engine{first, other}, at(1_000))
		}, first, at(1_100), notice.Closed},
		{"another node was asked", func(b *notice.Book) { b.Heard("n", []notice.Word{restWord(3_000)}, at(0)) }, first, at(100), notice.Spare},
		{"and its rest is over", func(b *notice.Book) { b.Heard("n", []notice.Word{restWord(3_000)}, at(0)) }, first, at(6_500), notice.Free},
		{"for a day, as it says: not believed for longer than half a minute", func(b *notice.Book) { b.Heard("n", []notice.Word{restWord(86_400_000)}, at(0)) }, first, at(33_500), notice.Free},
		{"both were, the other one for longer", func(b *notice.Book) {
			asked(b, time.Second, 0)
			b.Heard("n", []notice.Word{restWord(3_000)}, at(0))
		}, first, at(2_000), notice.Spare},
		{"of another life", func(b *notice.Book) {
			b.Heard("n", []notice.Word{{Endpoint: first.ID, Born: 9, RestMs: 3_000}}, at(0))
		}, first, at(100), notice.Free},
		{"a word that can't be true", func(b *notice.Book) { b.Heard("n", []notice.Word{restWord(-1)}, at(0)) }, first, at(100), notice.Free},
		{"a word of longer than is believed", func(b *notice.Book) { b.Heard("n", []notice.Word{restWord(1e12)}, at(0)) }, first, at(100), notice.Free},
	}
	for _, c := range cases {
		b := newBook(nil)
		c.then(b)
		assert.Equal(t, c.use, b.Use(c.of.Life(), c.now), c.name)
	}
}

// A rest is told when it begins, unless others know of one; it is known to be over when a call was taken.
func TestWhatIsToldOfARest(t *testing.T) {
	var changes []notice.Change
	b := newBook(&changes)
	asked(b, 3*time.Second, 0)
	asked(b, 3*time.Second, 10)
	assert.Len(t, changes, 1, "it began once")
	assert.Equal(t, []notice.Word{restWord(2_990)}, b.News(false, at(20)))
	assert.Empty(t, b.News(false, at(30)))
	assert.Equal(t, []notice.Word{restWord(2_810)}, b.Words(false, at(200)))
	assert.Empty(t, b.Words(false, at(2_000)))
	b.Took(first.Life(), at(3_500))
	assert.Equal(t, notice.Ended{Engine: first}, changes[1])
	assert.Empty(t, b.List(at(3_600)))

	heard := newBook(nil)
	heard.Heard("n", []notice.Word{restWord(3_000)}, at(0))
	assert.Equal(t, []notice.Word{restWord(3_000)}, heard.News(true, at(0)), "a delegate tells on")
	asked(heard, time.Second, 100)
	assert.Empty(t, heard.News(false, at(100)), "all know of the longer one")
	until, length, resting := heard.Resting(first.Life(), at(200))
	assert.True(t, resting)
	assert.Equal(t, at(1_100), until)
	assert.Equal(t, time.Second, length)
}

// Nodes that were asked at the same moment come back one after the other.
func TestNodesComeBackByTurns(t *testing.T) {
	const nodes = 60
	back := map[int]int{} // by tenth of a second after the end
	for i := range nodes {
		b := notice.NewBook(string(rune('a'+i)), rule, func(notice.Change) {})
		b.Engines([]engine.Engine{first}, start)
		b.Saw(first, call.Rest{For: 3 * time.Second}, at(0))
		for ms := 3_000; b.Use(first.Life(), at(ms)) > notice.Probe; ms += 100 {
			back[(ms-3_000)/100]++
		}
	}
	assert.GreaterOrEqual(t, back[0], nodes*8/10, "few come back at once")
	assert.LessOrEqual(t, back[19], nodes/10, "nearly all are back after two seconds")
}
