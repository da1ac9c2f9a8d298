// Package netdial is how clients reach the network: over TCP in production,
// over pipes in tests.
package netdial

import (
	"context"
	"net"
	"time"
)

// Func makes a connection. An error from it is a *net.OpError with Op "dial"
// if nothing was sent.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// TCP dials with a timeout.
func TCP(timeout time.Duration) Func {
	return (&net.Dialer{Timeout: timeout}).DialContext
}
