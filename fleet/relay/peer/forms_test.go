package peer

import (
	"testing"

	"github.com/lynxshed/lynxshed/fleet/formtest"
)

// Nodes of two builds run side by side while VMs are replaced. Each must understand what the
// other sends or stores.
func TestFormsBetweenBuilds(t *testing.T) {
	formtest.Check(t, "message", &message{}, nil)
	formtest.Check(t, "member", &Member{}, nil)
	formtest.Check(t, "objects", &objectsAnswer{}, nil)
}
