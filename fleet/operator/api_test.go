package operator

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/problem"
)

// A refusal must be encoded like its problem, by a type that embeds nothing: huma can't link a
// schema to a type that embeds one with methods.
func TestARefusalIsAnsweredAsItsProblem(t *testing.T) {
	p := problem.New(problem.NotFound, "no such row").At("table", "main")
	var answered huma.StatusError
	require.True(t, errors.As(refusal(p), &answered))
	assert.Equal(t, p.Status, answered.GetStatus())
	assert.Equal(t, p.Error(), answered.Error())
	want, err := json.Marshal(p)
	require.NoError(t, err)
	got, err := json.Marshal(answered)
	require.NoError(t, err)
	assert.JSONEq(t, string(want), string(got))
	for field := range reflect.TypeOf(answered).Fields() {
		assert.False(t, field.Anonymous, field.Name)
	}
}
