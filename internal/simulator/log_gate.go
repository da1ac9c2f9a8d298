package simulator

import (
	"context"
	"log/slog"
	"sync"
)

// logGate is a log handler that can be closed. Goroutines that log while it is closed block until
// it is open again.
type logGate struct {
	slog.Handler
	mu     sync.Mutex
	opened *sync.Cond
	closed bool
}

// newLogGate returns an open gate in front of a handler.
func newLogGate(h slog.Handler) *logGate {
	g := &logGate{Handler: h}
	g.opened = sync.NewCond(&g.mu)
	return g
}

// setClosed closes or opens the gate.
func (g *logGate) setClosed(closed bool) {
	g.mu.Lock()
	g.closed = closed
	g.opened.Broadcast()
	g.mu.Unlock()
}

// Enabled blocks while the gate is closed. slog calls it for each log line, also for those that are
// discarded.
func (g *logGate) Enabled(ctx context.Context, l slog.Level) bool {
	g.mu.Lock()
	for g.closed {
		g.opened.Wait()
	}
	g.mu.Unlock()
	return g.Handler.Enabled(ctx, l)
}
