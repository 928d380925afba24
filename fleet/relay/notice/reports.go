package notice

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/telling"
)

// Word is what one node tells another of what an endpoint says.
type Word struct {
	Endpoint  string `json:"e"`
	Born      int64  `json:"b,omitempty"` // of which life
	LeavingMs *int64 `json:"l,omitempty"` // since the latest answer that said that it leaves; nil: none did
	RestMs    int64  `json:"r,omitempty"` // for which it wants nothing from a node; 0: it did not ask for rest
}

func (w Word) life() engine.Life { return engine.Life{ID: w.Endpoint, Born: w.Born} }

// Bounds of what is told.
const (
	mostWords = 48             // in a message
	mostRest  = 24 * time.Hour // that another node may have been asked for
)

// Urgent tells that there are news that are not to wait for the digests.
func (b *Book) Urgent() <-chan struct{} { return b.urgent }

// News lists what this node has learned since it last told news: by answers and, where it
// tells on what it hears, by words.
func (b *Book) News(tellsOn bool, now time.Time) []Word {
	return b.words(tellsOn, now, func(d *telling.Due) bool { return d.TakeNews() })
}

// Words lists what is told along with everything else.
func (b *Book) Words(tellsOn bool, now time.Time) []Word {
	return b.words(tellsOn, now, func(d *telling.Due) bool { return d.Along(now) })
}

func (b *Book) words(tellsOn bool, now time.Time, due func(*telling.Due) bool) []Word {
	if b.count.Load() == 0 {
		return nil // as mostly
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var words []Word
	for life, k := range b.known {
		k.age(now)
		b.forget(life, k)
		if w := k.word(life, tellsOn, now, due); k.gone.IsZero() && w.says() {
			words = append(words, w)
		}
	}
	slices.SortFunc(words, func(a, b Word) int {
		return cmp.Or(-cmp.Compare(a.weight(), b.weight()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return words[:min(len(words), mostWords)]
}

// age drops a rest that is over for long, and has a leaving told again that was not told for long.
func (k *known) age(now time.Time) {
	if end := k.rest.end(); !end.IsZero() && now.Sub(end) > restKept {
		k.rest = rest{}
	}
	if !k.leaving.observed.IsZero() {
		k.leaving.due.Renew(now)
	}
}

// word is what is due of one life.
func (k *known) word(life engine.Life, tellsOn bool, now time.Time, due func(*telling.Due) bool) Word {
	w := Word{Endpoint: life.ID, Born: life.Born}
	if due(&k.leaving.due) && (k.leaving.own || tellsOn) && now.Sub(k.leaving.observed) < Believed {
		w.LeavingMs = lo.ToPtr(now.Sub(k.leaving.observed).Milliseconds())
	}
	until := k.rest.until
	if tellsOn {
		until = k.rest.end()
	}
	if due(&k.rest.due) && now.Before(until) {
		w.RestMs = until.Sub(now).Milliseconds()
	}
	return w
}

// says is whether a word says anything.
func (w Word) says() bool { return w.LeavingMs != nil || w.RestMs > 0 }

// weight is by what words come first where a message can't hold all: those on a leaving, the
// latest ones, and then long rests.
func (w Word) weight() int64 {
	if w.LeavingMs != nil {
		return mostRest.Milliseconds() + Believed.Milliseconds() - *w.LeavingMs
	}
	return w.RestMs
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
	leaving := w.LeavingMs == nil || *w.LeavingMs >= 0 && *w.LeavingMs < Believed.Milliseconds()
	return w.says() && leaving && w.RestMs >= 0 && w.RestMs <= mostRest.Milliseconds()
}

func (b *Book) heard(from string, w Word, now time.Time) {
	var began []Change
	b.mu.Lock()
	if e, listed := b.listed[w.life()]; listed {
		k := b.of(e, now)
		if w.LeavingMs != nil {
			age := time.Duration(*w.LeavingMs) * time.Millisecond
			if k.leaving.heard(from, now.Add(-age), now) {
				began = append(began, Began{Engine: e, Notice: call.Leaving{}, From: from, Age: age})
			}
		}
		if left := min(time.Duration(w.RestMs)*time.Millisecond, Believed); left > 0 && k.rest.told(from, now.Add(left), now) {
			began = append(began, Began{Engine: e, Notice: call.Rest{For: left}, From: from})
		}
	}
	b.mu.Unlock()
	for _, c := range began {
		b.urgent.Hurry()
		b.changed(c)
	}
}
