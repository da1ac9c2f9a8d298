// Package standin has stand-ins for everything round the controllers: the
// network, the state service, the cloud, workers and users. They run in one
// process and under fake time, can delay, lose, reorder and cut, and a checker
// of its own watches the rules.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"aspenstall/internal/netdial"
)

// Net is a network of pipes.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[[2]string]bool
}

// NewNet returns an empty network.
func NewNet() *Net {
	return &Net{listeners: map[string]*listener{}, conns: map[*conn]bool{}, cut: map[[2]string]bool{}}
}

type addr string

func (a addr) Network() string { return "pipe" }
func (a addr) String() string  { return string(a) }

// conn is one end of a pipe that knows who is at both.
type conn struct {
	net.Conn
	n             *Net
	local, remote string
	other         *conn
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }
func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}

type listener struct {
	n      *Net
	at     string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.n.mu.Lock()
		if l.n.listeners[l.at] == l {
			delete(l.n.listeners, l.at)
		}
		l.n.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.at) }

// Listen listens at an address.
func (n *Net) Listen(at string) net.Listener {
	l := &listener{n: n, at: at, accept: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[at] = l
	n.mu.Unlock()
	return l
}

var errRefused = errors.New("connection refused")

// Dialer dials as the host from.
func (n *Net) Dialer(from string) netdial.Func {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		fail := func(err error) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: addr(to), Err: err}
		}
		n.mu.Lock()
		l, cut := n.listeners[to], n.cut[[2]string{from, to}]
		n.mu.Unlock()
		if cut {
			// Silence; the dialler gives up by itself.
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
			return fail(context.DeadlineExceeded)
		}
		if l == nil {
			return fail(errRefused)
		}
		a, b := net.Pipe()
		ca := &conn{Conn: a, n: n, local: from, remote: to}
		cb := &conn{Conn: b, n: n, local: to, remote: from, other: ca}
		ca.other = cb
		n.mu.Lock()
		n.conns[ca], n.conns[cb] = true, true
		n.mu.Unlock()
		select {
		case l.accept <- cb:
			return ca, nil
		case <-l.done:
			_ = ca.Close()
			_ = cb.Close()
			return fail(errRefused)
		case <-ctx.Done():
			_ = ca.Close()
			_ = cb.Close()
			return fail(ctx.Err())
		}
	}
}

// Cut cuts or mends the way from one host to another, and back.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
	n.mu.Unlock()
	if cut {
		n.closeConns(func(c *conn) bool { return c.local == a && c.remote == b || c.local == b && c.remote == a })
	}
}

// Drop closes all connections of a host: its process has ended.
func (n *Net) Drop(host string) {
	n.closeConns(func(c *conn) bool { return c.local == host || c.remote == host })
}

// Close ends the network.
func (n *Net) Close() {
	n.mu.Lock()
	ls := make([]*listener, 0, len(n.listeners))
	for _, l := range n.listeners {
		ls = append(ls, l)
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	n.closeConns(func(*conn) bool { return true })
}

func (n *Net) closeConns(match func(*conn) bool) {
	n.mu.Lock()
	var hit []*conn
	for c := range n.conns {
		if match(c) {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		_ = c.Close()
	}
}

// Serve serves a handler at an address until the listener is closed.
func (n *Net) Serve(at string, h http.Handler) net.Listener {
	l := n.Listen(at)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l
}

// Client returns an HTTP client of the host from.
func (n *Net) Client(from string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dialer(from), DisableCompression: true}}
}
