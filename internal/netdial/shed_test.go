package netdial

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestShedListener checks that connections above the limit are closed at once, and that closing a
// connection makes room for exactly one, also if it is closed twice.
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
	isClosed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		return err == io.EOF
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	if !isClosed(dial()) {
		t.Error("a third connection stays open")
	}
	_ = first.Close()
	_ = first.Close()
	dial()
	<-accepted
	if !isClosed(dial()) {
		t.Error("a third connection stays open after one was closed")
	}
}
