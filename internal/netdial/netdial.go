// Package netdial defines how clients connect: over TCP in production, over pipes in tests. It
// also has a listener that limits its open connections.
package netdial

import (
	"context"
	"net"
	"time"
)

// Func makes a connection. Its error is a *net.OpError with Op "dial" if nothing was sent.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// TCP returns a Func that dials with a timeout.
func TCP(timeout time.Duration) Func {
	return (&net.Dialer{Timeout: timeout}).DialContext
}
