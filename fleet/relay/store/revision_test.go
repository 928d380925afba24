package store

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	inOrder := []Revision{0, At(0, 1), At(0, 300), At(1, 0), At(1, 7), At(2, 6), At(2, 8), At(MaxEra, MaxNumber)}
	for i, r := range inOrder[1:] {
		assert.Less(t, inOrder[i], r)
	}
	for _, r := range inOrder {
		assert.Equal(t, r, At(r.Era(), r.Number()))
	}
	assert.Equal(t, "6 in era 2", At(2, 6).String())
}

func TestARevisionIsOfAnEraBeforeALaterOne(t *testing.T) {
	assert.True(t, At(1, 9).IsOfEraBefore(At(2, 3)))
	assert.True(t, At(0, 9).IsOfEraBefore(At(1, 3)))
	assert.False(t, At(2, 3).IsOfEraBefore(At(2, 9)))
	assert.False(t, At(2, 3).IsOfEraBefore(At(1, 9)))
	assert.False(t, Revision(0).IsOfEraBefore(At(2, 9)), "no revision")
}

func TestRevisionPartsAreClamped(t *testing.T) {
	assert.Equal(t, At(MaxEra, MaxNumber), At(MaxEra+1, MaxNumber+1))
	assert.Equal(t, Revision(0), At(-1, -1))
}
