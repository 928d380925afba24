package relay

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Guards against calls to an evacuated zone if a backup of the store lacks the evacuation.
func TestAnEvacuationOutlastsARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := zonedNode("a", "b")
		n.engineTable.apply(store.Snapshot{Revision: store.At(1, 5), Objects: named("a1", "b1")})
		n.applyEvacuations(store.Snapshot{Revision: store.At(1, 5)})
		n.applyEvacuations(store.Update{Revision: store.At(1, 20), Events: []store.Event{{Object: store.Object{Name: "a", Revision: store.At(1, 20)}}}})
		require.Equal(t, []string{"b1"}, n.ready())
		asked := n.evacuationsRefresh.Requested()
		n.applyEvacuations(store.Snapshot{Revision: store.At(2, 10)})
		assert.Equal(t, []string{"b1"}, n.ready(), "the backup lacks it")
		select {
		case <-asked:
		case <-time.After(5 * time.Second):
			t.Error("the zones were not listed again")
		}
		n.applyEvacuations(store.Snapshot{Revision: store.At(2, 15)})
		assert.Equal(t, []string{"a1", "b1"}, n.ready(), "it was not written again")
	})
}

func orderStatus(state rollout.State, made int64, writes int) rollout.Status {
	return rollout.Status{State: state, Target: "v2", Made: made, Share: 0.1, Writes: writes}
}

// Guards against orders that fall back behind the status the fleet had agreed on, after the store
// was restored from a backup.
func TestAnOrderOutlastsARestore(t *testing.T) {
	at := func(number int64) store.Revision { return store.At(1, number) }
	again := func(number int64) store.Revision { return store.At(2, number) }
	known := order("s", "v2", 8, at(20), orderStatus(rollout.InProgress, 8, 3))
	reverted := order("s", "v2", 8, at(20), orderStatus(rollout.Reverted, 8, 4))
	cases := []struct {
		name   string
		known  store.Object
		then   []store.Change
		want   rollout.Status
		exists bool
		lacks  bool // the store lacks the status
	}{
		{"nothing was lost", known, []store.Change{listed(again(20), order("s", "v2", 8, again(20), orderStatus(rollout.InProgress, 8, 3)))}, orderStatus(rollout.InProgress, 8, 3), true, false},
		{"the last status was lost", known, []store.Change{listed(again(12), order("s", "v2", 8, again(9), orderStatus(rollout.InProgress, 8, 1)))}, orderStatus(rollout.InProgress, 8, 3), true, true},
		{"every status was lost", known, []store.Change{listed(again(12), order("s", "v2", 8, again(8), rollout.Status{}))}, orderStatus(rollout.InProgress, 8, 3), true, true},
		{"its end was lost", reverted, []store.Change{listed(again(12), order("s", "v2", 8, again(9), orderStatus(rollout.InProgress, 8, 3)))}, orderStatus(rollout.Reverted, 8, 4), true, true},
		{"the order was lost", known, []store.Change{listed(again(7))}, orderStatus(rollout.InProgress, 8, 3), true, false},
		{"and is written again", known, []store.Change{listed(again(7)), changed(again(11), order("s", "v2", 11, again(11), rollout.Status{}))}, orderStatus(rollout.InProgress, 11, 3), true, true},
		{"and is not written again", known, []store.Change{listed(again(7)), listed(again(30))}, rollout.Status{}, false, false},
		{"another order is written", known, []store.Change{listed(again(7)), changed(again(11), order("s", "v3", 11, again(11), rollout.Status{}))}, rollout.Status{}, true, false},
		{"the backup holds more than the node knew", known, []store.Change{listed(again(22), order("s", "v2", 8, again(22), orderStatus(rollout.Reverted, 8, 4)))}, orderStatus(rollout.Reverted, 8, 4), true, false},
		{"another node wrote it back", known, []store.Change{listed(again(12), order("s", "v2", 8, again(9), orderStatus(rollout.InProgress, 8, 1))), changed(again(13), order("s", "v2", 8, again(13), orderStatus(rollout.InProgress, 8, 3)))}, orderStatus(rollout.InProgress, 8, 3), true, false},
		{"the operator orders it once more in the same era", reverted, []store.Change{changed(at(30), order("s", "v2", 30, at(30), rollout.Status{}))}, rollout.Status{}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := versionedNode()
			n.applyRollouts(listed(at(20), c.known))
			for _, change := range c.then {
				n.applyRollouts(change)
			}
			r, ok := n.rollouts.Load().Name("s")
			require.Equal(t, c.exists, ok)
			assert.Equal(t, c.want, r.Status)
			assert.Equal(t, c.lacks, r.MissingInStore)
		})
	}
}

// Guards against a status that stays lost: nodes that start would begin the order again.
func TestAStatusThatABackupLacksIsWrittenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copied := order("s", "v2", 8, store.At(2, 9), orderStatus(rollout.InProgress, 8, 1))
		s := &statusStore{object: copied}
		n := versionedNode()
		n.store = store.NewSourced(s, func() []store.Source { return nil })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n.applyRollouts(listed(store.At(1, 20), order("s", "v2", 8, store.At(1, 20), orderStatus(rollout.Reverted, 8, 4))))
		n.applyRollouts(listed(store.At(2, 12), copied))
		go n.writeOrdersBack(ctx, func(string) int { return 1 })
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		var held rollout.Status
		require.NoError(t, json.Unmarshal(s.object.Status, &held))
		assert.Equal(t, orderStatus(rollout.Reverted, 8, 4), held)
	})
}
