package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against calls that wait although as many wait already as get a slot.
func TestWaitersAreBoundedByService(t *testing.T) {
	var w waiters
	assert.True(t, w.enter("s", 2))
	assert.True(t, w.enter("s", 2))
	assert.False(t, w.enter("s", 2))
	assert.True(t, w.enter("p", 1))
	w.leave("s")
	assert.True(t, w.enter("s", 2))
	assert.False(t, w.enter("s", 0))
}
