// Package statestore is the client of the state service.
package statestore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"aspenstall/internal/netdial"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// Errors that callers distinguish. Any other error means that there was no response: the request
// may have been executed, or may be executed later.
var (
	// ErrConflict means that a condition of a transaction did not hold.
	ErrConflict = errors.New("transaction condition failed")
	// ErrNotExecuted means that the request was refused, because of load, an outage or the
	// client's own budget.
	ErrNotExecuted = errors.New("state service refused the request")
	// ErrNotFound means that there is no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrCompacted means that the requested changes are no longer kept.
	ErrCompacted = errors.New("revision is no longer kept")
	// ErrInvalid means that the service found the request malformed.
	ErrInvalid = errors.New("malformed request")
)

// RequestTimeout is the longest that a request takes, besides the time that a watch waits for changes.
// A response usually takes less than 10 ms, sometimes a few hundred.
const RequestTimeout = 1500 * time.Millisecond

const maxResponseBytes = 64 << 20

// Client calls the state service's API.
type Client struct {
	base   string
	http   *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
	pages  *pagePacer

	observeList   func(ListProgress) // nil for none
	observeCommit func(*wire.Txn)    // nil for none
}

// New returns a client for the service at addr. It uses at most 70% of the service's rates, in
// requests per second, because the other nodes need the rest. A rate of 0 means no limit.
func New(addr string, rps, writeRPS float64, conns int, dial netdial.Func) *Client {
	const share = 0.7
	lim := func(r float64) *rate.Limiter {
		if r <= 0 {
			return rate.NewLimiter(rate.Inf, 1)
		}
		return rate.NewLimiter(rate.Limit(r*share), max(int(r*share), 12))
	}
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns,
			IdleConnTimeout: 90 * time.Second, DisableCompression: true,
		}},
		reads: lim(rps), writes: lim(writeRPS), pages: newPagePacer(rps),
	}
}

func (c *Client) do(ctx context.Context, method, path string, in, out any, writes int, timeout time.Duration) error {
	// A request over the budget is not sent. Waiting here would hide the delay from the caller,
	// which can postpone the request or tell its user to retry.
	now := time.Now()
	if writes > 0 && !c.writes.AllowN(now, writes) || !c.reads.AllowN(now, 1) {
		return fmt.Errorf("own rate budget: %w", ErrNotExecuted)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := wire.Marshal(in)
		if err != nil {
			return errors.Join(ErrInvalid, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Join(ErrInvalid, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return wire.Unmarshal(b, out)
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	case http.StatusTooManyRequests:
		c.pages.refused(time.Now())
		return fmt.Errorf("status %d: %w", resp.StatusCode, ErrNotExecuted)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("status %d: %w", resp.StatusCode, ErrNotExecuted)
	case http.StatusBadRequest:
		var r wire.TxnResult
		_ = wire.Unmarshal(b, &r)
		return fmt.Errorf("%s: %w", r.Error, ErrInvalid)
	}
	return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
}

// HasBackgroundBudget reports whether n changes fit into the write budget with half of it left for
// urgent writes.
func (c *Client) HasBackgroundBudget(n int) bool {
	return c.writes.Limit() == rate.Inf || c.writes.Tokens() >= float64(c.writes.Burst()+n)/2
}

// HasBudgetBesideUsers reports whether n changes fit into the write budget with a quarter of it
// left for users.
func (c *Client) HasBudgetBesideUsers(n int) bool {
	burst := c.writes.Burst()
	return c.writes.Limit() == rate.Inf || c.writes.Tokens() >= float64(min(n+burst/4, burst))
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (*wire.Entry, error) {
	var e wire.Entry
	if err := c.do(ctx, http.MethodGet, wire.KeysPath+"/"+key, nil, &e, 0, RequestTimeout); err != nil {
		return nil, fmt.Errorf("get %s: %w", key, err)
	}
	return &e, nil
}

// ObserveCommits sets a function that is called with each transaction before it is sent. It must be
// set before the client is used; commits may call it concurrently, and it must not change the
// transaction.
func (c *Client) ObserveCommits(observe func(*wire.Txn)) { c.observeCommit = observe }

// Commit runs a transaction and returns its revision. Each write must be of a listed kind.
func (c *Client) Commit(ctx context.Context, t *wire.Txn) (uint64, error) {
	for i := range t.Then {
		if _, listed := txn.Describe(t.Then[i].Kind); !listed {
			return 0, fmt.Errorf("%w: the write of %s%s is of no listed kind", ErrInvalid, t.Then[i].Put, t.Then[i].Delete)
		}
	}
	if c.observeCommit != nil {
		c.observeCommit(t)
	}
	var r wire.TxnResult
	err := c.do(ctx, http.MethodPost, wire.CommitPath, t, &r, len(t.Then), RequestTimeout)
	return r.Revision, err
}

// Grant obtains a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var l wire.Lease
	err := c.do(ctx, http.MethodPost, wire.LeasesPath, &wire.LeaseRequest{TTL: ttl.Milliseconds()}, &l, 0, RequestTimeout)
	return l.ID, err
}

// Renew renews a lease. ErrNotFound means that the lease has ended.
func (c *Client) Renew(ctx context.Context, id uint64) error {
	return c.do(ctx, http.MethodPost, fmt.Sprintf("%s/%d/%s", wire.LeasesPath, id, wire.RenewSuffix), nil, nil, 0, RequestTimeout)
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id uint64) error {
	return c.do(ctx, http.MethodDelete, fmt.Sprintf("%s/%d", wire.LeasesPath, id), nil, nil, 0, RequestTimeout)
}

// Changes returns the changes under the prefix after the revision. If there are none, it waits up
// to wait for one.
func (c *Client) Changes(ctx context.Context, prefix string, since uint64, wait time.Duration) (*wire.Changes, error) {
	var r wire.Changes
	path := fmt.Sprintf("%s?starts=%s&since=%d&wait_ms=%d", wire.ChangesPath, url.QueryEscape(prefix), since, wait.Milliseconds())
	if err := c.do(ctx, http.MethodGet, path, nil, &r, 0, wait+RequestTimeout); err != nil {
		return nil, err
	}
	return &r, nil
}
