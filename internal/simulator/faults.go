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
	mu     sync.Mutex
	random *Streams // by client and path

	LoseRequest float64 // closed without having been executed
	LoseAnswer  float64 // executed, and closed without an answer
	NoAnswer    float64 // executed at once, and never answered: the client gives up
	Late        float64 // given up, and executed LateBy later, or up to LateMore after that
	LateBy      time.Duration
	LateMore    time.Duration
	LateOnly    string        // late, or without an answer, are requests to this path, if any is given
	Again       float64       // requests to a node of which a copy arrives again, LateBy later or more
	Delay       time.Duration // up to this much before it is executed
	Down        bool          // 503 to everybody
	Refuse      map[string]bool
	RefuseReads map[string]bool // of these clients
	RefuseText  string          // requests whose body holds it

	// Repeated is told of each request that was carried out late or again, and how that
	// was answered; the lock is held.
	Repeated func(path string, status int)

	// Unanswered is told of each request that was executed without an answer, how it would
	// have been answered and what it held; the lock is held.
	Unanswered func(path string, status int, body []byte)

	// Kept is given each request that comes, for copies of it; the lock is held.
	Kept func(path string, body []byte)

	// End says how a node's process ends with a request of its own, or with one that
	// it serves; ends then ends it.
	End  func(r *http.Request, body []byte) Ending
	ends func(r *http.Request)
}

// Ending is how a node's process ends with a request.
type Ending int

// The endings.
const (
	GoesOn     Ending = iota
	EndsBefore        // the request is lost with it
	EndsAfter         // the request is executed; of the answer a half may be sent
	EndsLate          // the request is executed LateBy later
)

// NewFaults returns faults with a seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: NewStreams(seed), Refuse: map[string]bool{}, RefuseReads: map[string]bool{}}
}

// Set changes the faults.
func (f *Faults) Set(change func(*Faults)) {
	f.mu.Lock()
	change(f)
	f.mu.Unlock()
}

// Wrap puts the faults before a handler.
func (f *Faults) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		random := f.random.Of(r.RemoteAddr + " " + r.URL.Path)
		dice := random.Float64()
		text := f.RefuseText
		delay := time.Duration(random.Float64() * float64(f.Delay))
		loseReq, loseAns, noAns, late, lateBy := f.LoseRequest, f.LoseAnswer, f.NoAnswer, f.Late, f.LateBy
		lateBy += time.Duration(random.Float64() * float64(f.LateMore))
		if f.LateOnly != "" && r.URL.Path != f.LateOnly {
			late, noAns = 0, 0
		}
		again := f.Again > 0 && random.Float64() < f.Again
		if f.Kept != nil {
			b := readBody(r)
			body, _ := io.ReadAll(b())
			f.Kept(r.URL.Path, body)
			r.Body = b()
		}
		f.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		down := f.refuses(r)
		if text != "" {
			b := readBody(r)
			body, _ := io.ReadAll(b())
			down = down || bytes.Contains(body, []byte(text))
			r.Body = b()
		}
		if f.End != nil {
			b := readBody(r)
			body, _ := io.ReadAll(b())
			r.Body = b()
			switch f.End(r, body) {
			case EndsBefore:
				f.ends(r)
				panic(http.ErrAbortHandler)
			case EndsAfter:
				rec := httptest.NewRecorder()
				h.ServeHTTP(rec, r)
				w.Header().Set("Content-Length", strconv.Itoa(rec.Body.Len()))
				w.WriteHeader(rec.Code)
				_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
				_ = http.NewResponseController(w).Flush()
				f.ends(r)
				panic(http.ErrAbortHandler)
			case EndsLate:
				f.ends(r)
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
			f.unanswered(h, r)
			panic(http.ErrAbortHandler)
		case dice < loseReq+loseAns+noAns+late:
			f.repeat(h, r, lateBy)
			panic(http.ErrAbortHandler)
		case again:
			f.repeat(h, r, lateBy)
		}
		if r.URL.Path == wire.ChangesPath {
			f.watch(w, r, h)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// unanswered executes the request, and leaves its client waiting until it gives up.
func (f *Faults) unanswered(h http.Handler, r *http.Request) {
	b := readBody(r)
	r.Body = b()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	f.mu.Lock()
	if f.Unanswered != nil {
		body, _ := io.ReadAll(b())
		f.Unanswered(r.URL.Path, rec.Code, body)
	}
	f.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// repeat has a copy of the request executed so much later, whose answer goes nowhere.
func (f *Faults) repeat(h http.Handler, r *http.Request, after time.Duration) {
	b := readBody(r)
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
		if f.Repeated != nil {
			f.Repeated(again.URL.Path, rec.Code)
		}
	}()
}

// watch serves a read of the changes. While the client is refused an open one waits,
// as in an outage.
func (f *Faults) watch(w http.ResponseWriter, r *http.Request, h http.Handler) {
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
	return f.Down || f.Refuse[r.RemoteAddr] || r.Method == http.MethodGet && f.RefuseReads[r.RemoteAddr]
}
