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

// Answer is what a request is answered with.
type Response struct {
	Status     int
	Body       any           // encoded unless Raw is set
	Raw        []byte        // an encoded body
	RetryAfter time.Duration // with 429 and 503
	Fresh      func() bool   // if set, asked right before it is written; if not, it is 503
}

// Unavailable tells a user when to come back.
func Unavailable() Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// Service is what answers the requests; every method returns by itself before
// its context ends or soon after.
type Service interface {
	// Submit takes a submission. spec is nil if it is malformed, and id then
	// tells which job it may be a retry of.
	Submit(ctx context.Context, id string, spec *core.JobSpec) Response
	Poll(ctx context.Context, id string) Response
	Cancel(ctx context.Context, id string) Response
	Report(ctx context.Context, r *core.Report) Response
	Healthy() bool
}

// Users wait 5 s for a submission and 2 s for a poll, workers 4 s.
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

// body reads a request's body; ok is false if it was too long or cut short,
// and then the request has been answered.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
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
	case suffix == wire.CancelEnd && r.Method == http.MethodPost:
		ctx, cancel := context.WithTimeout(r.Context(), submitDeadline)
		defer cancel()
		writeResponse(w, h.service.Cancel(ctx, id))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (h *handler) handleReport(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16*wire.MaxBody))
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
		// The time between the decision and this line is the processor's to take, and
		// a process may stand still here while others go on: a leader whose lease is
		// over must not answer a worker, nor anybody tell a user what was so then.
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
