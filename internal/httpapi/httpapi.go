// Package httpapi serves users, workers and health checks over HTTP.
package httpapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/wire"
)

// Response is the response to a request.
type Response struct {
	Status     int
	Body       any           // encoded unless Raw is set
	Raw        []byte        // an encoded body
	RetryAfter time.Duration // with 429 and 503
	Fresh      func() bool   // if set, called right before writing; if it returns false, the response is 503
}

// Unavailable returns a 503 response that asks the client to retry after a second.
func Unavailable() Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// Service handles the requests. Every method returns by itself before its context ends or soon
// after.
type Service interface {
	// Submit handles a submission. spec is nil if it is malformed; id then names the job that it
	// may be a retry of.
	Submit(ctx context.Context, id string, spec *core.JobSpec) Response
	Poll(ctx context.Context, id string) Response
	Cancel(ctx context.Context, id string) Response
	Report(ctx context.Context, r *core.Report) Response
	Healthy() bool
}

// Deadlines of requests. Users wait 5 s for a submission and 2 s for a poll, workers 4 s for a
// report.
const (
	submitDeadline = 3 * time.Second
	pollDeadline   = 1500 * time.Millisecond
	reportDeadline = 2 * time.Second
)

// Handler returns the HTTP handler for a service.
func Handler(s Service) http.Handler {
	h := &handler{s}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.HealthPath, h.handleHealth)
	mux.HandleFunc(wire.ReportPath, h.handleReport)
	mux.HandleFunc(wire.JobsPath, h.handleSubmit)
	mux.HandleFunc(wire.JobsPath+"/", h.handleJob)
	return mux
}

type handler struct{ service Service }

func (h *handler) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if h.service.Healthy() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// readBody reads a request's body. ok is false if the body is too long or truncated; the request
// then needs no further response.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err == nil {
		return b, true
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		w.WriteHeader(http.StatusBadRequest)
	}
	return nil, false
}

func (h *handler) handleSubmit(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	b, ok := readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitDeadline)
	defer cancel()
	spec, err := wire.ParseSubmission(b)
	if err == nil {
		writeResponse(w, h.service.Submit(ctx, spec.ID, &spec))
		return
	}
	id := wire.SubmissionID(b)
	if id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeResponse(w, h.service.Submit(ctx, id, nil))
}

func (h *handler) handleJob(w http.ResponseWriter, r *http.Request) {
	id, suffix, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.JobsPath+"/"), "/")
	switch {
	case !wire.ValidID(id):
		w.WriteHeader(http.StatusNotFound)
	case suffix == "" && r.Method == http.MethodGet:
		ctx, cancel := context.WithTimeout(r.Context(), pollDeadline)
		defer cancel()
		writeResponse(w, h.service.Poll(ctx, id))
	case suffix == wire.CancelSuffix && r.Method == http.MethodPost:
		ctx, cancel := context.WithTimeout(r.Context(), submitDeadline)
		defer cancel()
		writeResponse(w, h.service.Cancel(ctx, id))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (h *handler) handleReport(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16*wire.MaxBodyBytes))
	if err != nil {
		return
	}
	report, err := wire.ParseReport(b)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), reportDeadline)
	defer cancel()
	writeResponse(w, h.service.Report(ctx, report))
}

func writeResponse(w http.ResponseWriter, resp Response) {
	if resp.Fresh != nil && !resp.Fresh() {
		// The process may be descheduled between the decision and this line while others go on. A
		// leader whose lease has ended must not answer a worker, and a user must not get a state
		// that is out of date.
		resp = Unavailable()
	}
	b := resp.Raw
	if b == nil && resp.Body != nil {
		var err error
		if b, err = wire.Marshal(resp.Body); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	if resp.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((resp.RetryAfter+time.Second-1)/time.Second)))
	}
	if b != nil {
		w.Header().Set("Content-Type", "application/msgpack")
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(b)
}
