package netdial_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"aspenstall/internal/cloud"
	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/statestore"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
	"aspenstall/internal/worker"
)

// TestRequestsAreNotRepeatedByTransport guards against a second execution of a request whose response
// was lost on a reused connection: the callers count on one execution at most per request.
func TestRequestsAreNotRepeatedByTransport(t *testing.T) {
	dial := netdial.TCP(time.Second)
	type request func(ctx context.Context)
	for _, c := range []struct {
		name      string
		newClient func(address string) request
	}{
		{"state service, commit", func(address string) request {
			client := statestore.New(address, 0, 0, 1, dial)
			return func(ctx context.Context) {
				_, _ = client.Commit(ctx, &wire.Txn{Then: []wire.Write{{Kind: txn.Catalog, Put: "k", Value: []byte{1}}}})
			}
		}},
		{"state service, grant", func(address string) request {
			client := statestore.New(address, 0, 0, 1, dial)
			return func(ctx context.Context) { _, _ = client.Grant(ctx, time.Second) }
		}},
		{"state service, revoke", func(address string) request {
			client := statestore.New(address, 0, 0, 1, dial)
			return func(ctx context.Context) { _ = client.Revoke(ctx, 1) }
		}},
		{"cloud, rent", func(address string) request {
			client := cloud.New(address, 0, dial)
			return func(ctx context.Context) { _, _ = client.Rent(ctx, wire.RentRequest{}) }
		}},
		{"cloud, release", func(address string) request {
			client := cloud.New(address, 0, dial)
			return func(ctx context.Context) { _ = client.Release(ctx, []string{"n-1"}) }
		}},
		{"worker, commands", func(address string) request {
			client := worker.New(1, dial)
			return func(ctx context.Context) {
				_, _ = client.Send(ctx, core.SendCommands{Address: address}, func() bool { return true })
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var executions atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if executions.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer srv.Close()
			send := c.newClient(strings.TrimPrefix(srv.URL, "http://"))
			send(t.Context()) // opens the connection
			send(t.Context())
			if n := executions.Load(); n != 2 {
				t.Errorf("%d executions of 2 requests", n)
			}
		})
	}
}
