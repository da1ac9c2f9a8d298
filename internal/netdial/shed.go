package netdial

import (
	"net"
	"sync"
	"sync/atomic"
)

// ShedListener returns a listener that closes new connections at once while maxOpen connections
// are open. The client then connects to another node, instead of waiting in a queue whose sockets
// count towards the platform's limit on connections as well.
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
