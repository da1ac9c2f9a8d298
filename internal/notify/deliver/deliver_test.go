package deliver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/notify"
)

var testSend = notify.Send{Subscription: "s", Key: "k1", Attempt: 1, Event: notify.Event{Job: "job-000001", Team: "blue", Class: "c", Kind: notify.Done, At: 1_700_000_000_500_000}}

// leading is the check of the lease of a node that leads.
func leading() bool { return true }

func newTestSender(t *testing.T, r Receiver) *Sender {
	t.Helper()
	if r.Timeout == 0 {
		r.Timeout = time.Second
	}
	return New(r, netdial.TCP(time.Second))
}

// Every response of a receiver, or its absence, is mapped to the outcome that the outbox needs.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve http.HandlerFunc
		out   notify.Outcome
		after time.Duration
	}{
		{"taken", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, notify.Delivered, 0},
		{"gone", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(410) }, notify.Rejected, 0},
		{"unreadable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(422) }, notify.Rejected, 0},
		{"rate limited", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "7"); w.WriteHeader(429) }, notify.NotDelivered, 7 * time.Second},
		{"very long delay", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "999999")
			w.WriteHeader(429)
		}, notify.NotDelivered, maxRetryAfter},
		{"temporarily forbidden", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(403) }, notify.NotDelivered, 0},
		{"elsewhere", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}, notify.NotDelivered, 0},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, notify.Unknown, 0},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, notify.Unknown, 0},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = c.Write([]byte("what is this\r\n\r\n"))
				_ = c.Close()
			}
		}, notify.Unknown, 0},
		{"never", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, notify.Unknown, 0},
		{"endless", func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < 1000; i++ {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}, notify.Delivered, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				c.serve(w, r)
			}))
			defer srv.Close()
			out, after := newTestSender(t, Receiver{URL: srv.URL, Timeout: 1500 * time.Millisecond}).Send(t.Context(), testSend, 9, leading)
			if out != c.out || after != core.Micros(c.after/time.Microsecond) || requests.Load() != 1 {
				t.Errorf("outcome %d, retry after %d us, %d requests", out, after, requests.Load())
			}
		})
	}
	srv := httptest.NewServer(nil)
	srv.Close()
	if out, _ := newTestSender(t, Receiver{URL: srv.URL}).Send(t.Context(), testSend, 9, leading); out != notify.NotDelivered {
		t.Errorf("closed port: outcome %d", out)
	}
}

// A delivery is a CloudEvent whose signature the receiver can verify with either secret while one
// is being replaced. Changed or outdated deliveries are rejected.
func TestSignature(t *testing.T) {
	var got http.Header
	var body []byte
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r.Header
		body, _ = io.ReadAll(r.Body)
	}))
	defer srv.Close()
	s := newTestSender(t, Receiver{URL: srv.URL, Secrets: [][]byte{[]byte("new"), []byte("old")}})
	if out, _ := s.Send(t.Context(), testSend, 41, leading); out != notify.Delivered {
		t.Fatal(out)
	}
	var e struct {
		SpecVersion, ID, Source, Type, Subject, Time string
		Data                                         map[string]string
	}
	if err := json.Unmarshal(body, &e); err != nil || e.SpecVersion != "1.0" || e.ID != "k1" || e.Type != "aspenstall.job.done" || e.Source != "/aspenstall/blue" ||
		e.Subject != "job-000001" || e.Time != "2023-11-14T22:13:20.5Z" || e.Data["class"] != "c" {
		t.Errorf("%s: %+v %v", body, e, err)
	}
	if got.Get(HeaderIdempotencyKey) != "k1" || got.Get(HeaderToken) != "41" || got.Get("Content-Type") != "application/cloudevents+json" {
		t.Errorf("%v", got)
	}
	now := time.Now()
	other := got.Clone()
	other.Set(HeaderToken, "42")
	for _, c := range []struct {
		name   string
		secret string
		h      http.Header
		body   string
		now    time.Time
		want   bool
	}{
		{"new secret", "new", got, string(body), now, true},
		{"old secret", "old", got, string(body), now, true},
		{"unknown secret", "none", got, string(body), now, false},
		{"changed body", "new", got, string(body) + " ", now, false},
		{"changed token", "new", other, string(body), now, false},
		{"old timestamp", "new", got, string(body), now.Add(time.Hour), false},
		{"from the future", "new", got, string(body), now.Add(-time.Hour), false},
		{"unsigned", "new", http.Header{}, string(body), now, false},
	} {
		if v := Verify([]byte(c.secret), c.h, []byte(c.body), c.now, time.Minute); v != c.want {
			t.Errorf("%s: %v", c.name, v)
		}
	}
}

