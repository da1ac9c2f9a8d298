package deliver

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"aspenstall/internal/netdial"
	"aspenstall/internal/notify"
)

// resetConnection ends a request's connection with a TCP reset and without a response.
func resetConnection(t *testing.T, w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// TestLostResponseOnReusedConnection guards against a second POST within one attempt: the HTTP
// transport repeats a request that it takes for idempotent when a reused connection ends before the
// response. The outcome must be Unknown, also if the receiver accepts no connection afterwards.
func TestLostResponseOnReusedConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		lookup bool // the attempt's own key lookup opens the connection, otherwise an earlier delivery
		lose   func(t *testing.T, w http.ResponseWriter, srv *httptest.Server)
	}{
		{"closed after a delivery", false, func(*testing.T, http.ResponseWriter, *httptest.Server) { panic(http.ErrAbortHandler) }},
		{"closed after a key lookup", true, func(*testing.T, http.ResponseWriter, *httptest.Server) { panic(http.ErrAbortHandler) }},
		{"reset after a delivery", false, func(t *testing.T, w http.ResponseWriter, _ *httptest.Server) { resetConnection(t, w) }},
		{"reset after a key lookup", true, func(t *testing.T, w http.ResponseWriter, _ *httptest.Server) { resetConnection(t, w) }},
		{"receiver stops after a delivery", false, func(t *testing.T, w http.ResponseWriter, srv *httptest.Server) {
			_ = srv.Listener.Close()
			resetConnection(t, w)
		}},
		{"receiver stops after a key lookup", true, func(t *testing.T, w http.ResponseWriter, srv *httptest.Server) {
			_ = srv.Listener.Close()
			resetConnection(t, w)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var effects atomic.Int32
			var losing atomic.Bool
			var srv *httptest.Server
			srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				effects.Add(1)
				if losing.Load() {
					c.lose(t, w, srv)
				}
			}))
			defer srv.Close()
			receiver := Receiver{URL: srv.URL}
			send := testSend
			if c.lookup {
				receiver.LookupURL = srv.URL + "/seen"
				send.PossiblyDelivered = true
			}
			s := newTestSender(t, receiver)
			if !c.lookup {
				if out, _ := s.Send(t.Context(), send, 1, leading); out != notify.Delivered {
					t.Fatalf("the earlier delivery had outcome %d", out)
				}
				effects.Store(0)
			}
			losing.Store(true)
			out, _ := s.Send(t.Context(), send, 1, leading)
			if out != notify.Unknown || effects.Load() != 1 {
				t.Errorf("outcome %d, %d effects; want outcome %d and 1 effect", out, effects.Load(), notify.Unknown)
			}
		})
	}
}

// closeNotifyingConn is a client's connection that reports when the client closes it.
type closeNotifyingConn struct {
	net.Conn
	closed chan<- struct{}
}

func (c closeNotifyingConn) Close() error {
	err := c.Conn.Close()
	c.closed <- struct{}{}
	return err
}

// TestIdleConnectionClosedByReceiver guards against taking a delivery for one in doubt because the
// receiver has closed the idle connection of the one before.
func TestIdleConnectionClosedByReceiver(t *testing.T) {
	const deliveries = 20
	var posts atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		posts.Add(1)
	}))
	srv.Config.IdleTimeout = time.Millisecond
	srv.Start()
	defer srv.Close()
	closed := make(chan struct{}, deliveries)
	dial := netdial.TCP(time.Second)
	s := New(Receiver{URL: srv.URL}, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return closeNotifyingConn{conn, closed}, err
	})
	for range deliveries {
		if out, _ := s.Send(t.Context(), testSend, 1, leading); out != notify.Delivered {
			t.Errorf("outcome %d", out)
		}
		<-closed
	}
	if posts.Load() != deliveries {
		t.Errorf("%d POSTs for %d deliveries", posts.Load(), deliveries)
	}
}
