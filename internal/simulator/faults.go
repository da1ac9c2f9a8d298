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

// Faults makes a stand-in's answers go wrong, by chance from a fixed seed.
type Faults struct {
	mu      sync.Mutex
	streams *Streams // by client and path

	LoseRequest       float64 // closed without having been executed
	LoseResponse      float64 // executed, and closed without an answer
	WithholdResponse  float64 // executed at once, and never answered: the client gives up
	ExecuteLate       float64 // given up, and executed LateBy later, or up to LateMore after that
	LateDelay         time.Duration
	LateJitter        time.Duration
	LatePath          string        // late, or without an answer, are requests to this path, if any is given
	Duplicate         float64       // requests to a node of which a copy arrives again, LateBy later or more
	MaxDelay          time.Duration // up to this much before it is executed
	Down              bool          // 503 to everybody
	RefuseClients     map[string]bool
	RefuseReadClients map[string]bool // of these clients
	RefuseContaining  string          // requests whose body holds it

	// Repeated is told of each request that was carried out late or again, and how that
	// was answered; the lock is held.
	OnRepeated func(path string, status int)

	// Unanswered is told of each request that was executed without an answer, how it would
	// have been answered and what it held; the lock is held.
	OnUnanswered func(path string, status int, body []byte)

	// Kept is given each request that comes, for copies of it; the lock is held.
	OnRequest func(path string, body []byte)

	// End says how a node's process ends with a request of its own, or with one that
	// it serves; ends then ends it.
	CrashOn   func(r *http.Request, body []byte) CrashPoint
	crashNode func(r *http.Request)
}

// Ending is how a node's process ends with a request.
type CrashPoint int

// The endings.
const (
	NoCrash              CrashPoint = iota
	CrashBeforeRequest              // the request is lost with it
	CrashAfterRequest               // the request is executed; of the answer a half may be sent
	CrashThenLateRequest            // the request is executed LateBy later
)

// NewFaults returns faults with a seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{streams: NewStreams(seed), RefuseClients: map[string]bool{}, RefuseReadClients: map[string]bool{}}
}

// Set changes the faults.
func (f *Faults) Update(change func(*Faults)) {
	f.mu.Lock()
	change(f)
	f.mu.Unlock()
}

// Wrap puts the faults before a handler.
func (f *Faults) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		random := f.streams.Stream(r.RemoteAddr + " " + r.URL.Path)
		dice := random.Float64()
		text := f.RefuseContaining
		delay := time.Duration(random.Float64() * float64(f.MaxDelay))
		loseReq, loseAns, noAns, late, lateBy := f.LoseRequest, f.LoseResponse, f.WithholdResponse, f.ExecuteLate, f.LateDelay
		lateBy += time.Duration(random.Float64() * float64(f.LateJitter))
		if f.LatePath != "" && r.URL.Path != f.LatePath {
			late, noAns = 0, 0
		}
		again := f.Duplicate > 0 && random.Float64() < f.Duplicate
		if f.OnRequest != nil {
			b := bodyCopier(r)
			body, _ := io.ReadAll(b())
			f.OnRequest(r.URL.Path, body)
			r.Body = b()
		}
		f.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		down := f.refuses(r)
		if text != "" {
			b := bodyCopier(r)
			body, _ := io.ReadAll(b())
			down = down || bytes.Contains(body, []byte(text))
			r.Body = b()
		}
		if f.CrashOn != nil {
			b := bodyCopier(r)
			body, _ := io.ReadAll(b())
			r.Body = b()
			switch f.CrashOn(r, body) {
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
				late, lateBy = 1, max(lateBy, time.Second)
				dice, loseReq, loseAns, noAns = 0, 0, 0, 0
			}
		}
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case dice < loseReq:
			panic(http.ErrAbortHandler)
		case dice < loseReq+loseAns:
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case dice < loseReq+loseAns+noAns:
			f.executeUnanswered(h, r)
			panic(http.ErrAbortHandler)
		case dice < loseReq+loseAns+noAns+late:
			f.executeCopyLater(h, r, lateBy)
			panic(http.ErrAbortHandler)
		case again:
			f.executeCopyLater(h, r, lateBy)
		}
		if r.URL.Path == wire.ChangesPath {
			f.serveChanges(w, r, h)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// unanswered executes the request, and leaves its client waiting until it gives up.
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

// repeat has a copy of the request executed so much later, whose answer goes nowhere.
func (f *Faults) executeCopyLater(h http.Handler, r *http.Request, after time.Duration) {
	b := bodyCopier(r)
	r.Body = b()
	go func() {
		time.Sleep(after)
		again := r.Clone(context.WithoutCancel(r.Context()))
		again.Body = b()
		defer func() { _ = recover() }() // whoever it was for may be gone
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, again)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.OnRepeated != nil {
			f.OnRepeated(again.URL.Path, rec.Code)
		}
	}()
}

// watch serves a read of the changes. While the client is refused an open one waits,
// as in an outage.
func (f *Faults) serveChanges(w http.ResponseWriter, r *http.Request, h http.Handler) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	for f.refuses(r) && r.Context().Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes())
}

func (f *Faults) refuses(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Down || f.RefuseClients[r.RemoteAddr] || r.Method == http.MethodGet && f.RefuseReadClients[r.RemoteAddr]
}
