// Package formtest checks, in tests, that the JSON forms of messages and stored objects are
// compatible between builds: this build reads the forms of earlier builds, and readers that know
// only the earlier fields can read the forms of this build.
//
// The form of an earlier build, with every field set, is testdata/forms/COMMIT/NAME.json in the
// package that owns it. LYNXSHED_WRITE_FORMS=COMMIT writes the forms of this build.
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

// Check compares a form, given as a pointer to its type, with the forms of all earlier builds
// under the name. If write is not nil, it is the form as this build writes it, with every field
// set; otherwise Check sets each field by reflection.
func Check(t *testing.T, name string, form any, write any) {
	t.Helper()
	if write == nil {
		write = reflect.New(reflect.TypeOf(form).Elem()).Interface()
		fill(reflect.ValueOf(write).Elem())
	}
	current, err := json.MarshalIndent(write, "", "\t")
	require.NoError(t, err)
	if build := os.Getenv("LYNXSHED_WRITE_FORMS"); build != "" {
		require.NoError(t, os.MkdirAll(filepath.Join(root, build), 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(root, build, name+".json"), append(current, '\n'), 0o644))
	}
	earlier, err := filepath.Glob(filepath.Join(root, "*", name+".json"))
	require.NoError(t, err)
	require.NotEmpty(t, earlier, "no form of an earlier build")
	for _, file := range earlier {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		decoded := reflect.New(reflect.TypeOf(form).Elem()).Interface()
		require.NoError(t, json.Unmarshal(data, decoded), "%s can't be decoded", file)
		encoded, err := json.Marshal(decoded)
		require.NoError(t, err)
		for _, difference := range differences(decodeAny(t, data), decodeAny(t, encoded), "", true) {
			assert.Fail(t, "this build does not read a form of an earlier one", "%s: %s", file, difference)
		}
		for _, difference := range differences(decodeAny(t, data), decodeAny(t, current), "", false) {
			assert.Fail(t, "an earlier build would not read the form of this one", "%s: %s", file, difference)
		}
	}
}

func decodeAny(t *testing.T, data []byte) any {
	t.Helper()
	var v any
	require.NoError(t, json.Unmarshal(data, &v))
	return v
}

// differences lists what form has and other lacks or has with another type. If values is set,
// it also lists different values.
func differences(form, other any, path string, values bool) []string {
	if form == nil {
		return nil
	}
	if reflect.TypeOf(form) != reflect.TypeOf(other) {
		return []string{fmt.Sprintf("%s is %T, not %T", path, other, form)}
	}
	var found []string
	switch form := form.(type) {
	case map[string]any:
		for key, value := range form {
			found = append(found, differences(value, other.(map[string]any)[key], path+"."+key, values)...)
		}
	case []any:
		others := other.([]any)
		for i, value := range form {
			if i >= len(others) {
				return append(found, fmt.Sprintf("%s[%d] is missing", path, i))
			}
			found = append(found, differences(value, others[i], fmt.Sprintf("%s[%d]", path, i), values)...)
		}
	default:
		if values && form != other {
			found = append(found, fmt.Sprintf("%s is %v, not %v", path, other, form))
		}
	}
	return found
}

// sample is the value of fields that decode from text; some accept only hexadecimal numbers.
const sample = "00112233445566778899aabbccddeeff"

// fill sets every field of a form, so that the encoding omits none as empty.
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
