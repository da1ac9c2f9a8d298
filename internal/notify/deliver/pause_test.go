package deliver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"aspenstall/internal/notify"
)

// TestPauseDuringSend guards against a leader that pauses in the middle of a delivery while another
// one takes over and delivers: what it sends afterwards has no effect at a receiver that rejects old
// messages, and after a lookup it sends nothing.
func TestPauseDuringSend(t *testing.T) {
	const (
		maxAge = time.Second
		pause  = 2*maxAge + 200*time.Millisecond // timestamps have whole seconds
	)
	for _, c := range []struct {
		name      string
		lookup    bool // the pause is during the key lookup, otherwise right after the check of the lease
		wantPosts int32
		outcome   notify.Outcome
	}{
		{"during the key lookup", true, 0, notify.NotAttempted},
		{"after the check of the lease", false, 1, notify.NotDelivered},
	} {
		t.Run(c.name, func(t *testing.T) {
			var posts, effects atomic.Int32
			var leaseValid atomic.Bool
			leaseValid.Store(true)
			paused := func() {
				time.Sleep(pause)
				leaseValid.Store(false)
			}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					paused()
					w.WriteHeader(http.StatusNotFound)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				posts.Add(1)
				sentAt, err := strconv.ParseInt(r.Header.Get(HeaderTimestamp), 10, 64)
				if err != nil || time.Since(time.Unix(sentAt, 0)) > maxAge {
					w.WriteHeader(http.StatusRequestTimeout)
					return
				}
				effects.Add(1)
			}))
			defer srv.Close()
			receiver := Receiver{URL: srv.URL, Timeout: 10 * time.Second}
			send := testSend
			if c.lookup {
				receiver.LookupURL, send.PossiblyDelivered = srv.URL+"/seen", true
			}
			out, _ := newTestSender(t, receiver).Send(t.Context(), send, 1, func() bool {
				valid := leaseValid.Load()
				if !c.lookup {
					paused()
				}
				return valid
			})
			if out != c.outcome || effects.Load() != 0 || posts.Load() != c.wantPosts {
				t.Errorf("outcome %d, %d effects, %d POSTs; want outcome %d, no effect and %d POSTs", out, effects.Load(), posts.Load(), c.outcome, c.wantPosts)
			}
		})
	}
}

// TestLostLeaseIsNoFailure guards against a breaker that keeps a working receiver from its
// notifications: attempts that were not made since this node did not lead are no failures.
func TestLostLeaseIsNoFailure(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	s := newTestSender(t, Receiver{URL: srv.URL})
	for range 2 * breakerThreshold {
		out, after := s.Send(t.Context(), testSend, 1, func() bool { return false })
		if out != notify.NotAttempted || after != 0 {
			t.Errorf("without a lease: outcome %d, retry after %d us", out, after)
		}
	}
	if out, _ := s.Send(t.Context(), testSend, 2, leading); out != notify.Delivered {
		t.Errorf("leading again: outcome %d", out)
	}
}
