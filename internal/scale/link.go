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

// Links is the network between zones: delays, loss and cuts. A host without a zone (the
// state service, the cloud, users) is in the first region.
type Network struct {
	settings           *Settings
	mu                 sync.Mutex
	changed            *sync.Cond
	partitionedZones   map[string]bool // cut off from all other zones
	regionsPartitioned bool            // the regions are
	random             *rand.Rand
}

// NewLinks returns links that nothing is wrong with.
func NewNetwork(s *Settings) *Network {
	l := &Network{settings: s, partitionedZones: map[string]bool{}, random: rand.New(rand.NewPCG(uint64(s.Seed), 2))}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// CutZone cuts a zone off from all others, or mends that.
func (l *Network) SetZonePartitioned(zone string, cut bool) {
	l.mu.Lock()
	l.partitionedZones[zone] = cut
	l.changed.Broadcast()
	l.mu.Unlock()
}

// CutRegions cuts the regions off from each other, or mends that.
func (l *Network) SetRegionsPartitioned(cut bool) {
	l.mu.Lock()
	l.regionsPartitioned = cut
	l.changed.Broadcast()
	l.mu.Unlock()
}

func (l *Network) region(zone string) string {
	if zone == "" {
		return l.settings.Regions[0]
	}
	return l.settings.region(zone)
}

// holds reports whether packets between two zones are held; l.mu is held.
func (l *Network) blocked(a, b string) bool {
	return a != b && (l.partitionedZones[a] || l.partitionedZones[b]) || l.regionsPartitioned && l.region(a) != l.region(b)
}

// delay is how long a packet is under way.
func (l *Network) delay(a, b string) time.Duration {
	switch {
	case l.region(a) != l.region(b):
		ms := l.settings.RegionDelayMS
		if l.settings.Loss > 0 {
			l.mu.Lock()
			lost := l.random.Float64() < l.settings.Loss
			l.mu.Unlock()
			if lost {
				ms += l.settings.ResendMS
			}
		}
		return time.Duration(ms * float64(time.Millisecond))
	case a != b:
		return time.Duration(l.settings.ZoneDelayMS * float64(time.Millisecond))
	}
	return 0
}

// Traffic counts bytes.
type TrafficCounter struct{ Sent, Received atomic.Int64 }

// conn is a connection over a link, seen from its near end.
type conn struct {
	net.Conn
	network    *Network
	localZone  string        // zone
	remoteZone func() string // zone; it may be known only later
	traffic    *TrafficCounter
	closed     atomic.Bool
}

// wrap puts a connection between two zones onto the links.
func (l *Network) wrap(c net.Conn, near string, far func() string, t *TrafficCounter) net.Conn {
	return &conn{Conn: c, network: l, localZone: near, remoteZone: far, traffic: t}
}

// pass waits until a packet may go from one end to the other.
func (c *conn) awaitDelivery() error {
	far := c.remoteZone()
	if d := c.network.delay(c.localZone, far); d > 0 {
		time.Sleep(d)
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for c.network.blocked(c.localZone, far) && !c.closed.Load() {
		c.network.changed.Wait()
	}
	if c.closed.Load() {
		return net.ErrClosed
	}
	return nil
}

func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitDelivery(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.traffic.Received.Add(int64(n))
		if held := c.awaitDelivery(); held != nil {
			return 0, held
		}
	}
	return n, err
}

func (c *conn) Close() error {
	c.closed.Store(true)
	c.network.mu.Lock()
	c.network.changed.Broadcast()
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// listener accepts connections over the links.
type listener struct {
	net.Listener
	network    *Network
	localZone  string
	remoteZone func() string
	traffic    *TrafficCounter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(c, l.localZone, l.remoteZone, l.traffic), nil
}

// Listen listens at an address in a zone for what comes from another.
func (l *Network) Listen(address, near string, far func() string, t *TrafficCounter) (net.Listener, error) {
	nl, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: nl, network: l, localZone: near, remoteZone: far, traffic: t}, nil
}

// dialTimeout is how long a connection attempt waits behind a cut.
const dialTimeout = time.Second

// Dial connects from an IP address in one zone to an address in another.
func (l *Network) Dial(ctx context.Context, from, near, address string, far func() string, t *TrafficCounter) (net.Conn, error) {
	l.mu.Lock()
	held := l.blocked(near, far())
	l.mu.Unlock()
	if held {
		timer := time.NewTimer(dialTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
	}
	d := net.Dialer{Timeout: dialTimeout}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.wrap(c, near, far, t), nil
}

// Forward carries connections from a listener to an address over a link between two zones,
// until the listener is closed.
func (l *Network) Forward(in net.Listener, near, far, to string, t *TrafficCounter) {
	for {
		c, err := in.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			out, err := l.Dial(context.Background(), "", near, to, func() string { return far }, t)
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
