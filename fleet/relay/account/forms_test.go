package account

import (
	"testing"

	"github.com/lynxshed/lynxshed/fleet/formtest"
)

// Guards against a stored form that another build can't read: two builds read and write the
// ledger while VMs are replaced.
func TestFormsBetweenBuilds(t *testing.T) {
	formtest.Check(t, "ledger", &Ledger{}, Ledger{Accounts: []Account{
		{Tenant: "a", ClosedDrawn: 5, ClosedSpent: 3, ClosedGranted: 1, Rows: []Row{{Node: "n", Incarnation: "l1", Drawn: 9, Spent: 4, Granted: 2}, {Node: "m", Incarnation: "l2", Drawn: 1}}},
		{Tenant: "b", Rows: []Row{{Node: "n", Incarnation: "l1", Drawn: 7}}},
	}})
}
