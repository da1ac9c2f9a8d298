package netdial

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestShed: what comes beyond the limit is closed at once, and there is room again as soon
// as a connection ends, however often it is closed.
func TestShedListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		s := ShedListener(l, 2)
		for {
			c, err := s.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	shut := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		return err == io.EOF
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	if !shut(dial()) {
		t.Error("a third is kept")
	}
	_ = first.Close()
	_ = first.Close()
	dial()
	<-accepted
	if !shut(dial()) {
		t.Error("a third is kept after one ended")
	}
}
