package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/core"
	"aspenstall/internal/notify"
	"aspenstall/internal/wire"
)

// These tests compare the names that leave the process with testdata/names.json. A rename of an
// identifier doesn't change that file. It holds messages as JSON; structs that are encoded without
// keys are lists.

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

// packed returns the MessagePack form of a JSON text.
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

// sameAsGolden compares an encoded message with the golden one.
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
		t.Fatalf("no golden %q; encoded: %s", name, got)
	}
	if want.String() != string(got) {
		t.Errorf("encoded\n%s, want\n%s", got, want.String())
	}
}

// allSet checks that every field of v is set, and that no two fields except booleans have the same
// value. seen holds the paths of the values so far.
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

func TestKeys(t *testing.T) {
	got := []string{watchedPrefix, leaderKey, catalogKey, jobPrefix, outboxPrefix, marksKey, chunkPrefix, deadLetterPrefix}
	want := []string{"c/", "c/leader", "c/catalog", "c/job/", "o/", "o/marks", "o/set/", "o/dead/"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestOutboxNames(t *testing.T) {
	letter := notify.DeadLetter{Subscription: "s", Reason: "w", Event: notify.Event{Job: "job-1", Team: "t", Class: "c", Kind: notify.Done, Revision: 2, At: 3}}
	record := &deadLetterRecord{Sub: "s", Job: "job-1", Team: "t", Class: "c", Kind: "done", Revision: 2, At: 3, Why: "w"}
	allSet(t, "dead letter", reflect.ValueOf(*record), map[string]string{})
	allSet(t, "dead letter", reflect.ValueOf(letter), map[string]string{})

	n := &Node{started: time.Now(), log: slog.New(slog.DiscardHandler)}
	n.committer = committer{n: n, backgroundNotBefore: core.MaxMicros} // it sends nothing
	n.saveOutbox(&term{}, nil, notify.Save{
		ID: 1, Watermarks: []notify.Watermark{{Subscription: "s", Revision: 4}, {Subscription: "q", Revision: 5}},
		PutChunks:      []notify.Chunk{{ChunkKey: notify.ChunkKey{Subscription: "s", Chunk: 6}, Bitmap: bitmap}},
		DeleteChunks:   []notify.ChunkKey{{Subscription: "s", Chunk: 7}},
		PutDeadLetters: []notify.DeadLetter{letter}, DeleteDeadLetters: []notify.DeadLetter{{Subscription: "s", Event: notify.Event{Job: "job-8", Kind: notify.Cancelled}}},
	})
	var got []string
	for _, op := range n.committer.backgroundQueue[0].ops {
		got = append(got, op.Put+op.Delete)
		switch op.Put {
		case "o/marks", "o/set/s/6", "o/dead/s/job-1.done":
			sameAsGolden(t, op.Put, op.Value)
		}
	}
	if want := []string{"o/marks", "o/set/s/6", "o/dead/s/job-1.done", "o/set/s/7", "o/dead/s/job-8.cancelled"}; !reflect.DeepEqual(got, want) {
		t.Errorf("keys %q, want %q", got, want)
	}

	box := notify.New(notify.Config{Subscriptions: []notify.Subscription{{Name: "s", Receiver: "r"}}, Receivers: []notify.Receiver{{Name: "r"}}})
	for _, key := range []string{"o/dead/s/job-1.done", "o/set/s/6"} {
		if err := loadOutboxRecord(box, wire.Entry{Key: key, Value: packed(t, golden(t, key))}); err != nil {
			t.Error(err)
		}
	}
	if got := box.DeadLetters("s"); !reflect.DeepEqual(got, []notify.DeadLetter{letter}) {
		t.Errorf("golden is read as %+v", got)
	}
}

// bitmap is the stored bitmap of a chunk that contains one revision.
const bitmap = "OjAAAAEAAAAAAAAAEAAAAGQA"
