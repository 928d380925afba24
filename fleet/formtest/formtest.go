// Package formtest checks, for tests, that forms which cross a process or outlive one are
// understood between builds: earlier builds' forms by this one, and this one's by readers
// that know the earlier fields alone.
//
// A form of an earlier build lies in testdata/forms/COMMIT/NAME.json of the package that
// owns it, with every field set. LYNXSHED_WRITE_FORMS=COMMIT writes those of this build.
package formtest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const root = "testdata/forms"

// Check compares a form, given as a pointer to its type, with all earlier builds' under a
// name. Where write is not nil it is the form as this build writes it, with every field
// set; else each field is set by reflection.
func Check(t *testing.T, name string, form any, write any) {
	t.Helper()
	if write == nil {
		write = reflect.New(reflect.TypeOf(form).Elem()).Interface()
		fill(reflect.ValueOf(write).Elem())
	}
	now, err := json.MarshalIndent(write, "", "\t")
	require.NoError(t, err)
	if build := os.Getenv("LYNXSHED_WRITE_FORMS"); build != "" {
		require.NoError(t, os.MkdirAll(filepath.Join(root, build), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(root, build, name+".json"), append(now, '\n'), 0o644))
	}
	earlier, err := filepath.Glob(filepath.Join(root, "*", name+".json"))
	require.NoError(t, err)
	require.NotEmpty(t, earlier, "no form of an earlier build")
	for _, file := range earlier {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		read := reflect.New(reflect.TypeOf(form).Elem()).Interface()
		require.NoError(t, json.Unmarshal(data, read), "%s is not read", file)
		again, err := json.Marshal(read)
		require.NoError(t, err)
		for _, lost := range missing(decoded(t, data), decoded(t, again), "", true) {
			assert.Fail(t, "this build does not take in what an earlier one tells", "%s: %s", file, lost)
		}
		for _, lost := range missing(decoded(t, data), decoded(t, now), "", false) {
			assert.Fail(t, "an earlier build would not understand this one", "%s: %s", file, lost)
		}
	}
}

func decoded(t *testing.T, data []byte) any {
	t.Helper()
	var v any
	require.NoError(t, json.Unmarshal(data, &v))
	return v
}

// missing names what one form has and another has not, or has of another kind; with values,
// or with another value.
func missing(one, other any, at string, values bool) []string {
	if one == nil {
		return nil
	}
	if reflect.TypeOf(one) != reflect.TypeOf(other) {
		return []string{fmt.Sprintf("%s is %T, not %T", at, other, one)}
	}
	var lost []string
	switch one := one.(type) {
	case map[string]any:
		for key, value := range one {
			lost = append(lost, missing(value, other.(map[string]any)[key], at+"."+key, values)...)
		}
	case []any:
		others := other.([]any)
		for i, value := range one {
			if i >= len(others) {
				return append(lost, fmt.Sprintf("%s[%d] is missing", at, i))
			}
			lost = append(lost, missing(value, others[i], fmt.Sprintf("%s[%d]", at, i), values)...)
		}
	default:
		if values && one != other {
			lost = append(lost, fmt.Sprintf("%s is %v, not %v", at, other, one))
		}
	}
	return lost
}

// sample is what a field of text is set to: some read no text but numbers in hex.
const sample = "00112233445566778899aabbccddeeff"

// fill sets everything that a form can say, so that no field is left out for being empty.
func fill(v reflect.Value) {
	if v.CanAddr() {
		if text, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error }); ok && text.UnmarshalText([]byte(sample)) == nil {
			return
		}
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			v.SetBytes([]byte(`{"x":1}`))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(0.5)
	}
}
