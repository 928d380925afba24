package notice_test

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

var (
	start = time.Unix(1000, 0)
	first = engine.Engine{ID: "e", Born: 1, Service: "s", Zone: "z"}
	later = engine.Engine{ID: "e", Born: 2, Service: "s", Zone: "z"}
	other = engine.Engine{ID: "f", Service: "s", Zone: "z"}
	rule  = notice.Rule{Serves: time.Second}
)

// at is a moment of a test, in milliseconds.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newBook(changes *[]notice.Change) *notice.Book {
	b := notice.NewBook("n", rule, func(c notice.Change) {
		if changes != nil {
			*changes = append(*changes, c)
		}
	})
	b.Engines([]engine.Engine{first, other}, start)
	return b
}

func leaves(b *notice.Book, e engine.Engine, now time.Time) bool {
	_, yes := b.Leaves(e.Life(), now)
	return yes
}

// word is another node's on the first endpoint's leaving.
func word(ageMs int64) notice.Word {
	return notice.Word{Endpoint: first.ID, Born: first.Born, LeavingMs: lo.ToPtr(ageMs)}
}

// What an endpoint told this node holds for its life, whatever becomes of its entry; what another node
// tells holds for a while.
func TestForHowLongAnEndpointLeaves(t *testing.T) {
	none := func(*notice.Book) {}
	cases := []struct {
		name   string
		then   func(b *notice.Book)
		of     engine.Engine
		now    time.Time
		leaves bool
	}{
		{"nobody said so", none, other, at(1), false},
		{"it said so", func(b *notice.Book) { b.Saw(first, call.Leaving{}, at(0)) }, first, at(0), true},
		{"an hour later", func(b *notice.Book) { b.Saw(first, call.Leaving{}, at(0)) }, first, at(3_600_000), true},
		{"another life under its id", func(b *notice.Book) { b.Saw(first, call.Leaving{}, at(0)) }, later, at(1), false},
		{"its entry lapses, and is back", func(b *notice.Book) {
			b.Saw(first, call.Leaving{}, at(0))
			b.Engines([]engine.Engine{other}, at(1000))
			b.Engines([]engine.Engine{first, other}, at(120_000))
		}, first, at(130_000), true},
		{"it said so after its entry went", func(b *notice.Book) {
			b.Engines([]engine.Engine{other}, at(0))
			b.Saw(first, call.Leaving{}, at(10))
			b.Engines([]engine.Engine{first, other}, at(1000))
		}, first, at(2000), true},
		{"another node says so", func(b *notice.Book) { b.Heard("n", []notice.Word{word(100)}, at(100)) }, first, at(100), true},
		{"and not any more", func(b *notice.Book) { b.Heard("n", []notice.Word{word(100)}, at(100)) }, first, at(40_000), false},
		{"and again, by a later answer", func(b *notice.Book) {
			b.Heard("n", []notice.Word{word(100)}, at(100))
			b.Heard("n", []notice.Word{word(500)}, at(20_000))
		}, first, at(40_000), true},
		{"of another life", func(b *notice.Book) {
			b.Heard("n", []notice.Word{{Endpoint: first.ID, Born: 7, LeavingMs: lo.ToPtr[int64](1)}}, at(100))
		}, first, at(100), false},
		{"of an endpoint without an entry", func(b *notice.Book) {
			b.Engines([]engine.Engine{other}, at(0))
			b.Heard("n", []notice.Word{word(1)}, at(100))
		}, first, at(100), false},
		{"a word that can't be true", func(b *notice.Book) { b.Heard("n", []notice.Word{word(-5)}, at(100)) }, first, at(100), false},
		{"a word that is too old", func(b *notice.Book) { b.Heard("n", []notice.Word{word(3_600_000)}, at(100)) }, first, at(100), false},
		{"a word of something else", func(b *notice.Book) { b.Heard("n", []notice.Word{{Endpoint: first.ID, Born: first.Born}}, at(100)) }, first, at(100), false},
	}
	for _, c := range cases {
		b := newBook(nil)
		c.then(b)
		assert.Equal(t, c.leaves, leaves(b, c.of, c.now), c.name)
	}
}

// What a node learned is told at once, once; again with the digests; and by those alone that were told by
// the endpoint, or tell on what they hear.
func TestWhatIsToldOfALeaving(t *testing.T) {
	var changes []notice.Change
	b := newBook(&changes)
	assert.Empty(t, b.News(true, at(0)))
	b.Saw(first, call.Leaving{}, at(0))
	b.Saw(first, call.Leaving{}, at(10))
	assert.Len(t, changes, 1, "it began once")
	<-b.Urgent()
	assert.Equal(t, []notice.Word{word(10)}, b.News(false, at(20)))
	assert.Empty(t, b.News(false, at(30)))
	assert.Equal(t, []notice.Word{word(190)}, b.Words(false, at(200)))
	assert.Empty(t, b.Words(false, at(5_000)))
	assert.Equal(t, []notice.Word{word(10_990)}, b.Words(false, at(11_000)), "for those that heard nothing")

	heard := newBook(nil)
	heard.Heard("n", []notice.Word{word(10)}, at(20))
	assert.Empty(t, heard.Words(false, at(20)))
	assert.Equal(t, []notice.Word{word(10)}, heard.News(true, at(20)))
	assert.Equal(t, "n", heard.List(at(20))[0].From)
}
