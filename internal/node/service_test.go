package node

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/httpapi"
)

// TestResponseExpires checks that the state of an unfinished or unknown job is written only for
// maxResponseAge after the request arrived. A process that was stopped in between must not send
// it: another node may have reported a later state.
func TestResponseExpires(t *testing.T) {
	for _, c := range []struct {
		name  string
		jobs  map[string]core.JobRecord
		after time.Duration
		fresh bool
	}{
		{"at once", map[string]core.JobRecord{"job-1": {}}, time.Millisecond, true},
		{"pending, after a pause of the process", map[string]core.JobRecord{"job-1": {}}, 2 * time.Second, false},
		{"unknown, after a pause of the process", map[string]core.JobRecord{}, 2 * time.Second, false},
		{"done is final", map[string]core.JobRecord{"job-1": {Phase: core.Done}}, time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(&config.Platform{}, config.DefaultSettings(), slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
				n.readPending = true // the read is in flight
				n.view.jobs = c.jobs
				var got *httpapi.Response
				n.poll("job-1", func(a httpapi.Response) { got = &a })
				for _, f := range n.readWaiters {
					f(true)
				}
				time.Sleep(c.after)
				if fresh := got.Fresh == nil || got.Fresh(); fresh != c.fresh {
					t.Errorf("response may be written: %v, want %v", fresh, c.fresh)
				}
			})
		})
	}
}
