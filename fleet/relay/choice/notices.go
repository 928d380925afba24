package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
)

// Notice takes in what the endpoint says in an answer to this node.
func (t *Placement) Notice(n call.Notice, now time.Time) {
	if t.picker.notices != nil {
		t.picker.notices.Saw(t.Engine, n, now)
	}
}
