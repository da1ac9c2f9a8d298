// Package simulator simulates the environment of the controllers: the network, the state service,
// the cloud, workers and users. Everything runs in one process and under fake time. Faults delay,
// lose, duplicate and reorder messages, crash processes and partition the network. An independent
// checker checks the protocol's invariants.
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

// Net is a simulated network. Its connections are in-memory pipes.
type Net struct {
	mu               sync.Mutex
	listeners        map[string]*listener
	conns            map[*conn]bool
	blockedLinks     map[[2]string]bool // pairs of hosts whose connections fail
	hostZones        map[string]string  // the zone of each host; hosts without an entry are in no zone
	partitionedZones map[string]bool    // zones whose packets to and from other zones are held back
	frozenHosts      map[string]bool    // hosts whose packets, both ways, are held back
}

// NewNet returns an empty network.
func NewNet() *Net {
	return &Net{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, blockedLinks: map[[2]string]bool{},
		hostZones: map[string]string{}, partitionedZones: map[string]bool{}, frozenHosts: map[string]bool{},
	}
}

// addr is the address of a host in a Net.
type addr string

func (a addr) Network() string { return "pipe" }
func (a addr) String() string  { return string(a) }

// conn is one end of a connection. Written data is queued, and delivered in order as soon as the
// network does not hold it back, even if the writer has closed its end.
type conn struct {
	net.Conn
	network       *Net
	local, remote string
	queue         [][]byte   // under network.mu
	closed        bool       // by its owner
	changed       *sync.Cond // on network.mu: there is data to send, or data is no longer held back
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

// Close closes this end. The other end sees the close after all data that was written before.
func (c *conn) Close() error {
	c.network.mu.Lock()
	c.closed = true
	c.changed.Signal()
	c.network.mu.Unlock()
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// sendLoop delivers queued data to the other end until the connection is closed or reset.
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

// reset closes the connection at once and drops queued data, as a TCP reset does.
func (c *conn) reset() {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.changed.Signal()
	c.network.mu.Unlock()
	_ = c.Conn.Close()
}

// holdsPackets reports whether packets between two hosts are held back; n.mu is held.
func (n *Net) holdsPackets(a, b string) bool {
	if n.frozenHosts[a] || n.frozenHosts[b] {
		return true
	}
	za, zb := n.hostZones[a], n.hostZones[b]
	return za != zb && (n.partitionedZones[za] || n.partitionedZones[zb])
}

// SetZone sets the zone of a host.
func (n *Net) SetZone(host, zone string) {
	n.mu.Lock()
	n.hostZones[host] = zone
	n.mu.Unlock()
}

// PartitionZone partitions a zone from all other hosts, or heals the partition. Packets are held
// back during the partition and arrive after it.
func (n *Net) PartitionZone(zone string, partitioned bool) {
	n.mu.Lock()
	n.partitionedZones[zone] = partitioned
	n.wakeConns()
	n.mu.Unlock()
}

// Freeze holds back all packets to and from a host, or releases them. The packets arrive after the
// release.
func (n *Net) Freeze(host string, frozen bool) {
	n.mu.Lock()
	n.frozenHosts[host] = frozen
	n.wakeConns()
	n.mu.Unlock()
}

// wakeConns makes all connections check again whether their data is held back; n.mu is held.
func (n *Net) wakeConns() {
	for c := range n.conns {
		c.changed.Signal()
	}
}

// listener is a net.Listener in a Net.
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

// Listen returns a listener at an address. It replaces an earlier one.
func (n *Net) Listen(at string) net.Listener {
	l := &listener{network: n, address: at, incoming: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[at] = l
	n.mu.Unlock()
	return l
}

var errRefused = errors.New("connection refused")

// Dialer returns a dial function for connections from a host. Dialling over a blocked link, or
// while packets are held back, fails with a timeout after a second, or earlier when the context
// ends.
func (n *Net) Dialer(from string) netdial.Func {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		fail := func(err error) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: addr(to), Err: err}
		}
		n.mu.Lock()
		l, unreachable := n.listeners[to], n.blockedLinks[[2]string{from, to}] || n.holdsPackets(from, to)
		n.mu.Unlock()
		if unreachable {
			// No answer: the dial times out.
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

// BlockLink blocks or unblocks the link between two hosts in both directions. Blocking it resets
// the connections between them.
func (n *Net) BlockLink(a, b string, blocked bool) {
	n.mu.Lock()
	n.blockedLinks[[2]string{a, b}], n.blockedLinks[[2]string{b, a}] = blocked, blocked
	n.mu.Unlock()
	if blocked {
		n.closeConns(func(c *conn) bool { return c.local == a && c.remote == b || c.local == b && c.remote == a })
	}
}

// DropHost resets all connections of a host, as when its process has ended.
func (n *Net) DropHost(host string) {
	n.closeConns(func(c *conn) bool { return c.local == host || c.remote == host })
}

// Close closes all listeners and resets all connections.
func (n *Net) Close() {
	n.mu.Lock()
	listeners := make([]*listener, 0, len(n.listeners))
	for _, l := range n.listeners {
		listeners = append(listeners, l)
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	n.closeConns(func(*conn) bool { return true })
}

// closeConns resets the connections that match.
func (n *Net) closeConns(match func(*conn) bool) {
	n.mu.Lock()
	var matched []*conn
	for c := range n.conns {
		if match(c) {
			matched = append(matched, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matched {
		c.reset()
	}
}

// Serve serves a handler over HTTP at an address until the returned listener is closed.
func (n *Net) Serve(at string, h http.Handler) net.Listener {
	l := n.Listen(at)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l
}

// Client returns an HTTP client that connects from a host.
func (n *Net) Client(from string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dialer(from), DisableCompression: true}}
}
