package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
)

// TestCloudRequestsNeedTheTerm checks that machines are rented and returned only while the node leads
// with the term that decided it. A leader that paused would return machines on which the next one has
// placed tasks.
func TestCloudRequestsNeedTheTerm(t *testing.T) {
	for _, c := range []struct {
		name     string
		ownTerm  bool
		leaseFor time.Duration
		sent     bool
	}{
		{"its own term", true, time.Minute, true},
		{"its lease is over", true, 0, false},
		{"a later term of the same node", false, time.Minute, false},
	} {
		for request, send := range map[string]func(*Node, *term){
			"rental": func(n *Node, t *term) { n.rent(t, core.Rent{RequestID: "r-1", Type: "m", Zone: "a", Count: 1}) },
			"return": func(n *Node, t *term) { n.release(t, core.Release{Machines: []string{"n-1"}}) },
		} {
			t.Run(request+", "+c.name, func(t *testing.T) {
				var dialed atomic.Int32
				p := config.Platform{Member: "n-0", Zone: "a"}
				p.Services.Cloud, p.Params.State.ValueKB, p.Params.State.TxnOps = "10.2.0.2:8443", 4, 12
				n := New(&p, config.DefaultSettings(), slog.New(slog.DiscardHandler), func(context.Context, string, string) (net.Conn, error) {
					dialed.Add(1)
					return nil, errors.New("no network")
				})
				n.ctx = t.Context()
				decided := &term{n: n}
				n.leadingTerm.Store(decided)
				if !c.ownTerm {
					n.leadingTerm.Store(&term{n: n})
				}
				n.leaseValidUntil.Store(int64(n.now()) + c.leaseFor.Microseconds())
				send(n, decided)
				if sent := dialed.Load() > 0; sent != c.sent {
					t.Errorf("sent %v, want %v", sent, c.sent)
				}
			})
		}
	}
}
