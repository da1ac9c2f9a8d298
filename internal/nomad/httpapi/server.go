package httpapi

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"aspenstall/internal/config"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/nomad/translate"
)

const (
	maxBody      = jobfile.MaxSource + 64<<10
	defaultWait  = 5 * time.Minute // published, as is the next
	maxWait      = 10 * time.Minute
	bodyTime     = 20 * time.Second // to read a request's body, and to write an answer
	workTime     = 5 * time.Second  // for what does not block
	minGzip      = 1 << 10
	retryAfter   = time.Second
	badTokens    = 10 // a second, of all clients together
	requestBurst = 2  // seconds' worth
)

// Handler serves the interface on a backend.
func Handler(b Backend, s *config.Nomad, log *slog.Logger) http.Handler {
	return &server{
		b: b, tokens: newTokens(s), log: log, perSecond: rate.Limit(s.RequestsPerS),
		bad: rate.NewLimiter(badTokens, 2*badTokens), limits: map[string]*rate.Limiter{},
	}
}

type server struct {
	b         Backend
	tokens    *tokens
	log       *slog.Logger
	perSecond rate.Limit
	bad       *rate.Limiter

	mu     sync.Mutex
	limits map[string]*rate.Limiter // by team
}

// failure is an answer other than 200: the published ones are a line of text.
type failure struct {
	status int
	text   string
	retry  time.Duration
}

func (f *failure) Error() string { return f.text }

func fail(status int, format string, args ...any) error {
	return &failure{status: status, text: fmt.Sprintf(format, args...)}
}

var (
	errDenied  = &failure{status: http.StatusForbidden, text: "Permission denied"}
	errNoJob   = &failure{status: http.StatusNotFound, text: ErrNoJob.Error()}
	errMethod  = &failure{status: http.StatusMethodNotAllowed, text: "Invalid method"}
	errTooMany = &failure{status: http.StatusTooManyRequests, text: "too many requests", retry: retryAfter}
)

// request is one request under way.
type request struct {
	*server
	w    http.ResponseWriter
	r    *http.Request
	ctl  *http.ResponseController
	team string
	id   string // what the path names
	q    url.Values
}

// handler answers a request: with a value to be encoded, or nil if it has
// answered by itself.
type handler func(*request) (any, error)

// route finds who answers a path.
type route struct {
	handle  handler
	methods string
	open    bool // without a token
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{server: s, w: w, r: r, ctl: http.NewResponseController(w), q: r.URL.Query()}
	_ = q.ctl.SetReadDeadline(time.Now().Add(bodyTime))
	v, err := q.serve()
	switch {
	case err != nil:
		q.fail(err)
	case v != nil:
		q.write(http.StatusOK, v)
	}
}

func (q *request) serve() (any, error) {
	rt, id, err := find(q.r.URL.EscapedPath())
	if err != nil {
		return nil, err
	}
	q.id = id
	if !strings.Contains(rt.methods, q.r.Method) {
		return nil, errMethod
	}
	if !rt.open {
		if err := q.authorize(); err != nil {
			return nil, err
		}
	}
	if region := q.q.Get("region"); region != "" && region != "global" {
		return nil, fail(http.StatusInternalServerError, "No path to region")
	}
	if q.q.Get("filter") != "" {
		return nil, fail(http.StatusBadRequest, "filter expressions are not served")
	}
	return rt.handle(q)
}

// authorize finds the caller's team and whether it may ask so often.
func (q *request) authorize() error {
	token := q.r.Header.Get("X-Nomad-Token")
	if token == "" {
		token, _ = strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	}
	team, ok := q.tokens.team(token)
	if !ok {
		if !q.bad.Allow() {
			return errTooMany
		}
		return errDenied
	}
	q.team = team
	q.mu.Lock()
	l := q.limits[team]
	if l == nil {
		l = rate.NewLimiter(q.perSecond, max(int(q.perSecond*requestBurst), 1))
		q.limits[team] = l
	}
	q.mu.Unlock()
	if !l.Allow() {
		return errTooMany
	}
	return nil
}

// visible reports whether the namespace that is asked for is the caller's; the
// others are as if they did not exist.
func (q *request) visible() bool {
	switch ns := q.q.Get("namespace"); ns {
	case "", "*", translate.DefaultNamespace, q.team:
		return true
	}
	return false
}

func (q *request) name() registry.Name { return registry.Name{Team: q.team, ID: q.id} }

// work is the time that an answer may take which does not block.
func (q *request) work() (context.Context, context.CancelFunc) {
	return context.WithTimeout(q.r.Context(), workTime)
}

// body reads the request's body.
func (q *request) body() ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, maxBody))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, fail(http.StatusRequestEntityTooLarge, "the request has more than %d bytes", maxBody)
	case err != nil:
		return nil, fail(http.StatusBadRequest, "the request was cut short")
	}
	return b, nil
}

