// Package worker sends commands directly to workers.
package worker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/wire"
)

const (
	requestTimeout   = 2 * time.Second
	probeTimeout     = time.Second // for a request without commands, which checks that the worker is reachable
	maxResponseBytes = 4 << 20
)

// Client sends commands to workers. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	slots chan struct{} // one for each request in flight
}

// New returns a client that keeps at most conns idle connections and has at most conns requests in
// flight. Without the limit a new leader, which has commands for every machine at once, would use
// up all its sockets.
func New(conns int, dial netdial.Func) *Client {
	return &Client{slots: make(chan struct{}, max(conns, 1)), http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DialContext: dial, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, MaxIdleConns: conns,
		IdleConnTimeout: 60 * time.Second, DisableCompression: true,
	}}}
}

// Send waits until a request slot is free and sends the commands if allowed still returns true.
// The report is the worker's state after the commands; it is nil without a response. A worker that
// refuses the commands also returns its report.
func (c *Client) Send(ctx context.Context, s core.SendCommands, allowed func() bool) (core.CommandOutcome, *core.Report) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return core.NotSent, nil
	}
	if !allowed() {
		return core.NotSent, nil
	}
	if len(s.Commands) == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
	}
	b, err := wire.EncodeCommands(s.Token, s.Session, s.Commands)
	if err != nil {
		return core.NotSent, nil
	}
	// The transport repeats a POST only if nothing of the first one was written, so an error
	// after that means that the commands may have been executed.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+wire.CommandsPath, bytes.NewReader(b))
	if err != nil {
		return core.NotSent, nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return core.NotSent, nil
		}
		return core.Unanswered, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return core.Unanswered, nil
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
		r, err := wire.ParseReport(body)
		if err != nil {
			return core.Unanswered, nil
		}
		if resp.StatusCode == http.StatusOK {
			return core.Executed, r
		}
		return core.Refused, r
	case http.StatusBadRequest:
		return core.NotSent, nil
	}
	return core.Unanswered, nil
}
