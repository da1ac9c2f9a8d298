package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/wire"
)

// TestListIsAppliedByPage checks that the jobs of a page are in the view before the next page is
// requested, and that the view counts as read only once the list is complete. A controller that holds
// a list as a whole beside the view needs more memory to start than to serve, and with a long history
// none comes back after a crash (forgotten).
func TestListIsAppliedByPage(t *testing.T) {
	const pages, perPage = 4, 10
	var n *Node
	appliedBefore := make([]atomic.Int64, pages) // jobs in the view when the page is requested
	var readyEarly atomic.Bool
	page := func(number int) *wire.Entries {
		out := &wire.Entries{Revision: 50, More: number < pages-1}
		for i := range perPage {
			id := fmt.Sprintf("job-%06d", number*perPage+i)
			b, err := wire.EncodeJob(&core.JobRecord{Phase: core.Done, Spec: core.JobSpec{ID: id, Team: "blue", Tasks: 1}})
			if err != nil {
				t.Error(err)
			}
			out.Items = append(out.Items, wire.Entry{Key: jobPrefix + id, Value: b, ModRevision: uint64(10 + i)})
		}
		if !out.More {
			leader, err := wire.Marshal(&wire.LeaderRecord{Node: "n-1"})
			if err != nil {
				t.Error(err)
			}
			out.Items = append(out.Items, wire.Entry{Key: leaderKey, Value: leader, ModRevision: 20})
		}
		return out
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.KeysPath {
			<-r.Context().Done() // the watch
			return
		}
		number := 0
		if since := strings.TrimPrefix(r.URL.Query().Get("since"), jobPrefix+"job-"); since != "" {
			last := 0
			if _, err := fmt.Sscanf(since, "%06d", &last); err != nil {
				t.Error(err)
			}
			number = (last + 1) / perPage
		}
		_, _ = call(r.Context(), n, func(reply func(struct{})) {
			appliedBefore[number].Store(int64(len(n.view.jobs)))
			if n.view.ready || n.view.revision > 0 || n.view.leader != "" {
				readyEarly.Store(true)
			}
			reply(struct{}{})
		})
		b, err := wire.Marshal(page(number))
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(b)
	}))
	defer srv.Close()
	p := config.Platform{Member: "n-0"}
	p.Services.State = strings.TrimPrefix(srv.URL, "http://")
	p.Params.State.ValueKB, p.Params.State.TxnOps = 4, 12
	n = New(&p, config.DefaultSettings(), slog.New(slog.DiscardHandler), (&net.Dialer{}).DialContext)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	n.ctx = ctx
	go n.watchRecords(ctx)
	for ready := false; !ready && ctx.Err() == nil; {
		select {
		case f := <-n.inbox:
			f()
			ready = n.view.ready
		case <-ctx.Done():
		}
	}
	if readyEarly.Load() {
		t.Error("the view counted as read before the list was complete")
	}
	for i := range appliedBefore {
		if got := appliedBefore[i].Load(); got != int64(i*perPage) {
			t.Errorf("%d jobs were in the view before page %d, want %d", got, i, i*perPage)
		}
	}
	if len(n.view.jobs) != pages*perPage || n.view.revision != 50 || n.view.leader != "n-1" {
		t.Errorf("%d jobs, revision %d, leader %q", len(n.view.jobs), n.view.revision, n.view.leader)
	}
}