// query reads the parameters of a blocking query.
func (q *request) query(of registry.Name, progress bool) (Query, error) {
	out := Query{Of: of, Progress: progress, Wait: defaultWait}
	if s := q.q.Get("index"); s != "" {
		i, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return out, fail(http.StatusBadRequest, "Invalid index")
		}
		out.After = i
	}
	if s := q.q.Get("wait"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 {
			return out, fail(http.StatusBadRequest, "Invalid wait time")
		}
		out.Wait = min(d, maxWait)
	}
	// As published: so that not all come back at once.
	out.Wait += rand.N(out.Wait/16 + 1)
	return out, nil
}

// look looks at the registry as a blocking query and sets the headers of one.
// Of a namespace that is not the caller's nothing is seen.
func (q *request) look(of registry.Name, progress bool, see func(*registry.Registry)) error {
	qu, err := q.query(of, progress)
	if err != nil {
		return err
	}
	if !q.visible() {
		see = func(*registry.Registry) {}
	}
	_, err = q.lookFor(qu, see)
	return err
}

func (q *request) lookFor(qu Query, see func(*registry.Registry)) (uint64, error) {
	limit := workTime
	if qu.After > 0 {
		limit += qu.Wait
	}
	// While it waits, nothing is read but that the client goes away.
	_ = q.ctl.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithTimeout(q.r.Context(), limit)
	defer cancel()
	index, err := q.b.Look(ctx, qu, see)
	if err != nil {
		return 0, err
	}
	h := q.w.Header()
	h.Set("X-Nomad-Index", strconv.FormatUint(index, 10))
	h.Set("X-Nomad-KnownLeader", strconv.FormatBool(q.b.Members(ctx).Leader != ""))
	h.Set("X-Nomad-LastContact", "0")
	return index, nil
}

func (q *request) fail(err error) {
	var f *failure
	var refused *RefusedError
	var conflict *registry.ConflictError
	var large *registry.TooLargeError
	switch {
	case errors.As(err, &f):
	case errors.As(err, &refused):
		f = &failure{status: http.StatusBadRequest, text: refused.Error()}
	case errors.As(err, &conflict):
		f = &failure{status: http.StatusConflict, text: conflict.Error()}
	case errors.As(err, &large):
		f = &failure{status: http.StatusRequestEntityTooLarge, text: large.Error()}
	case errors.Is(err, ErrNoJob):
		f = errNoJob
	case errors.Is(err, ErrBusy):
		f = &failure{status: http.StatusTooManyRequests, text: ErrBusy.Error(), retry: retryAfter}
	case errors.Is(err, ErrNoLeader):
		f = &failure{status: http.StatusServiceUnavailable, text: ErrNoLeader.Error(), retry: retryAfter}
	case errors.Is(err, ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		f = &failure{status: http.StatusServiceUnavailable, text: ErrUnavailable.Error(), retry: retryAfter}
	default:
		q.log.Error("request", "path", q.r.URL.Path, "err", err)
		f = &failure{status: http.StatusInternalServerError, text: "internal error"}
	}
	if f.retry > 0 {
		q.w.Header().Set("Retry-After", strconv.Itoa(int((f.retry+time.Second-1)/time.Second)))
	}
	q.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	q.w.Header().Set("X-Content-Type-Options", "nosniff")
	_ = q.ctl.SetWriteDeadline(time.Now().Add(bodyTime))
	q.w.WriteHeader(f.status)
	_, _ = io.WriteString(q.w, f.text)
}

func (q *request) write(status int, v any) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if q.q.Has("pretty") {
		enc.SetIndent("", "    ")
	}
	if err := enc.Encode(v); err != nil {
		q.fail(err)
		return
	}
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Vary", "Accept-Encoding")
	out := b.Bytes()
	if len(out) >= minGzip && acceptsGzip(q.r) {
		var z bytes.Buffer
		w := gzip.NewWriter(&z)
		_, _ = w.Write(out) // into memory: it does not fail
		_ = w.Close()
		h.Set("Content-Encoding", "gzip")
		out = z.Bytes()
	}
	h.Set("Content-Length", strconv.Itoa(len(out)))
	_ = q.ctl.SetWriteDeadline(time.Now().Add(bodyTime))
	q.w.WriteHeader(status)
	_, _ = q.w.Write(out)
}

func acceptsGzip(r *http.Request) bool {
	for _, e := range strings.Split(r.Header.Get("Accept-Encoding"), ",") {
		name, params, _ := strings.Cut(strings.TrimSpace(e), ";")
		if name == "gzip" && strings.ReplaceAll(params, " ", "") != "q=0" {
			return true
		}
	}
	return false
}
