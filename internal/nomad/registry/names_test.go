package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/wire"
)

// Encoded records are compared with testdata/names.json. Tools that rename identifiers do not
// change that file, so a changed field name or tag fails the test. The file has records as JSON,
// with lists for structs that are encoded without keys.

// golden returns the entry of a name in testdata/names.json.
func golden(t *testing.T, name string) json.RawMessage {
	t.Helper()
	b, err := os.ReadFile("testdata/names.json")
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(b, &all); err != nil {
		t.Fatal(err)
	}
	return all[name]
}

// packed converts JSON to MessagePack.
func packed(t *testing.T, text []byte) []byte {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		t.Fatal(err)
	}
	b, err := wire.Marshal(numbers(v))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// numbers converts the json.Number values in decoded JSON to integers or floats.
func numbers(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = numbers(v[k])
		}
	case []any:
		for i := range v {
			v[i] = numbers(v[i])
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

// sameAsGolden compares an encoded record with the golden entry of a name.
func sameAsGolden(t *testing.T, name string, b []byte) {
	t.Helper()
	var v any
	if err := msgpack.Unmarshal(b, &v); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := json.Compact(&want, golden(t, name)); err != nil {
		t.Fatalf("testdata/names.json has no entry %q; encoded: %s", name, got)
	}
	if want.String() != string(got) {
		t.Errorf("encoded\n%s, want\n%s", got, want.String())
	}
}

// allSet checks that every field has a value, and that no two fields have the same value, apart
// from booleans. Otherwise the comparison would miss omitted or exchanged fields.
func allSet(t *testing.T, path string, v reflect.Value, seen map[string]string) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; name != "_msgpack" {
				allSet(t, path+"."+name, v.Field(i), seen)
			}
		}
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s is not set", path)
			return
		}
		allSet(t, path, v.Elem(), seen)
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		if v.Kind() == reflect.Map || v.Type() == reflect.TypeFor[msgpack.RawMessage]() {
			return
		}
		for i := range v.Len() {
			allSet(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i), seen)
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is not set", path)
		}
		s := fmt.Sprint(v)
		if other := seen[s]; other != "" && v.Kind() != reflect.Bool {
			t.Errorf("%s and %s have the same value", path, other)
		}
		seen[s] = path
	}
}

func TestNamesInMessages(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any // a pointer to it
	}{
		{"head", &jobRecord{
			Team: "t", ID: "i", Version: 1, Groups: []Group{{Name: "n", Native: "job-2", Digest: "d"}}, Stopped: true, At: 3, Create: 4, Before: 5,
			Stub: Stub{Title: "ti", Type: "ty", Priority: 6, Datacenters: []string{"dc"}},
		}},
		{"gone", &purgeRecord{Team: "t"}},
		{"source", &sourceRecord{Packed: "p", At: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			allSet(t, c.name, reflect.ValueOf(c.value), map[string]string{})
			b, err := wire.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			sameAsGolden(t, c.name, b)
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := wire.Unmarshal(packed(t, golden(t, c.name)), back); err != nil || !reflect.DeepEqual(back, c.value) {
				t.Errorf("golden record is decoded as %+v, %v", back, err)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{Prefix, "c/nomad/"}, {jobPrefix, "c/nomad/job/"}, {sourcePrefix, "c/nomad/src/"}, {purgePrefix, "c/nomad/gone/"},
		{sourceKey("k", 7), "c/nomad/src/k/7"},
		{teamPurgeKey("team"), "c/nomad/gone/ca8b22d0db83a22db163b560b3e4e51527e533d31d067b614a0c33c4d2df8432"},
		{purgeKey(Name{Team: "team", ID: "id"}), "c/nomad/gone/ca8b22d0db83a22db163b560b3e4e51527e533d31d067b614a0c33c4d2df8432/8"},
		{jobKey(Name{Team: "team", ID: "id"}), "8197593ea53d657dd9b172c882835d774964eabc472b342c4e1e488197f10538"},
	} {
		if c.got != c.want {
			t.Errorf("got %q, want %q", c.got, c.want)
		}
	}
}

// A source that an earlier version packed can be unpacked.
func TestUnpackEarlierSource(t *testing.T) {
	if b, err := Unpack("q1bydFGyUkpUqgUA"); err != nil || string(b) != `{"ID":"a"}` {
		t.Errorf("got %q, %v", b, err)
	}
}
