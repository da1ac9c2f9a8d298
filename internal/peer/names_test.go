package peer

import (
	"context"
	"net"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"

	"aspenstall/internal/core"
	"aspenstall/internal/golden"
	"aspenstall/internal/netdial"
	"aspenstall/internal/notify/control"
)

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
			golden.AllSet(t, c.name, c.value, nil)
			b, err := codec{}.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, c.name, b)
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := (codec{}).Unmarshal(golden.Pack(t, golden.Message(t, c.name)), back); err != nil || !reflect.DeepEqual(back, c.value) {
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
	golden.Compare(t, "empty status", b)
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