// A receiver that does not deduplicate is queried before a notification that may have taken effect
// is sent. It is not sent again if the receiver has the key.
func TestKeyLookup(t *testing.T) {
	seen, posts, down := false, 0, false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			posts++
		case down:
			w.WriteHeader(503)
		case r.URL.Query().Get("key") == "k1" && seen:
		default:
			w.WriteHeader(404)
		}
	}))
	defer srv.Close()
	s := newTestSender(t, Receiver{URL: srv.URL, LookupURL: srv.URL + "/seen?of=us"})
	for _, c := range []struct {
		ask, seen, down bool
		out             notify.Outcome
		posts           int
	}{
		{true, false, false, notify.Delivered, 1},
		{true, true, false, notify.Delivered, 0},
		{false, true, false, notify.Delivered, 1},
		{true, false, true, notify.NotAttempted, 0},
	} {
		a := testSend
		a.PossiblyDelivered, seen, down, posts = c.ask, c.seen, c.down, 0
		if out, _ := s.Send(t.Context(), a, 1, leading); out != c.out || posts != c.posts {
			t.Errorf("%+v: outcome %d, %d posts", c, out, posts)
		}
	}
}

// After repeated failures, the breaker stops attempts for some time.
func TestBreaker(t *testing.T) {
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { requests++; w.WriteHeader(500) }))
	defer srv.Close()
	s := newTestSender(t, Receiver{URL: srv.URL})
	for i := range 20 {
		out, after := s.Send(context.Background(), testSend, 1, leading)
		if i >= breakerThreshold && (out != notify.NotAttempted || after == 0) {
			t.Errorf("the open breaker returned outcome %d, and a retry delay of %d us", out, after)
		}
	}
	if requests != breakerThreshold {
		t.Errorf("%d requests reached the receiver", requests)
	}
}

// Templates are parsed and executed when they are read.
func TestBodyTemplate(t *testing.T) {
	for text, want := range map[string]string{
		`{"page": {{json .Job}}, "what": {{json .Kind}}}`: `{"page": "job-000001", "what": "done"}`,
		`{{.Job | printf "%s done"}}`:                     "job-000001 done",
		`{{.Nothing}}`:                                    "!",
		`{{.Job`:                                          "!",
		`{{template "x"}}`:                                "!",
	} {
		b, err := ParseBody("t", text)
		if want == "!" {
			if err == nil {
				t.Errorf("%s: accepted, want an error", text)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		got, kind, err := newTestSender(t, Receiver{BodyTemplate: b, ContentType: "text/plain"}).body(testSend)
		if err != nil || string(got) != want || kind != "text/plain" {
			t.Errorf("%s: %q %q %v", text, got, kind, err)
		}
	}
}

func FuzzBodyTemplate(f *testing.F) {
	f.Add("{{json .Job}}", "job-1", "blue")
	f.Add("{{range .Job}}{{end}}", "\"\n\x00", "{{.}}")
	f.Fuzz(func(t *testing.T, text, job, team string) {
		if strings.Contains(text, "printf") || strings.Contains(text, "range") {
			t.Skip("the output can be of any length, which is allowed in operators' templates")
		}
		b, err := ParseBody("t", text)
		if err != nil {
			return
		}
		a := testSend
		a.Event.Job, a.Event.Team = job, team
		one, _, err1 := New(Receiver{BodyTemplate: b}, nil).body(a)
		two, _, err2 := New(Receiver{BodyTemplate: b}, nil).body(a)
		if string(one) != string(two) || fmt.Sprint(err1) != fmt.Sprint(err2) {
			t.Errorf("%q: %q and %q", text, one, two)
		}
	})
}
