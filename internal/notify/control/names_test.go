package control

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

// Encoded messages are compared with testdata/names.json. Tools that rename identifiers do not
// change that file, so a changed field name or tag fails the test. The file has messages as JSON,
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
	b, err := msgpack.Marshal(numbers(v))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// numbers converts the json.Number values in decoded JSON to integers or floats, and the strings
// that hold a time to times.
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
	case string:
		if at, err := time.Parse(time.RFC3339Nano, v); err == nil {
			return at // MessagePack has a time type
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

// sameAsGolden compares an encoded message with the golden entry of a name.
func sameAsGolden(t *testing.T, name string, b []byte) {
	t.Helper()
	var v any
	if err := msgpack.Unmarshal(b, &v); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(inUTC(v))
	if err != nil {
		t.Fatal(err)
	}
	same(t, name, got)
}

// inUTC converts the times in a decoded message to UTC.
func inUTC(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = inUTC(v[k])
		}
	case []any:
		for i := range v {
			v[i] = inUTC(v[i])
		}
	case time.Time:
		return v.UTC()
	}
	return v
}

// same compares JSON with the golden entry of a name.
func same(t *testing.T, name string, got []byte) {
	t.Helper()
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
	if v.Type() == reflect.TypeFor[time.Time]() {
		if v.IsZero() {
			t.Errorf("%s is not set", path)
		}
		return
	}
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
	at := time.Unix(4, 5000).UTC()
	for _, c := range []struct {
		name  string
		value any // a pointer to it
	}{
		{"ask", &Request{Op: Retry, Subscription: "s", Job: "job-1", Kind: "done"}},
		{"answer", &Response{
			Subscriptions: []SubscriptionStatus{{Name: "n", Receiver: "r", Waiting: 1, More: true, DeadLetters: 2}},
			DeadLetters:   []DeadLetter{{Subscription: "s", Job: "job-3", Kind: "done", At: at, Key: "y", Reason: "w"}},
			Succeeded:     true,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			allSet(t, c.name, reflect.ValueOf(c.value), map[string]string{})
			b, err := msgpack.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			sameAsGolden(t, c.name, b)
			text, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			same(t, c.name+" as JSON", text)
			fromText := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := json.Unmarshal(golden(t, c.name+" as JSON"), fromText); err != nil || !reflect.DeepEqual(fromText, c.value) {
				t.Errorf("golden JSON is decoded as %+v, %v", fromText, err)
			}
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := msgpack.Unmarshal(packed(t, golden(t, c.name)), back); err != nil || !reflect.DeepEqual(utc(back), c.value) {
				t.Errorf("golden MessagePack is decoded as %+v, %v", back, err)
			}
		})
	}
}

// utc converts the times of a response to UTC: MessagePack does not encode the time zone.
func utc(v any) any {
	if a, ok := v.(*Response); ok {
		for i := range a.DeadLetters {
			a.DeadLetters[i].At = a.DeadLetters[i].At.UTC()
		}
	}
	return v
}

func TestOperationNames(t *testing.T) {
	if got, want := []Op{List, Show, Retry, Drop}, []Op{"list", "show", "retry", "drop"}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if Path != "/notify" {
		t.Errorf("path %q", Path)
	}
}
