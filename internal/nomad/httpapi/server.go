package httpapi

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
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
	maxBodyBytes   = jobfile.MaxSource + 64<<10
	defaultWait    = 5 * time.Minute // as published, like maxWait
	maxWait        = 10 * time.Minute
	ioTimeout      = 20 * time.Second // to read a request's body, and to write a response
	requestTimeout = 5 * time.Second  // for requests that do not block
	minGzipBytes   = 1 << 10
	retryAfter     = time.Second
	badTokensPerS  = 10 // limit on requests with an unknown token, over all clients
	burstSeconds   = 2  // a team's burst, in seconds of its rate
)

// Handler returns a handler that serves the API on a backend. The limits bound what answers cost.
func Handler(b Backend, s *config.Nomad, l RenderLimits, log *slog.Logger) http.Handler {
	return &server{
		backend: b, pool: newRenderPool(l), tokens: newTokenTable(s), log: log, requestsPerS: rate.Limit(s.RequestsPerS),
		badTokenLimiter: rate.NewLimiter(badTokensPerS, 2*badTokensPerS), teamLimiters: map[string]*rate.Limiter{},
	}
}

type server struct {
	backend         Backend
	pool            *renderPool
	tokens          *tokenTable
	log             *slog.Logger
	requestsPerS    rate.Limit
	badTokenLimiter *rate.Limiter

	mu           sync.Mutex
	teamLimiters map[string]*rate.Limiter // by team
}

// statusError is a response with a status other than 200. Its body is a line of text, as published.
type statusError struct {
	status     int
	text       string
	retryAfter time.Duration
}

func (f *statusError) Error() string { return f.text }

// statusErrorf returns a statusError with a formatted text.
func statusErrorf(status int, format string, args ...any) error {
	return &statusError{status: status, text: fmt.Sprintf(format, args...)}
}

var (
	errForbidden        = &statusError{status: http.StatusForbidden, text: "Permission denied"}
	errJobNotFound      = &statusError{status: http.StatusNotFound, text: ErrNoJob.Error()}
	errMethodNotAllowed = &statusError{status: http.StatusMethodNotAllowed, text: "Invalid method"}
	errTooManyRequests  = &statusError{status: http.StatusTooManyRequests, text: "too many requests", retryAfter: retryAfter}
)

// request is a request that is being served.
type request struct {
	*server
	w      http.ResponseWriter
	r      *http.Request
	ctl    *http.ResponseController
	team   string
	id     string // the name in the path, unescaped
	params url.Values
}

// handler serves a request. It returns a value to be encoded, or nil if it has written the response.
type handler func(*request) (any, error)

// route is the handler of a path and the methods that it accepts.
type route struct {
	handle  handler
	methods string
	public  bool // no team's token is needed
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{server: s, w: w, r: r, ctl: http.NewResponseController(w), params: r.URL.Query()}
	_ = q.ctl.SetReadDeadline(time.Now().Add(ioTimeout))
	v, err := q.dispatch()
	if err != nil {
		q.writeError(err)
		return
	}
	switch v := v.(type) {
	case nil:
	case *encodedAnswer:
		defer v.release()
		q.writeBody(http.StatusOK, v.body)
	default:
		q.writeJSON(http.StatusOK, v)
	}
}

// dispatch checks the request's method, token, rate and common parameters, and calls the handler of
// the route.
func (q *request) dispatch() (any, error) {
	rt, id, err := findRoute(q.r.URL.EscapedPath())
	if err != nil {
		return nil, err
	}
	q.id = id
	if !slices.Contains(strings.Fields(rt.methods), q.r.Method) {
		return nil, errMethodNotAllowed
	}
	if !rt.public {
		if err := q.authorize(); err != nil {
			return nil, err
		}
	}
	if region := q.params.Get("region"); region != "" && region != "global" {
		return nil, statusErrorf(http.StatusInternalServerError, "No path to region")
	}
	if q.params.Get("filter") != "" {
		return nil, statusErrorf(http.StatusBadRequest, "filter expressions are not served")
	}
	return rt.handle(q)
}

// authorize sets the caller's team and checks the team's rate limit.
func (q *request) authorize() error {
	token := q.r.Header.Get("X-Nomad-Token")
	if token == "" {
		token, _ = strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	}
	team, ok := q.tokens.teamOf(token)
	if !ok {
		if !q.badTokenLimiter.Allow() {
			return errTooManyRequests
		}
		return errForbidden
	}
	q.team = team
	q.mu.Lock()
	l := q.teamLimiters[team]
	if l == nil {
		l = rate.NewLimiter(q.requestsPerS, max(int(q.requestsPerS*burstSeconds), 1))
		q.teamLimiters[team] = l
	}
	q.mu.Unlock()
	if !l.Allow() {
		return errTooManyRequests
	}
	return nil
}

// namespaceVisible reports whether the requested namespace is the caller's. Other namespaces are
// treated as if they did not exist.
func (q *request) namespaceVisible() bool {
	switch ns := q.params.Get("namespace"); ns {
	case "", "*", translate.DefaultNamespace, q.team:
		return true
	}
	return false
}

func (q *request) jobName() registry.Name { return registry.Name{Team: q.team, ID: q.id} }

// withTimeout returns the context of a request that does not block.
func (q *request) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(q.r.Context(), requestTimeout)
}

// readBody reads the request's body.
func (q *request) readBody() ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, maxBodyBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, statusErrorf(http.StatusRequestEntityTooLarge, "the request has more than %d bytes", maxBodyBytes)
	case err != nil:
		return nil, statusErrorf(http.StatusBadRequest, "the request body is incomplete")
	}
	return b, nil
}

