// Package golden compares encoded messages and records with testdata/names.json of the package under
// test. A rename of an identifier does not change that file, so a changed name or tag of a field fails
// the test. The file holds messages as JSON, with lists for structs that are encoded without keys.
package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// path is the file of the package under test.
const path = "testdata/names.json"

// Message returns the message of a name.
func Message(t testing.TB, name string) json.RawMessage {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(b, &all); err != nil {
		t.Fatal(err)
	}
	return all[name]
}

// Pack returns the MessagePack form of a JSON text. Numbers without a fraction become integers, and
// strings that hold a time become times.
func Pack(t testing.TB, text []byte) []byte {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		t.Fatal(err)
	}
	b, err := msgpack.Marshal(convertLeaves(v, packLeaf))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// packLeaf converts a decoded JSON value that has no parts.
func packLeaf(v any) any {
	switch v := v.(type) {
	case string:
		if at, err := time.Parse(time.RFC3339Nano, v); err == nil {
			return at
		}
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, _ := v.Float64()
		return f
	}
	return v
}

// inUTC converts a decoded time to UTC: MessagePack does not encode the time zone.
func inUTC(v any) any {
	if at, ok := v.(time.Time); ok {
		return at.UTC()
	}
	return v
}

// convertLeaves converts the values in v that have no parts.
func convertLeaves(v any, convert func(any) any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = convertLeaves(v[k], convert)
		}
		return v
	case []any:
		for i := range v {
			v[i] = convertLeaves(v[i], convert)
		}
		return v
	}
	return convert(v)
}

// Compare compares an encoded message with the one of a name.
func Compare(t testing.TB, name string, encoded []byte) {
	t.Helper()
	var v any
	if err := msgpack.Unmarshal(encoded, &v); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(convertLeaves(v, inUTC))
	if err != nil {
		t.Fatal(err)
	}
	CompareJSON(t, name, got)
}

// CompareJSON compares a JSON text with the message of a name.
func CompareJSON(t testing.TB, name string, got []byte) {
	t.Helper()
	var want bytes.Buffer
	if err := json.Compact(&want, Message(t, name)); err != nil {
		t.Fatalf("%s has no entry %q; encoded: %s", path, name, got)
	}
	if want.String() != string(got) {
		t.Errorf("encoded\n%s, want\n%s", got, want.String())
	}
}

// AllSet checks that every field of v is set, and that no two fields except booleans have the same
// value: otherwise Compare would miss fields that are left out or exchanged. Fields that are not
// encoded, and those for which skip returns true, are passed over; skip may be nil.
func AllSet(t testing.TB, name string, v any, skip func(parent reflect.Type, field reflect.StructField) bool) {
	t.Helper()
	c := fieldChecker{t, skip, map[string]string{}}
	c.check(name, reflect.ValueOf(v))
}

// fieldChecker checks the fields of one value.
type fieldChecker struct {
	t    testing.TB
	skip func(parent reflect.Type, field reflect.StructField) bool
	seen map[string]string // the path of each value
}

// check checks a value at a path.
func (c *fieldChecker) check(path string, v reflect.Value) {
	c.t.Helper()
	if at, ok := v.Interface().(time.Time); ok {
		if at.IsZero() {
			c.t.Errorf("%s is not set", path)
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); !c.skips(v.Type(), field) {
				c.check(path+"."+field.Name, v.Field(i))
			}
		}
	case reflect.Pointer:
		if v.IsNil() {
			c.t.Errorf("%s is not set", path)
			return
		}
		c.check(path, v.Elem())
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			c.t.Errorf("%s is empty", path)
		}
		if v.Kind() == reflect.Map || v.Type() == reflect.TypeFor[msgpack.RawMessage]() {
			return
		}
		for i := range v.Len() {
			c.check(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	default:
		c.checkLeaf(path, v)
	}
}

// skips reports whether a field is passed over.
func (c *fieldChecker) skips(parent reflect.Type, field reflect.StructField) bool {
	return field.Name == "_msgpack" || field.Tag.Get("msgpack") == "-" || c.skip != nil && c.skip(parent, field)
}

// checkLeaf checks a value without parts.
func (c *fieldChecker) checkLeaf(path string, v reflect.Value) {
	c.t.Helper()
	if v.IsZero() {
		c.t.Errorf("%s is not set", path)
	}
	s := fmt.Sprint(v)
	if other := c.seen[s]; other != "" && v.Kind() != reflect.Bool {
		c.t.Errorf("%s and %s have the same value", path, other)
	}
	c.seen[s] = path
}
