package netdial

import (
	"net"
	"sync"
	"sync/atomic"
)

// Shed returns a listener that closes connections at once while so many are open: whoever
// dials goes elsewhere, and does not wait in a queue whose sockets count as well.
func Shed(l net.Listener, most int) net.Listener { return &shedder{Listener: l, most: int64(most)} }

type shedder struct {
	net.Listener
	most int64
	open atomic.Int64
}

func (s *shedder) Accept() (net.Conn, error) {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if s.open.Add(1) <= s.most {
			return &shed{Conn: c, open: &s.open}, nil
		}
		s.open.Add(-1)
		_ = c.Close()
	}
}

type shed struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *shed) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
