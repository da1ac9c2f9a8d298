package control

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/golden"
)

// Encoded messages are compared with testdata/names.json. Tools that rename identifiers do not
// change that file, so a changed field name or tag fails the test. The file has messages as JSON,
// with lists for structs that are encoded without keys.

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
			golden.AllSet(t, c.name, c.value, nil)
			b, err := msgpack.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, c.name, b)
			text, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.CompareJSON(t, c.name+" as JSON", text)
			fromText := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := json.Unmarshal(golden.Message(t, c.name+" as JSON"), fromText); err != nil || !reflect.DeepEqual(fromText, c.value) {
				t.Errorf("golden JSON is decoded as %+v, %v", fromText, err)
			}
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := msgpack.Unmarshal(golden.Pack(t, golden.Message(t, c.name)), back); err != nil || !reflect.DeepEqual(utc(back), c.value) {
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
