package httpapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"aspenstall/internal/core"
	"aspenstall/internal/wire"
)

// staleService returns responses that may not be written any more.
type staleService struct{}

func (staleService) response() Response {
	return Response{Status: http.StatusOK, Body: &wire.JobState{}, Fresh: func() bool { return false }}
}
func (s staleService) Submit(context.Context, string, *core.JobSpec) Response { return s.response() }
func (s staleService) Poll(context.Context, string) Response                  { return s.response() }
func (s staleService) Cancel(context.Context, string) Response                { return s.response() }
func (s staleService) Report(context.Context, *core.Report) Response          { return s.response() }
func (staleService) Healthy() bool                                            { return true }

// TestStaleResponse checks that a response that is no longer fresh is replaced by 503 with
// Retry-After.
func TestStaleResponse(t *testing.T) {
	for _, path := range []string{wire.JobsPath + "/job-000001", wire.JobsPath + "/job-000001/" + wire.CancelSuffix} {
		method := http.MethodGet
		if path != wire.JobsPath+"/job-000001" {
			method = http.MethodPost
		}
		w := httptest.NewRecorder()
		Handler(staleService{}).ServeHTTP(w, httptest.NewRequest(method, path, nil))
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: %d, Retry-After %q", path, w.Code, w.Header().Get("Retry-After"))
		}
	}
}
