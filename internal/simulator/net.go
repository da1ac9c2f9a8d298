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
	mu               sync.Mutex
	listeners        map[string]*listener
	conns            map[*conn]bool
	blockedLinks     map[[2]string]bool
	hostZones        map[string]string // of hosts; those without are in none
	partitionedZones map[string]bool   // zones that are cut off, with packets held
	frozenHosts      map[string]bool   // hosts that nothing goes to or from, with packets held
}

// NewNet returns an empty network.
func NewNet() *Net {
	return &Net{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, blockedLinks: map[[2]string]bool{},
		hostZones: map[string]string{}, partitionedZones: map[string]bool{}, frozenHosts: map[string]bool{},
	}
}

type addr string

func (a addr) Network() string { return "pipe" }
func (a addr) String() string  { return string(a) }

// conn is one end of a pipe that knows who is at both. What is written goes out
// in its order as soon as nothing holds it, even if the writer has closed.
type conn struct {
	net.Conn
	network       *Net
	local, remote string
	queue         [][]byte   // under n.mu
	closed        bool       // by its user
	changed       *sync.Cond // on n.mu: there is something to send, or it may go out now
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed || !c.network.conns[c] {
		return 0, io.ErrClosedPipe
	}
	c.queue = append(c.queue, append([]byte(nil), b...))
	c.changed.Signal()
	return len(b), nil
}

// Close closes this end for its user; the other end notices behind all that was
// written before.
func (c *conn) Close() error {
	c.network.mu.Lock()
	c.closed = true
	c.changed.Signal()
	c.network.mu.Unlock()
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// send carries what is written to the other end until the connection is over.
func (c *conn) sendLoop() {
	n := c.network
	for {
		n.mu.Lock()
		for n.conns[c] && (n.holdsPackets(c.local, c.remote) || len(c.queue) == 0 && !c.closed) {
			c.changed.Wait()
		}
		if !n.conns[c] || len(c.queue) == 0 {
			n.mu.Unlock()
			c.reset()
			return
		}
		b := c.queue[0]
		c.queue = c.queue[1:]
		n.mu.Unlock()
		if _, err := c.Conn.Write(b); err != nil {
			c.reset()
			return
		}
	}
}

// end ends the connection at once, as a reset does.
func (c *conn) reset() {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.changed.Signal()
	c.network.mu.Unlock()
	_ = c.Conn.Close()
}

// holds reports whether packets between two hosts are held; n.mu is held.
func (n *Net) holdsPackets(a, b string) bool {
	if n.frozenHosts[a] || n.frozenHosts[b] {
		return true
	}
	za, zb := n.hostZones[a], n.hostZones[b]
	return za != zb && (n.partitionedZones[za] || n.partitionedZones[zb])
}

// Place says which zone a host is in.
func (n *Net) SetZone(host, zone string) {
	n.mu.Lock()
	n.hostZones[host] = zone
	n.mu.Unlock()
}

// CutZone cuts a zone off from everything, or mends it; packets are held
// meanwhile and arrive then.
func (n *Net) PartitionZone(zone string, cut bool) {
	n.mu.Lock()
	n.partitionedZones[zone] = cut
	n.wakeConns()
	n.mu.Unlock()
}

// Still has nothing go to or from a host, or lets it go on; packets are held
// meanwhile and arrive then.
func (n *Net) Freeze(host string, still bool) {
	n.mu.Lock()
	n.frozenHosts[host] = still
	n.wakeConns()
	n.mu.Unlock()
}

// release has all connections look again at what is held; n.mu is held.
func (n *Net) wakeConns() {
	for c := range n.conns {
		c.changed.Signal()
	}
}

type listener struct {
	network  *Net
	address  string
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// Listen listens at an address.
func (n *Net) Listen(at string) net.Listener {
	l := &listener{network: n, address: at, incoming: make(chan net.Conn), done: make(chan struct{})}
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
		l, cut := n.listeners[to], n.blockedLinks[[2]string{from, to}] || n.holdsPackets(from, to)
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
		ca := &conn{Conn: a, network: n, local: from, remote: to, changed: sync.NewCond(&n.mu)}
		cb := &conn{Conn: b, network: n, local: to, remote: from, changed: sync.NewCond(&n.mu)}
		n.mu.Lock()
		n.conns[ca], n.conns[cb] = true, true
		n.mu.Unlock()
		go ca.sendLoop()
		go cb.sendLoop()
		select {
		case l.incoming <- cb:
			return ca, nil
		case <-l.done:
			ca.reset()
			cb.reset()
			return fail(errRefused)
		case <-ctx.Done():
			ca.reset()
			cb.reset()
			return fail(ctx.Err())
		}
	}
}

// Cut cuts or mends the way from one host to another, and back.
func (n *Net) BlockLink(a, b string, cut bool) {
	n.mu.Lock()
	n.blockedLinks[[2]string{a, b}], n.blockedLinks[[2]string{b, a}] = cut, cut
	n.mu.Unlock()
	if cut {
		n.closeConns(func(c *conn) bool { return c.local == a && c.remote == b || c.local == b && c.remote == a })
	}
}

// Drop closes all connections of a host: its process has ended.
func (n *Net) DropHost(host string) {
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
		c.reset()
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
