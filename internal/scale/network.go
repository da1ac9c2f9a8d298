package scale

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Network simulates the network between zones, with delays, loss and partitions, over connections
// on loopback. An endpoint without a zone (the state service, the cloud, users) is in the first
// region.
type Network struct {
	settings           *Settings
	mu                 sync.Mutex
	changed            *sync.Cond
	partitionedZones   map[string]bool // unreachable from all other zones
	regionsPartitioned bool            // nothing crosses between regions
	random             *rand.Rand
}

// NewNetwork returns a network without partitions.
func NewNetwork(s *Settings) *Network {
	n := &Network{settings: s, partitionedZones: map[string]bool{}, random: rand.New(rand.NewPCG(uint64(s.Seed), 2))}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetZonePartitioned starts or ends the partition of a zone from all other zones.
func (n *Network) SetZonePartitioned(zone string, partitioned bool) {
	n.mu.Lock()
	n.partitionedZones[zone] = partitioned
	n.changed.Broadcast()
	n.mu.Unlock()
}

// SetRegionsPartitioned starts or ends the partition of the regions from each other.
func (n *Network) SetRegionsPartitioned(partitioned bool) {
	n.mu.Lock()
	n.regionsPartitioned = partitioned
	n.changed.Broadcast()
	n.mu.Unlock()
}

// region returns the region of a zone: the first region for "".
func (n *Network) region(zone string) string {
	if zone == "" {
		return n.settings.Regions[0]
	}
	return n.settings.region(zone)
}

// blocked reports whether a partition separates two zones. The caller holds n.mu.
func (n *Network) blocked(a, b string) bool {
	return a != b && (n.partitionedZones[a] || n.partitionedZones[b]) || n.regionsPartitioned && n.region(a) != n.region(b)
}

// delay returns the one-way latency of a packet between two zones. Between regions, a packet is
// lost with the probability Settings.Loss and arrives ResendMS later.
func (n *Network) delay(a, b string) time.Duration {
	switch {
	case n.region(a) != n.region(b):
		ms := n.settings.RegionDelayMS
		if n.settings.Loss > 0 {
			n.mu.Lock()
			lost := n.random.Float64() < n.settings.Loss
			n.mu.Unlock()
			if lost {
				ms += n.settings.ResendMS
			}
		}
		return time.Duration(ms * float64(time.Millisecond))
	case a != b:
		return time.Duration(n.settings.ZoneDelayMS * float64(time.Millisecond))
	}
	return 0
}

// TrafficCounter counts the bytes of connections, as seen from their local ends.
type TrafficCounter struct{ Sent, Received atomic.Int64 }

// conn is a connection between two zones, seen from its local end.
type conn struct {
	net.Conn
	network    *Network
	localZone  string
	remoteZone func() string // the zone may change while the connection is open
	traffic    *TrafficCounter
	closed     atomic.Bool
}

// wrap subjects a connection between two zones to the network's delays and partitions.
func (n *Network) wrap(c net.Conn, localZone string, remoteZone func() string, t *TrafficCounter) net.Conn {
	return &conn{Conn: c, network: n, localZone: localZone, remoteZone: remoteZone, traffic: t}
}

// awaitDelivery waits for the delay of a packet and until no partition blocks it. It returns
// net.ErrClosed if the connection is closed meanwhile.
func (c *conn) awaitDelivery() error {
	remoteZone := c.remoteZone()
	if d := c.network.delay(c.localZone, remoteZone); d > 0 {
		time.Sleep(d)
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for c.network.blocked(c.localZone, remoteZone) && !c.closed.Load() {
		c.network.changed.Wait()
	}
	if c.closed.Load() {
		return net.ErrClosed
	}
	return nil
}

// Write writes b after the network's delay, once no partition blocks the connection.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitDelivery(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// Read reads into b, and returns after the network's delay and once no partition blocks the
// connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.traffic.Received.Add(int64(n))
		if blocked := c.awaitDelivery(); blocked != nil {
			return 0, blocked
		}
	}
	return n, err
}

// Close closes the connection and wakes its waiting reads and writes.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.network.mu.Lock()
	c.network.changed.Broadcast()
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// listener accepts connections over the network.
type listener struct {
	net.Listener
	network    *Network
	localZone  string
	remoteZone func() string
	traffic    *TrafficCounter
}

// Accept returns the next connection, subject to the network.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(c, l.localZone, l.remoteZone, l.traffic), nil
}

// Listen listens at an address in localZone for connections from remoteZone, and counts their
// traffic in t.
func (n *Network) Listen(address, localZone string, remoteZone func() string, t *TrafficCounter) (net.Listener, error) {
	nl, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: nl, network: n, localZone: localZone, remoteZone: remoteZone, traffic: t}, nil
}

// dialTimeout is the limit on a connection attempt, also across a partition.
const dialTimeout = time.Second

// Dial connects from an IP address in localZone to an address in remoteZone, and counts the traffic
// in t. With localIP "" the system chooses the source address. Across a partition it fails after
// dialTimeout.
func (n *Network) Dial(ctx context.Context, localIP, localZone, address string, remoteZone func() string, t *TrafficCounter) (net.Conn, error) {
	n.mu.Lock()
	blocked := n.blocked(localZone, remoteZone())
	n.mu.Unlock()
	if blocked {
		timer := time.NewTimer(dialTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
	}
	d := net.Dialer{Timeout: dialTimeout}
	if localIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.wrap(c, localZone, remoteZone, t), nil
}

// Forward forwards connections from a listener in localZone to an address in remoteZone, until the
// listener is closed.
func (n *Network) Forward(in net.Listener, localZone, remoteZone, to string, t *TrafficCounter) {
	for {
		c, err := in.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			out, err := n.Dial(context.Background(), "", localZone, to, func() string { return remoteZone }, t)
			if err != nil {
				return
			}
			defer out.Close()
			go func() {
				_, _ = io.Copy(c, out)
				_ = c.Close()
				_ = out.Close()
			}()
			_, _ = io.Copy(out, c)
		}()
	}
}
