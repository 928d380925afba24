package engine

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an endpoint that has restarted and counts as of the version in an outdated entry, also after its entry is known.
func TestStreamVersion(t *testing.T) {
	assert.Equal(t, "1", Engine{ID: "e", Born: 7, Version: "1"}.StreamVersion())
	restarted := Engine{ID: "e", Born: 8, Version: "1", Unread: true}
	unread := "unread version of e started at 8"
	assert.Equal(t, unread, restarted.StreamVersion())
	before := NewDirectory(1, []Engine{restarted})
	assert.Equal(t, unread, before.ResolveVersion(unread), "not known yet")
	assert.Equal(t, "1", before.ResolveVersion("1"))
	after := NewDirectory(2, []Engine{{ID: "e", Born: 8, Version: "2"}, {ID: "f", Version: "3"}})
	assert.Equal(t, "2", after.ResolveVersion(unread))
	assert.Equal(t, "unread version of f started at 0", after.ResolveVersion("unread version of f started at 0"), "nobody told")
}
