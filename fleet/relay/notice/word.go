package notice

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Word is what one node tells another of what an endpoint says.
type Word struct {
	Endpoint  string `json:"e"`
	Born      int64  `json:"b,omitempty"` // of which life
	LeavingMs *int64 `json:"l,omitempty"` // since the latest answer that said that it leaves; nil: none did
}

func (w Word) life() engine.Life { return engine.Life{ID: w.Endpoint, Born: w.Born} }

// mostWords bounds a message.
const mostWords = 48

// Urgent tells that there are news that are not to wait for the digests.
func (b *Book) Urgent() <-chan struct{} { return b.urgent }

// News lists what this node has learned since it last told news: by answers and, where it
// tells on what it hears, by words.
func (b *Book) News(tellsOn bool, now time.Time) []Word {
	return b.words(tellsOn, now, func(k *known) bool { return k.leaving.due.TakeNews() })
}

// Words lists what is told along with everything else.
func (b *Book) Words(tellsOn bool, now time.Time) []Word {
	return b.words(tellsOn, now, func(k *known) bool {
		k.leaving.due.Renew(now)
		return k.leaving.due.Along(now)
	})
}

func (b *Book) words(tellsOn bool, now time.Time, due func(*known) bool) []Word {
	if b.count.Load() == 0 {
		return nil // as mostly
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var words []Word
	for life, k := range b.known {
		if k.gone.IsZero() && due(k) && (k.leaving.own || tellsOn) && now.Sub(k.leaving.observed) < Believed {
			words = append(words, Word{Endpoint: life.ID, Born: life.Born, LeavingMs: lo.ToPtr(now.Sub(k.leaving.observed).Milliseconds())})
		}
	}
	slices.SortFunc(words, func(a, b Word) int {
		return cmp.Or(cmp.Compare(*a.LeavingMs, *b.LeavingMs), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return words[:min(len(words), mostWords)]
}

// Heard takes in what another node tells of endpoints that are listed.
func (b *Book) Heard(from string, words []Word, now time.Time) {
	for _, w := range words[:min(len(words), mostWords)] {
		if w.sound() {
			b.heard(from, w, now)
		}
	}
}

// sound is whether a word can be true: it is taken, not trusted.
func (w Word) sound() bool {
	return w.LeavingMs != nil && *w.LeavingMs >= 0 && *w.LeavingMs < Believed.Milliseconds()
}

func (b *Book) heard(from string, w Word, now time.Time) {
	age := time.Duration(*w.LeavingMs) * time.Millisecond
	b.mu.Lock()
	e, listed := b.listed[w.life()]
	began := listed && b.of(e, now).leaving.heard(from, now.Add(-age), now)
	b.mu.Unlock()
	if began {
		b.urgent.Hurry()
		b.changed(Change{Engine: e, Notice: call.Leaving{}, From: from, Age: age})
	}
}
