package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Word is what one node tells another of an endpoint's limit. One without a rate is its end.
type Word struct {
	Endpoint  string   `json:"e"`
	Born      int64    `json:"b,omitempty"` // of which life
	PerSecond *float64 `json:"r,omitempty"` // nil: it names none any more
	AgeMs     int64    `json:"a"`           // of the answer that said so
}

func (w Word) life() engine.Life { return engine.Life{ID: w.Endpoint, Born: w.Born} }

// sound is whether a word can be true: it is taken, not trusted.
func (w Word) sound() bool {
	return w.AgeMs >= 0 && w.AgeMs <= oldest.Milliseconds() && (w.PerSecond == nil || *w.PerSecond >= 0 && !math.IsNaN(*w.PerSecond) && !math.IsInf(*w.PerSecond, 0))
}

// Bounds of what is told.
const (
	mostWords = 48
	oldest    = time.Minute // that an answer may be for its word to count
)

// Urgent tells that there are news that are not to wait for what is told at intervals.
func (b *Book) Urgent() <-chan struct{} { return b.urgent }

// News lists what this node has learned since it last told news: by its own answers and,
// where it tells on what it hears, by words.
func (b *Book) News(tellsOn bool, now time.Time) []Word {
	b.mu.Lock()
	defer b.mu.Unlock()
	var words []Word
	for life, k := range b.known {
		if k.due.TakeNews() && (k.own || tellsOn) {
			words = append(words, k.word(life, now))
		}
	}
	return few(words)
}

// Words lists what is told along with everything else.
func (b *Book) Words(tellsOn bool, now time.Time) []Word {
	if b.count.Load() == 0 {
		return nil // as mostly
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var words []Word
	for life, k := range b.known {
		if k.due.Along(now) && (k.own || tellsOn) {
			words = append(words, k.word(life, now))
		}
	}
	return few(words)
}

// few is the words on the latest answers, so many as a message takes.
func few(words []Word) []Word {
	slices.SortFunc(words, func(a, b Word) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return words[:min(len(words), mostWords)]
}

func (k *known) word(life engine.Life, now time.Time) Word {
	w := Word{Endpoint: life.ID, Born: life.Born, AgeMs: now.Sub(k.observed).Milliseconds()}
	if k.named {
		w.PerSecond = &k.perSecond
	}
	return w
}

// Heard takes in what another node tells of endpoints that are listed.
func (b *Book) Heard(from string, words []Word, now time.Time) {
	for _, w := range words[:min(len(words), mostWords)] {
		if !w.sound() {
			continue
		}
		said := said{by: from, at: now.Add(-time.Duration(w.AgeMs) * time.Millisecond), named: w.PerSecond != nil}
		if said.named {
			said.perSecond = *w.PerSecond
		}
		b.take(w.life(), said, now)
	}
}
