package netdial

import (
	"net"
	"sync"
	"sync/atomic"
)

// Shed returns a listener that closes connections at once while so many are open: whoever
// dials goes elsewhere, and does not wait in a queue whose sockets count as well.
func ShedListener(l net.Listener, maxOpen int) net.Listener {
	return &shedListener{Listener: l, maxOpen: int64(maxOpen)}
}

type shedListener struct {
	net.Listener
	maxOpen int64
	open    atomic.Int64
}

func (s *shedListener) Accept() (net.Conn, error) {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if s.open.Add(1) <= s.maxOpen {
			return &shedConn{Conn: c, open: &s.open}, nil
		}
		s.open.Add(-1)
		_ = c.Close()
	}
}

type shedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *shedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
