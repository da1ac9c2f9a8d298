package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/netdial"
	"aspenstall/internal/wire"
)

// pageServer serves the keys k/00000 to k/02499 in three pages, and fails requests as planned.
type pageServer struct {
	mu       sync.Mutex
	failures map[string][]http.HandlerFunc // by the key that the page begins after; used up in order
	requests []string                      // the keys that the requested pages begin after
}

const (
	servedKeys      = 2500
	servedRevision  = 77 // of the first page; each further request has the next one
	lastOfFirstPage = "k/00999"
)

func (s *pageServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	s.mu.Lock()
	revision := uint64(servedRevision + len(s.requests))
	s.requests = append(s.requests, since)
	var fail http.HandlerFunc
	if planned := s.failures[since]; len(planned) > 0 {
		fail, s.failures[since] = planned[0], planned[1:]
	}
	s.mu.Unlock()
	if fail != nil {
		fail(w, r)
		return
	}
	page := wire.Entries{Revision: revision}
	for n := range servedKeys {
		if key := fmt.Sprintf("k/%05d", n); key > since && len(page.Items) < pageSize {
			page.Items = append(page.Items, wire.Entry{Key: key, Value: []byte{1}, ModRevision: 1})
		}
	}
	page.More = page.Items[len(page.Items)-1].Key != fmt.Sprintf("k/%05d", servedKeys-1)
	b, _ := wire.Marshal(&page)
	_, _ = w.Write(b)
}

func respondWith(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

func loseResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestListRetriesSinglePages guards against reading a list from its start again because a page was
// refused or lost.
func TestListRetriesSinglePages(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures map[string][]http.HandlerFunc
		requests int
		err      error
	}{
		{"no failure", nil, 3, nil},
		{"first page refused", map[string][]http.HandlerFunc{"": {respondWith(429)}}, 4, nil},
		{"second page refused twice", map[string][]http.HandlerFunc{lastOfFirstPage: {respondWith(429), respondWith(503)}}, 5, nil},
		{"second page lost", map[string][]http.HandlerFunc{lastOfFirstPage: {loseResponse}}, 4, nil},
		{"second page garbled", map[string][]http.HandlerFunc{lastOfFirstPage: {respondWith(500)}}, 4, nil},
		{"second page found invalid", map[string][]http.HandlerFunc{lastOfFirstPage: {respondWith(400)}}, 2, ErrInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &pageServer{failures: c.failures}
			srv := httptest.NewServer(s)
			defer srv.Close()
			client := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 100, 4, netdial.TCP(time.Second))
			entries, revision, err := client.List(t.Context(), "k/")
			if !errors.Is(err, c.err) || c.err == nil && err != nil {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			sent := slices.DeleteFunc(slices.Clone(s.requests), func(since string) bool { return since != "" })
			wantFirst := 1 + len(c.failures[""])
			// A lost GET on a reused connection is also repeated by the transport.
			if len(s.requests) < c.requests || len(s.requests) > c.requests+1 || len(sent) > wantFirst+1 {
				t.Errorf("requests after %q, want %d", s.requests, c.requests)
			}
			if err == nil && (len(entries) != servedKeys || revision < servedRevision || revision > servedRevision+1) {
				t.Errorf("%d keys at revision %d", len(entries), revision)
			}
		})
	}
}

// TestListEndsWithItsContext checks that a list of a service that refuses everything ends with its
// context and names the last refusal, and that its progress is reported meanwhile.
func TestListEndsWithItsContext(t *testing.T) {
	srv := httptest.NewServer(respondWith(503))
	defer srv.Close()
	client := New(strings.TrimPrefix(srv.URL, "http://"), 1000, 100, 4, netdial.TCP(time.Second))
	var reported []ListProgress
	client.ObserveLists(func(p ListProgress) { reported = append(reported, p) })
	ctx, cancel := context.WithTimeout(t.Context(), progressInterval+time.Second)
	defer cancel()
	_, _, err := client.List(ctx, "k/")
	if !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, ErrNotExecuted) {
		t.Errorf("error %v", err)
	}
	if len(reported) != 1 || reported[0].Prefix != "k/" || reported[0].Refused == 0 || reported[0].Complete || !errors.Is(reported[0].LastErr, ErrNotExecuted) {
		t.Errorf("reported %+v", reported)
	}
}

// TestPagePacer checks that the rate falls with refusals, rises again, and stays within its share.
func TestPagePacer(t *testing.T) {
	const serviceRate = 100
	start := time.Now()
	p := newPagePacer(serviceRate)
	for _, step := range []struct {
		name string
		at   time.Duration
		do   func(now time.Time)
		want float64 // pages per second
	}{
		{"at first", 0, func(time.Time) {}, 68},
		{"a refusal", time.Second, p.refused, 47.6},
		{"another one of the same moment", time.Second + decreasePause/2, p.refused, 47.6},
		{"a later one", 2 * time.Second, p.refused, 33.32},
		{"a page", 2*time.Second + 100*time.Millisecond, p.succeeded, 33.62},
		{"a page after a long pause", 9 * time.Second, p.succeeded, 34.22},
		{"three clients", 10 * time.Second, func(time.Time) { p.share(3) }, 26.67},
		{"one client again", 11 * time.Second, func(time.Time) { p.share(1) }, 68},
		{"a page at the highest rate", 12 * time.Second, p.succeeded, 68},
	} {
		step.do(start.Add(step.at))
		if got := p.rate(); got < step.want-0.01 || got > step.want+0.01 {
			t.Errorf("%s: %.2f pages per second, want %.2f", step.name, got, step.want)
		}
	}
	for n := range 100 {
		p.refused(start.Add(time.Hour + time.Duration(n)*time.Second))
	}
	if got := p.rate(); got != serviceRate*minPageShare {
		t.Errorf("after many refusals %.2f pages per second", got)
	}
	if unlimited := newPagePacer(0); unlimited.rate() < 1e9 {
		t.Errorf("%.2f pages per second for a service without a limit", unlimited.rate())
	}
}
