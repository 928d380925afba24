package notice

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/telling"
)

// Use is how far a node uses an endpoint, by the rests that were asked for.
type Use int

// The uses.
const (
	Free   Use = iota // as any other
	Probe             // for one call that may be sent elsewhere if it is turned away
	Spare             // for calls that no other endpoint may take
	Closed            // not at all
)

const (
	// mostSpread is the time after a rest over which nodes come back one after the other: they were
	// asked at about the same moment, by an endpoint that was just too full.
	mostSpread = 2 * time.Second
	// answerWait is how long the first call after a rest is waited for before the next one is sent.
	answerWait = time.Second
	// probeWait is how long after its turn a node leaves the first call to those that lose nothing
	// if the endpoint still turns them away.
	probeWait = time.Second
	// restKept is how long after its end a rest is remembered that no call showed to be over.
	restKept = 10 * time.Second
)

// rest is what is known of the rests of one life. The zero value is none.
type rest struct {
	since, until time.Time // that this node was asked for
	heard        time.Time // until when another node was
	by           string    // that node
	tried        time.Time // when the first call after it was sent
	due          telling.Due
}

// asked takes in that this node is to send nothing for a while; true where it was not asked before.
// The latest end holds: answers overtake each other.
func (r *rest) asked(length time.Duration, now time.Time) (began bool) {
	began = !now.Before(r.until)
	if began {
		r.since = now
	}
	if began && !now.Before(r.heard) {
		r.due.News(now) // else others know of one
	}
	if until := now.Add(length); until.After(r.until) {
		r.until = until
	}
	r.tried = time.Time{}
	return began
}

// told takes in that another node was asked; true where nothing was known.
func (r *rest) told(from string, until, now time.Time) (began bool) {
	if !until.After(r.heard) {
		return false
	}
	began = !now.Before(r.end())
	if began {
		r.since, r.tried = now, time.Time{}
		r.due.News(now)
	}
	r.heard, r.by = until, from
	return began
}

// end is when the latest rest ends that is known of.
func (r *rest) end() time.Time {
	if r.heard.After(r.until) {
		return r.heard
	}
	return r.until
}

// use is how far an endpoint is used; the node comes back after a part of the time that nodes
// have to. Another node's rest is no word on this one's calls: the endpoint may want them,
// but the next one is more likely to be turned away there than elsewhere.
func (r *rest) use(part float64, now time.Time) Use {
	end := r.end()
	switch turn := time.Duration(part * float64(min(end.Sub(r.since), mostSpread))); {
	case now.Before(r.until):
		return Closed
	case now.Before(end.Add(turn)), !r.tried.IsZero() && now.Sub(r.tried) < answerWait:
		return Spare
	case now.Before(end.Add(turn + probeWait)):
		return Probe
	}
	return Free
}

func (r *rest) list(one Listed, now time.Time) Listed {
	one.Says, one.SinceMs, one.LeftMs = "rest", now.Sub(r.since).Milliseconds(), r.end().Sub(now).Milliseconds()
	if !now.Before(r.until) {
		one.From = r.by
	}
	return one
}

// partOf is this node's place among those that come back to a life of an endpoint, from 0 to 1.
func (b *Book) partOf(life engine.Life) float64 {
	const shift = 11 // leaves as many bits of a hash as a fraction has
	return float64(ident.Mix(b.self^xxhash.Sum64String(life.ID))>>shift) / (1 << (64 - shift))
}

// Use is how far this node uses an endpoint now.
func (b *Book) Use(life engine.Life, now time.Time) Use {
	if b.count.Load() == 0 {
		return Free
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[life]
	if !ok || k.rest.end().IsZero() {
		return Free
	}
	return k.rest.use(b.partOf(life), now)
}

// Resting is whether an endpoint wants nothing from this node now, and for how long in all.
func (b *Book) Resting(life engine.Life, now time.Time) (until time.Time, length time.Duration, resting bool) {
	if b.count.Load() == 0 {
		return time.Time{}, 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[life]
	if !ok || !now.Before(k.rest.until) {
		return time.Time{}, 0, false
	}
	return k.rest.until, k.rest.until.Sub(k.rest.since), true
}

// Placed notes a call to an endpoint: after a rest the first one goes alone.
func (b *Book) Placed(life engine.Life, now time.Time) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.known[life]; ok && !now.Before(k.rest.end()) {
		k.rest.tried = now
	}
}

// Took notes that an endpoint took a call that was sent then. After a rest it is used as before.
func (b *Book) Took(life engine.Life, sent time.Time) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	k, ok := b.known[life]
	over := ok && !k.rest.end().IsZero() && !sent.Before(k.rest.end())
	if over {
		k.rest = rest{}
		b.forget(life, k)
	}
	b.mu.Unlock()
	if over {
		b.changed(Ended{Engine: k.engine})
	}
}
