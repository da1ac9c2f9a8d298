// Package worker sends commands straight to workers.
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
	probeTimeout     = time.Second // for a command that only asks whether a worker is there
	maxResponseBytes = 4 << 20
)

// Client sends commands to workers.
type Client struct {
	http  *http.Client
	slots chan struct{} // one for each command under way
}

// New returns a client that keeps at most conns idle connections, and has as many commands
// under way: a leader that begins has something for every machine at once, and would take
// all sockets that it has.
func New(conns int, dial netdial.Func) *Client {
	return &Client{slots: make(chan struct{}, max(conns, 1)), http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DialContext: dial, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, MaxIdleConns: conns,
		IdleConnTimeout: 60 * time.Second, DisableCompression: true,
	}}}
}

// Send sends commands once it is their turn, if they may still be sent then. The report
// is the worker's after them, and nil without an answer.
func (c *Client) Send(ctx context.Context, s core.SendCommands, may func() bool) (core.CommandOutcome, *core.Report) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return core.NotSent, nil
	}
	if !may() {
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
	// The transport sends a POST a second time only where nothing of the first
	// was written, so an error after that means "possibly executed".
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
