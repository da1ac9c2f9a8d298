package simulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"aspenstall/internal/wire"
)

// Faults injects faults into the requests to a simulated service or to a node. They are random from
// a fixed seed. LoseRequest to ExecuteLate and Duplicate are probabilities.
type Faults struct {
	mu      sync.Mutex
	streams *Streams // by client and path

	LoseRequest       float64       // connection closed, request not executed
	LoseResponse      float64       // request executed, connection closed without a response
	WithholdResponse  float64       // request executed at once, no response: the client times out
	ExecuteLate       float64       // connection closed, request executed after the late delay
	LateDelay         time.Duration // the late delay is LateDelay plus a random time up to LateJitter
	LateJitter        time.Duration
	LatePath          string          // if set, ExecuteLate and WithholdResponse apply to this path only
	LateContaining    string          // if set, ExecuteLate applies only to requests whose body contains this text
	Duplicate         float64         // request executed, and a copy executed after the late delay
	MaxDelay          time.Duration   // each request is delayed by a random time up to this
	Down              bool            // all requests are answered with 503
	RefuseClients     map[string]bool // requests of these clients are answered with 503
	RefuseReadClients map[string]bool // GET requests of these clients are answered with 503
	RefuseContaining  string          // requests whose body contains this text are answered with 503

	// OnRepeated is called for each request that was executed late or as a duplicate, with the
	// status of its response; the lock is held.
	OnRepeated func(path string, status int)

	// OnUnanswered is called for each request whose response was withheld, with the status that it
	// would have had and the request's body; the lock is held.
	OnUnanswered func(path string, status int, body []byte)

	// OnRequest is called for each request that arrives, with its body, so that a test can send
	// copies of it; the lock is held.
	OnRequest func(path string, body []byte)

	// CrashOn returns whether and when a node's process crashes during a request that it sends or
	// serves. crashNode then ends the process.
	CrashOn   func(r *http.Request, body []byte) CrashPoint
	crashNode func(r *http.Request)
}

// CrashPoint is the point of a request at which a node's process crashes.
type CrashPoint int

// The points at which a node can crash.
const (
	NoCrash              CrashPoint = iota
	CrashBeforeRequest              // the request is lost
	CrashAfterRequest               // the request is executed, and half of the response may be sent
	CrashThenLateRequest            // the request is executed after the late delay, at least a second later
)

// NewFaults returns a fault injector that injects nothing until it is configured. Its random
// choices follow from the seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{streams: NewStreams(seed), RefuseClients: map[string]bool{}, RefuseReadClients: map[string]bool{}}
}

// Update changes the configuration of the faults under the lock.
func (f *Faults) Update(change func(*Faults)) {
	f.mu.Lock()
	change(f)
	f.mu.Unlock()
}

// Wrap returns a handler that injects the faults into requests to h.
func (f *Faults) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		random := f.streams.Stream(r.RemoteAddr + " " + r.URL.Path)
		dice := random.Float64()
		refuseText := f.RefuseContaining
		delay := time.Duration(random.Float64() * float64(f.MaxDelay))
		lateText := f.LateContaining
		loseRequest, loseResponse, withhold, executeLate, lateDelay := f.LoseRequest, f.LoseResponse, f.WithholdResponse, f.ExecuteLate, f.LateDelay
		lateDelay += time.Duration(random.Float64() * float64(f.LateJitter))
		if f.LatePath != "" && r.URL.Path != f.LatePath {
			executeLate, withhold = 0, 0
		}
		again := f.Duplicate > 0 && random.Float64() < f.Duplicate
		if f.OnRequest != nil {
			b := bodyCopier(r)
			body, _ := io.ReadAll(b())
			f.OnRequest(r.URL.Path, body)
			r.Body = b()
		}
		crashOn := f.CrashOn
		f.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		down := f.refuses(r) || refuseText != "" && bodyContains(r, refuseText)
		if lateText != "" && !bodyContains(r, lateText) {
			executeLate = 0
		}
		if crashOn != nil {
			b := bodyCopier(r)
			body, _ := io.ReadAll(b())
			r.Body = b()
			switch crashOn(r, body) {
			case CrashBeforeRequest:
				f.crashNode(r)
				panic(http.ErrAbortHandler)
			case CrashAfterRequest:
				rec := httptest.NewRecorder()
				h.ServeHTTP(rec, r)
				w.Header().Set("Content-Length", strconv.Itoa(rec.Body.Len()))
				w.WriteHeader(rec.Code)
				_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
				_ = http.NewResponseController(w).Flush()
				f.crashNode(r)
				panic(http.ErrAbortHandler)
			case CrashThenLateRequest:
				f.crashNode(r)
				executeLate, lateDelay = 1, max(lateDelay, time.Second)
				dice, loseRequest, loseResponse, withhold = 0, 0, 0, 0
			}
		}
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case dice < loseRequest:
			panic(http.ErrAbortHandler)
		case dice < loseRequest+loseResponse:
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case dice < loseRequest+loseResponse+withhold:
			f.executeUnanswered(h, r)
			panic(http.ErrAbortHandler)
		case dice < loseRequest+loseResponse+withhold+executeLate:
			f.executeCopyLater(h, r, lateDelay)
			panic(http.ErrAbortHandler)
		case again:
			f.executeCopyLater(h, r, lateDelay)
		}
		if r.URL.Path == wire.ChangesPath {
			f.serveChanges(w, r, h)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// bodyContains reports whether a request's body contains a text. The body can be read again.
func bodyContains(r *http.Request, text string) bool {
	b := bodyCopier(r)
	body, _ := io.ReadAll(b())
	r.Body = b()
	return bytes.Contains(body, []byte(text))
}

// executeUnanswered executes the request and waits, without a response, until the client times out,
// at most 10 s.
func (f *Faults) executeUnanswered(h http.Handler, r *http.Request) {
	b := bodyCopier(r)
	r.Body = b()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	f.mu.Lock()
	if f.OnUnanswered != nil {
		body, _ := io.ReadAll(b())
		f.OnUnanswered(r.URL.Path, rec.Code, body)
	}
	f.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// executeCopyLater executes a copy of the request after a delay and discards its response.
func (f *Faults) executeCopyLater(h http.Handler, r *http.Request, delay time.Duration) {
	b := bodyCopier(r)
	r.Body = b()
	go func() {
		time.Sleep(delay)
		again := r.Clone(context.WithoutCancel(r.Context()))
		again.Body = b()
		defer func() { _ = recover() }() // the handler aborts if its process or machine has ended meanwhile
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, again)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.OnRepeated != nil {
			f.OnRepeated(again.URL.Path, rec.Code)
		}
	}()
}

// serveChanges serves a watch request for changes. Its response is held back while the client is
// refused, as in an outage.
func (f *Faults) serveChanges(w http.ResponseWriter, r *http.Request, h http.Handler) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	for f.refuses(r) && r.Context().Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes())
}

// refuses reports whether a request is to be answered with 503 because of Down or its client.
func (f *Faults) refuses(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Down || f.RefuseClients[r.RemoteAddr] || r.Method == http.MethodGet && f.RefuseReadClients[r.RemoteAddr]
}
