package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"

	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/notify/control"
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
	b, err := msgpack.Marshal(numbers(v))
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

func TestNamesInMessages(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any // a pointer to it
	}{
		{"status", &Status{
			Node: "n", StateOK: true, WorkersReporting: true, Token: 1, Counts: []Counts{{Job: "job-2", Done: 3, Running: 4}}, Leader: "l", LeaderToken: 5,
			Revision: 6, LegacySeen: 7, Cancellations: []Cancellation{{Job: "job-8", Revision: 9, At: 10}}, CancellationsComplete: true, ConfigFormat: 11, ConfigRevision: 12,
			Incarnation: 13, Nonce: 14, EchoedNonce: 15, DelegatedAnswerAge: 16,
		}},
		{"ask", &ViewRequest{Jobs: []JobViewRequest{{Job: "job-1", FirstTask: 2}}, Limit: 3, Machines: true}},
		{"shown", &ViewResponse{
			Jobs:     []JobView{{Job: "job-1", Tasks: []core.TaskView{{Index: 2, Attempt: 3, Done: true, Machine: "m", State: core.Exited, Age: 5}}, More: true}},
			Machines: []core.MachineView{{Name: "mv", Type: "ty", Zone: "z", Spot: true, Ready: true}},
		}},
		{"notify ask", &control.Request{Op: "retry", Subscription: "s", Job: "job-1", Kind: "done"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			allSet(t, c.name, reflect.ValueOf(c.value), map[string]string{})
			b, err := codec{}.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			sameAsGolden(t, c.name, b)
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := (codec{}).Unmarshal(packed(t, golden(t, c.name)), back); err != nil || !reflect.DeepEqual(back, c.value) {
				t.Errorf("golden is read as %+v, %v", back, err)
			}
		})
	}
}

func TestEmptyStatus(t *testing.T) {
	b, err := codec{}.Marshal(&Status{})
	if err != nil {
		t.Fatal(err)
	}
	sameAsGolden(t, "empty status", b)
}

type handler struct{}

func (handler) ExchangeStatus(context.Context, *Status) (*Status, error) { return &Status{}, nil }
func (handler) Views(context.Context, *ViewRequest) (*ViewResponse, error) {
	return &ViewResponse{}, nil
}
func (handler) ControlNotifications(context.Context, *control.Request) (*control.Response, error) {
	return &control.Response{}, nil
}

// TestMethodNames checks that the server serves, and the client calls, the published method names.
func TestMethodNames(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = Serve(l, handler{}) }()
	c, err := Dial(l.Addr().String(), netdial.TCP(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var out map[string]any
	for _, method := range []string{"/aspenstall.Peer/Tell", "/aspenstall.Peer/Show", "/aspenstall.Peer/Notify"} {
		if err := c.conn.Invoke(t.Context(), method, map[string]any{}, &out); err != nil {
			t.Errorf("%s: %v", method, err)
		}
	}
	// Now the client: a server without services records the names of the methods that are called.
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var called []string
	s := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(stream)
		mu.Lock()
		called = append(called, method)
		mu.Unlock()
		return nil
	}))
	go func() { _ = s.Serve(other) }()
	defer s.Stop()
	c2, err := Dial(other.Addr().String(), netdial.TCP(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer c2.Close()
	_, _ = c2.ExchangeStatus(t.Context(), &Status{})
	_, _ = c2.Views(t.Context(), &ViewRequest{})
	_, _ = c2.ControlNotifications(t.Context(), &control.Request{})
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"/aspenstall.Peer/Tell", "/aspenstall.Peer/Show", "/aspenstall.Peer/Notify"}; !slices.Equal(called, want) {
		t.Errorf("called %q, want %q", called, want)
	}
	if encoding.GetCodec("msgpack") == nil || (codec{}).Name() != "msgpack" {
		t.Error("the codec has another name")
	}
}
