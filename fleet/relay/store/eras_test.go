package store

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNewEraIsReportedOnce(t *testing.T) {
	e := NewEras()
	var reported [][2]int64
	e.OnRise(func(before, now int64) { reported = append(reported, [2]int64{before, now}) })
	for _, era := range []int64{3, 3, 4, 3, 4, 6} {
		e.Observe(era)
	}
	assert.Equal(t, [][2]int64{{3, 4}, {4, 6}}, reported, "the first observed era is not a new one")
	assert.EqualValues(t, 6, e.Newest())
}
