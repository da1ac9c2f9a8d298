// Package simulator has stand-ins for everything round the controllers: the
// network, the state service, the cloud, workers and users. They run in one
// process and under fake time, can delay, lose, reorder and cut, and a checker
// of its own watches the rules.
package simulator

import (
	"context"
	"errors"
	"io"
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
	zones     map[string]string // of hosts; those without are in none
	apart     map[string]bool   // zones that are cut off, with packets held
	still     map[string]bool   // hosts that nothing goes to or from, with packets held
}

// NewNet returns an empty network.
func NewNet() *Net {
	return &Net{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, cut: map[[2]string]bool{},
		zones: map[string]string{}, apart: map[string]bool{}, still: map[string]bool{},
	}
}

type addr string

func (a addr) Network() string { return "pipe" }
func (a addr) String() string  { return string(a) }

// conn is one end of a pipe that knows who is at both. What is written goes out
// in its order as soon as nothing holds it, even if the writer has closed.
type conn struct {
	net.Conn
	n             *Net
	local, remote string
	queue         [][]byte   // under n.mu
	closed        bool       // by its user
	changed       *sync.Cond // on n.mu: there is something to send, or it may go out now
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (c *conn) Write(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed || !c.n.conns[c] {
		return 0, io.ErrClosedPipe
	}
	c.queue = append(c.queue, append([]byte(nil), b...))
	c.changed.Signal()
	return len(b), nil
}

// Close closes this end for its user; the other end notices behind all that was
// written before.
func (c *conn) Close() error {
	c.n.mu.Lock()
	c.closed = true
	c.changed.Signal()
	c.n.mu.Unlock()
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// send carries what is written to the other end until the connection is over.
func (c *conn) send() {
	n := c.n
	for {
		n.mu.Lock()
		for n.conns[c] && (n.holds(c.local, c.remote) || len(c.queue) == 0 && !c.closed) {
			c.changed.Wait()
		}
		if !n.conns[c] || len(c.queue) == 0 {
			n.mu.Unlock()
			c.end()
			return
		}
		b := c.queue[0]
		c.queue = c.queue[1:]
		n.mu.Unlock()
		if _, err := c.Conn.Write(b); err != nil {
			c.end()
			return
		}
	}
}

// end ends the connection at once, as a reset does.
func (c *conn) end() {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.changed.Signal()
	c.n.mu.Unlock()
	_ = c.Conn.Close()
}

// holds reports whether packets between two hosts are held; n.mu is held.
func (n *Net) holds(a, b string) bool {
	if n.still[a] || n.still[b] {
		return true
	}
	za, zb := n.zones[a], n.zones[b]
	return za != zb && (n.apart[za] || n.apart[zb])
}

// Place says which zone a host is in.
func (n *Net) Place(host, zone string) {
	n.mu.Lock()
	n.zones[host] = zone
	n.mu.Unlock()
}

// CutZone cuts a zone off from everything, or mends it; packets are held
// meanwhile and arrive then.
func (n *Net) CutZone(zone string, cut bool) {
	n.mu.Lock()
	n.apart[zone] = cut
	n.release()
	n.mu.Unlock()
}

// Still has nothing go to or from a host, or lets it go on; packets are held
// meanwhile and arrive then.
func (n *Net) Still(host string, still bool) {
	n.mu.Lock()
	n.still[host] = still
	n.release()
	n.mu.Unlock()
}

// release has all connections look again at what is held; n.mu is held.
func (n *Net) release() {
	for c := range n.conns {
		c.changed.Signal()
	}
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
		l, cut := n.listeners[to], n.cut[[2]string{from, to}] || n.holds(from, to)
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
		ca := &conn{Conn: a, n: n, local: from, remote: to, changed: sync.NewCond(&n.mu)}
		cb := &conn{Conn: b, n: n, local: to, remote: from, changed: sync.NewCond(&n.mu)}
		n.mu.Lock()
		n.conns[ca], n.conns[cb] = true, true
		n.mu.Unlock()
		go ca.send()
		go cb.send()
		select {
		case l.accept <- cb:
			return ca, nil
		case <-l.done:
			ca.end()
			cb.end()
			return fail(errRefused)
		case <-ctx.Done():
			ca.end()
			cb.end()
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
		c.end()
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
