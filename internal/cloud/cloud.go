// Package cloud is the client of the cloud that rents out machines.
package cloud

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/wire"
)

// ErrNoCapacity means that no machine of the requested type, zone and kind is available now.
var ErrNoCapacity = errors.New("no capacity")

const (
	requestTimeout   = 5 * time.Second
	pageSize         = 500
	maxResponseBytes = 4 << 20
)

// Client calls the cloud's API. Calls wait until the client's rate limit permits them.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client for the cloud at addr that uses at most 80% of rps requests per second; 0
// means no limit.
func New(addr string, rps float64, dial netdial.Func) *Client {
	lim := rate.NewLimiter(rate.Inf, 1)
	if rps > 0 {
		lim = rate.NewLimiter(rate.Limit(rps*0.8), max(int(rps), 1))
	}
	return &Client{
		base:    "http://" + addr,
		limiter: lim,
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
			DialContext: dial, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4, DisableCompression: true,
		}},
	}
}

func (c *Client) do(ctx context.Context, method, path string, in any) (int, []byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, nil, err
	}
	var body io.Reader
	if in != nil {
		b, err := wire.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	return resp.StatusCode, b, nil
}

// Catalog returns the machine types with current prices, and the body of the response. The body is
// recorded for nodes that can't reach the cloud.
func (c *Client) Catalog(ctx context.Context) ([]core.MachineType, []byte, error) {
	status, b, err := c.do(ctx, http.MethodGet, wire.CatalogPath, nil)
	if err != nil {
		return nil, nil, err
	}
	if status != http.StatusOK {
		return nil, nil, fmt.Errorf("catalog: status %d", status)
	}
	types, err := wire.ParseCatalog(b)
	return types, b, err
}

// Rent rents machines and returns their names.
func (c *Client) Rent(ctx context.Context, r wire.RentRequest) ([]string, error) {
	status, b, err := c.do(ctx, http.MethodPost, wire.MachinesPath, &r)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK:
		var names wire.MachineNames
		if err := wire.Unmarshal(b, &names); err != nil {
			return nil, err
		}
		return names.Machines, nil
	case http.StatusServiceUnavailable:
		var e struct {
			Error string `msgpack:"error"`
		}
		if wire.Unmarshal(b, &e) == nil && e.Error == ErrNoCapacity.Error() {
			return nil, ErrNoCapacity
		}
	}
	return nil, fmt.Errorf("rent: status %d", status)
}

// Release returns machines to the cloud. If it returns no error, they are gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	status, _, err := c.do(ctx, http.MethodPost, wire.MachineReleasePath, &wire.MachineNames{Machines: names})
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("return: status %d", status)
	}
	return err
}

// List returns the cloud's list of machines. The list lags behind rentals and releases.
func (c *Client) List(ctx context.Context) ([]core.ListedMachine, error) {
	var all []core.ListedMachine
	since := ""
	for {
		path := fmt.Sprintf("%s?limit=%d", wire.MachinesPath, pageSize)
		if since != "" {
			path += "&since=" + since
		}
		status, b, err := c.do(ctx, http.MethodGet, path, nil)
		if err != nil {
			return nil, err
		}
		if status != http.StatusOK {
			return nil, fmt.Errorf("list: status %d", status)
		}
		page, more, err := wire.ParseMachines(b)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if !more || len(page) == 0 {
			return all, nil
		}
		since = page[len(page)-1].Name
	}
}
