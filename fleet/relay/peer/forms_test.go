package peer

import (
	"testing"

	"github.com/lynxshed/lynxshed/fleet/formtest"
)

// Nodes of two builds run side by side while VMs are replaced: what one tells the other, or
// leaves in the store, is understood both ways.
func TestFormsBetweenBuilds(t *testing.T) {
	formtest.Check(t, "message", &message{}, nil)
	formtest.Check(t, "member", &Member{}, nil)
	formtest.Check(t, "objects", &objectsAnswer{}, nil)
}
