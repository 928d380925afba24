package notice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/telling"
)

// leaving is what is known of one life's leaving. The zero value is nothing.
type leaving struct {
	since    time.Time // this node knows of it
	observed time.Time // the latest answer, of any node, that said so
	own      bool      // an answer to this node did
	by       string    // the node that told this one
	due      telling.Due
}

// told takes in that an answer to this node said so; true where it did not hold before.
func (l *leaving) told(now time.Time) (began bool) {
	began = !l.holds(now)
	if began {
		l.since = now
		l.due.News(now)
	}
	l.own, l.observed = true, now
	return began
}

// heard takes in another node's word; true where it did not hold before.
func (l *leaving) heard(from string, observed, now time.Time) (began bool) {
	if !observed.After(l.observed) {
		return false
	}
	began = !l.holds(now)
	l.observed = observed
	if began {
		l.since, l.by = now, from
		l.due.News(now)
	}
	return began
}

// holds is whether the endpoint is taken to leave. An answer to this node binds it for good: no
// later one takes it back, and the store's word may be the older one. Another node's
// word is believed for a while: it may have been misled.
func (l *leaving) holds(now time.Time) bool {
	return l.own || !l.observed.IsZero() && now.Sub(l.observed) < Believed
}

func (l *leaving) list(one Listed, now time.Time) Listed {
	one.Says, one.SinceMs = "leaving", now.Sub(l.since).Milliseconds()
	if !l.own {
		one.From, one.LeftMs = l.by, (Believed - now.Sub(l.observed)).Milliseconds()
	}
	return one
}

// Leaves is whether an endpoint is about to end, and until when it may get calls that no
// other endpoint may take.
func (b *Book) Leaves(life engine.Life, now time.Time) (until time.Time, leaves bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.find(life)
	if !ok || !k.leaving.holds(now) {
		return time.Time{}, false
	}
	return k.leaving.since.Add(b.rule.Serves), true
}
