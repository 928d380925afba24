package account

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// callAndWrite sends calls to all nodes at the same rate, rate tokens a second in total, while the nodes
// write the ledger one after the other.
func (d *restoreSim) callAndWrite(t *testing.T, length time.Duration, rate int) {
	const step = 50 * time.Millisecond
	for i := range int(length / step) {
		for _, n := range d.nodes {
			d.callOnce(n, int64(rate/len(d.nodes)/20))
		}
		_ = d.nodes[i%len(d.nodes)].syncer.sync(t.Context(), time.Now(), false)
		time.Sleep(step)
	}
}

// callOnce makes one call, which may use less than it reserved.
func (d *restoreSim) callOnce(n *simNode, mean int64) {
	tokens := mean + d.random.Int64N(mean)
	if n.allowance.Reserve(modelTenant, tokens, time.Now()) == Reserved {
		n.allowance.Settle(modelTenant, tokens, d.random.Int64N(tokens+1))
	}
}

// loseAll restarts all nodes and restores the store from the backup.
func (d *restoreSim) loseAll() {
	for _, n := range d.nodes {
		d.spentByEnded += spentOf(n.allowance)
		d.start(n)
	}
	d.restore()
}

// Guards against drawing tokens twice that were drawn after a backup was made, when no node that knows
// of it is left.
func TestDrawsSinceABackupCountWhereNoNodeIsLeft(t *testing.T) {
	for _, rate := range []int{1500, 4000, 9000} {
		t.Run(fmt.Sprint("tokens a second ", rate), func(t *testing.T) {
			over, used := 0, int64(0)
			const runs = 80
			for seed := range uint64(runs) {
				synctest.Test(t, func(t *testing.T) {
					d := newRestoreSim(seed)
					d.callAndWrite(t, time.Duration(1000+d.random.IntN(8000))*time.Millisecond, rate)
					d.makeBackup()
					d.callAndWrite(t, time.Duration(500+d.random.IntN(4500))*time.Millisecond, rate)
					d.loseAll()
					d.callAndWrite(t, 90*time.Second, rate)
					used += d.spent()
					if d.spent() > d.prepaid {
						over++
					}
				})
			}
			t.Logf("%d of %d runs exceeded the budget, %.2f of the budgets spent", over, runs, float64(used)/float64(runs*simPrepaid))
			assert.Zero(t, over)
		})
	}
}

// Guards against writing a ledger that no node accepts, after one with an excessive rate was restored.
func TestUnclaimedLedgerIsValid(t *testing.T) {
	for _, rate := range []int64{0, 1000, maxTokens} {
		ledger := Ledger{Accounts: []Account{{Tenant: modelTenant, ClosedDrawn: 50, Rate: rate}}}.WithUnclaimed(DefaultTuning())
		data, err := json.Marshal(ledger)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(data, &Ledger{}), rate)
	}
}

// Guards against drawing tokens twice where demand rises, or begins, after the backup was made: the ledger shows nothing of it.
func TestDemandThatRisesAfterABackupExceedsNoBudget(t *testing.T) {
	for _, c := range []struct{ before, after int }{{0, 2000}, {0, 20_000}, {400, 20_000}, {2000, 20_000}, {2000, 4000}} {
		t.Run(fmt.Sprint(c.before, " tokens a second, then ", c.after), func(t *testing.T) {
			over, used := 0, int64(0)
			const runs = 80
			for seed := range uint64(runs) {
				synctest.Test(t, func(t *testing.T) {
					d := newRestoreSim(seed)
					if c.before > 0 {
						d.callAndWrite(t, time.Duration(500+d.random.IntN(20_000))*time.Millisecond, c.before)
					}
					d.makeBackup()
					d.callAndWrite(t, time.Duration(500+d.random.IntN(5000))*time.Millisecond, c.after)
					d.loseAll()
					d.callAndWrite(t, 60*time.Second, c.after)
					used += d.spent()
					if d.spent() > d.prepaid {
						over++
					}
				})
			}
			t.Logf("%d of %d runs exceeded the budget, %.2f of the budgets spent", over, runs, float64(used)/float64(runs*simPrepaid))
			assert.Zero(t, over)
		})
	}
}
