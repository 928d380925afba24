package peer

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

func entryOf(name, incarnation string, at store.Revision) store.Object {
	data, _ := json.Marshal(Member{Name: name, Incarnation: incarnation, Zone: "z", Address: "127.0.0.1:1"})
	return store.Object{Kind: Kind, Name: name, Revision: at, Data: data}
}

// After the store was restored from a backup, no running node may stay unknown to the others,
// and no node that left may count again.
func TestNodesAfterARestoredStore(t *testing.T) {
	old, again := store.At(1, 9), store.At(2, 5)
	cases := []struct {
		name    string
		copied  []store.Object
		members []string
		writes  int
	}{
		{"it has all", []store.Object{entryOf("a", "a/1", again), entryOf("b", "b/1", again)}, []string{"a", "b"}, 0},
		{"it lacks this node", []store.Object{entryOf("b", "b/1", again)}, []string{"a", "b"}, 1},
		{"it has an earlier incarnation of this node", []store.Object{entryOf("a", "a/0", again), entryOf("b", "b/1", again)}, []string{"a", "b"}, 1},
		{"it has a node that left", []store.Object{entryOf("a", "a/1", again), entryOf("b", "b/1", again), entryOf("c", "c/1", again)}, []string{"a", "b"}, 0},
		{"it has a later incarnation of a node that left", []store.Object{entryOf("a", "a/1", again), entryOf("b", "b/1", again), entryOf("c", "c/2", again)}, []string{"a", "b", "c"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &listing{}
				r := NewRegistry(s, Member{Name: "a", Incarnation: "a/1", Zone: "z"}, store.NewHealth(), 0, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r.apply(store.Snapshot{Revision: old, Objects: []store.Object{entryOf("a", "a/1", old), entryOf("b", "b/1", old), entryOf("c", "c/1", old)}})
				go r.register(ctx)
				time.Sleep(time.Second)
				r.apply(store.Update{Revision: old + 1, Events: []store.Event{{Object: store.Object{Name: "c"}, Gone: true}}})
				s.mu.Lock()
				s.written = nil
				s.mu.Unlock()
				r.apply(store.Snapshot{Revision: again, Objects: c.copied})
				time.Sleep(5 * time.Second)
				synctest.Wait()
				assert.Equal(t, c.members, lo.Map(r.Members(), func(m Member, _ int) string { return m.Name }))
				assert.Len(t, s.written, c.writes)
			})
		})
	}
}
