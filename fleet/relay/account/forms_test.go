package account

import (
	"testing"

	"github.com/lynxshed/lynxshed/fleet/formtest"
)

// The ledger outlasts each build: two of them read and write it by turns while VMs are
// replaced.
func TestFormsBetweenBuilds(t *testing.T) {
	formtest.Check(t, "ledger", &Ledger{}, Ledger{Accounts: []Account{
		{Tenant: "a", ClosedDrawn: 5, ClosedSpent: 3, ClosedGranted: 1, Rows: []Row{{Node: "n", Life: "l1", Drawn: 9, Spent: 4, Granted: 2}, {Node: "m", Life: "l2", Drawn: 1}}},
		{Tenant: "b", Rows: []Row{{Node: "n", Life: "l1", Drawn: 7}}},
	}})
}