// parseQuery reads the parameters of a blocking query.
func (q *request) parseQuery(name registry.Name, wakeOnCounts bool) (Query, error) {
	out := Query{Name: name, WakeOnCounts: wakeOnCounts, MaxWait: defaultWait}
	if s := q.params.Get("index"); s != "" {
		i, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return out, statusErrorf(http.StatusBadRequest, "Invalid index")
		}
		out.AfterIndex = i
	}
	if s := q.params.Get("wait"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 {
			return out, statusErrorf(http.StatusBadRequest, "Invalid wait time")
		}
		out.MaxWait = min(d, maxWait)
	}
	// As published: jitter of up to a sixteenth keeps clients from returning all at once.
	out.MaxWait += rand.N(out.MaxWait/16 + 1)
	return out, nil
}

// readRegistry reads the registry as a blocking query and sets the query's headers. For a namespace
// that is not the caller's, read is not called.
func (q *request) readRegistry(name registry.Name, wakeOnCounts bool, read func(*registry.Registry)) error {
	query, err := q.parseQuery(name, wakeOnCounts)
	if err != nil {
		return err
	}
	if !q.namespaceVisible() {
		read = func(*registry.Registry) {}
	}
	_, err = q.runQuery(query, read)
	return err
}

// runQuery runs read on the backend when the query is due. It sets the headers of a blocking query and
// returns the registry's index.
func (q *request) runQuery(query Query, read func(*registry.Registry)) (uint64, error) {
	limit := requestTimeout
	if query.AfterIndex > 0 {
		limit += query.MaxWait
	}
	// While the query waits, the connection is read only to notice that the client is gone.
	_ = q.ctl.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithTimeout(q.r.Context(), limit)
	defer cancel()
	index, err := q.backend.ReadRegistry(ctx, query, read)
	if err != nil {
		return 0, err
	}
	h := q.w.Header()
	h.Set("X-Nomad-Index", strconv.FormatUint(index, 10))
	h.Set("X-Nomad-KnownLeader", strconv.FormatBool(q.backend.Members(ctx).Leader != ""))
	h.Set("X-Nomad-LastContact", "0")
	return index, nil
}

// writeError writes an error as a response. An unknown error is logged, and answered with status 500
// without its text.
func (q *request) writeError(err error) {
	var f *statusError
	var refused *RefusedError
	var conflict *registry.ConflictError
	var large *registry.TooLargeError
	switch {
	case errors.As(err, &f):
	case errors.As(err, &refused):
		f = &statusError{status: http.StatusBadRequest, text: refused.Error()}
	case errors.As(err, &conflict):
		f = &statusError{status: http.StatusConflict, text: conflict.Error()}
	case errors.As(err, &large):
		f = &statusError{status: http.StatusRequestEntityTooLarge, text: large.Error()}
	case errors.Is(err, ErrNoJob):
		f = errJobNotFound
	case errors.Is(err, ErrBusy):
		f = &statusError{status: http.StatusTooManyRequests, text: ErrBusy.Error(), retryAfter: retryAfter}
	case errors.Is(err, ErrNoLeader):
		f = &statusError{status: http.StatusServiceUnavailable, text: ErrNoLeader.Error(), retryAfter: retryAfter}
	case errors.Is(err, ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		f = &statusError{status: http.StatusServiceUnavailable, text: ErrUnavailable.Error(), retryAfter: retryAfter}
	default:
		q.log.Error("request", "path", q.r.URL.Path, "err", err)
		f = &statusError{status: http.StatusInternalServerError, text: "internal error"}
	}
	if f.retryAfter > 0 {
		q.w.Header().Set("Retry-After", strconv.Itoa(int((f.retryAfter+time.Second-1)/time.Second)))
	}
	q.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	q.w.Header().Set("X-Content-Type-Options", "nosniff")
	_ = q.ctl.SetWriteDeadline(time.Now().Add(ioTimeout))
	q.w.WriteHeader(f.status)
	_, _ = io.WriteString(q.w, f.text)
}

// writeJSON writes v as JSON.
func (q *request) writeJSON(status int, v any) {
	b, err := q.encodeJSON(v)
	if err != nil {
		q.writeError(err)
		return
	}
	q.writeBody(status, b)
}

// writeBody writes an encoded answer, compressed if it is long and the client accepts gzip.
func (q *request) writeBody(status int, out []byte) {
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Vary", "Accept-Encoding")
	if len(out) >= minGzipBytes && acceptsGzip(q.r) {
		var z bytes.Buffer
		w := gzip.NewWriter(&z)
		_, _ = w.Write(out) // writing to memory does not fail
		_ = w.Close()
		h.Set("Content-Encoding", "gzip")
		out = z.Bytes()
	}
	h.Set("Content-Length", strconv.Itoa(len(out)))
	_ = q.ctl.SetWriteDeadline(time.Now().Add(ioTimeout))
	q.w.WriteHeader(status)
	_, _ = q.w.Write(out)
}

// acceptsGzip reports whether the client accepts a gzip-compressed response.
func acceptsGzip(r *http.Request) bool {
	for _, e := range strings.Split(r.Header.Get("Accept-Encoding"), ",") {
		name, params, _ := strings.Cut(strings.TrimSpace(e), ";")
		if name == "gzip" && strings.ReplaceAll(params, " ", "") != "q=0" {
			return true
		}
	}
	return false
}
