package httpapi

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"aspenstall/internal/config"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/peer"
)

// fakeBackend answers from an empty registry.
type fakeBackend struct{ healthy bool }

func (fakeBackend) ReadRegistry(_ context.Context, q Query, read func(*registry.Registry)) (uint64, error) {
	read(registry.New(registry.Limits{MaxOps: 12, MaxValueBytes: 4096}, nil))
	return max(q.AfterIndex, 1), nil
}
func (fakeBackend) Register(context.Context, registry.Registration) (RegisterResult, error) {
	return RegisterResult{Index: 7}, nil
}
func (fakeBackend) Plan(context.Context, registry.Registration) (*registry.Change, *registry.Job, error) {
	return &registry.Change{}, nil, nil
}
func (fakeBackend) Deregister(context.Context, registry.Name, bool) (RegisterResult, error) {
	return RegisterResult{}, ErrNoJob
}
func (fakeBackend) QueryLeader(context.Context, *peer.ViewRequest) (*peer.ViewResponse, error) {
	return nil, ErrNoLeader
}
func (fakeBackend) Members(context.Context) Members {
	return Members{Addresses: []string{"10.0.0.1:1"}}
}
func (b fakeBackend) Healthy() bool { return b.healthy }
func (fakeBackend) TranslationPolicy(team string) translate.Policy {
	return translate.Policy{Team: team, MHzPerCPU: 1000, ScratchMB: 300}
}

// newTestHandler returns a handler with tokens for the teams blue and green, and one for machines.
func newTestHandler(requestsPerS int) http.Handler {
	key := []byte("a key of a few bytes")
	s := config.DefaultNomad()
	s.TokenHashKey, s.RequestsPerS = key, requestsPerS
	s.Tokens = map[string][]config.Hash{
		"blue":  {HashToken(key, "new of blue"), HashToken(key, "old of blue")},
		"green": {HashToken(key, "of green")},
	}
	s.AgentTokens = []config.Hash{HashToken(key, "of machines")}
	return Handler(fakeBackend{}, &s, NewRenderLimits(&config.Platform{}), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func doRequest(h http.Handler, method, path, token, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Nomad-Token", token)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// A token identifies a team, which may have two tokens during a rotation. A machine's token belongs to
// no team.
func TestTokens(t *testing.T) {
	h := newTestHandler(1000)
	for _, c := range []struct {
		token, path string
		status      int
		wantBody    string
	}{
		{"new of blue", "/v1/namespaces", 200, `"blue"`},
		{"old of blue", "/v1/namespaces", 200, `"blue"`},
		{"of green", "/v1/namespaces", 200, `"green"`},
		{"", "/v1/namespaces", 403, "Permission denied"},
		{"of machines", "/v1/namespaces", 403, "Permission denied"},
		{"of green", "/v1/aspenstall/task/job-1", 403, "Permission denied"},
		{"of machines", "/v1/aspenstall/task/job-1", 404, "job not found"},
		{"", "/v1/status/peers", 200, "10.0.0.1:1"},
		{"of green", "/v1/nodes", 503, "No cluster leader"},
	} {
		w := doRequest(h, "GET", c.path, c.token, "")
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.wantBody) {
			t.Errorf("%q at %s: %d %s", c.token, c.path, w.Code, w.Body)
		}
	}
	if w := doRequest(h, "GET", "/v1/namespaces", "", "", "Authorization", "Bearer of green"); w.Code != 200 {
		t.Errorf("bearer token: %d", w.Code)
	}
}

// A team over its rate limit gets status 429 with Retry-After, without effect on other teams. Requests
// with unknown tokens are limited as well.
func TestRateLimits(t *testing.T) {
	h := newTestHandler(2)
	count := func(token string, n, status int) int {
		got := 0
		for range n {
			w := doRequest(h, "GET", "/v1/namespaces", token, "")
			if w.Code == status {
				got++
			}
			if w.Code == 429 && w.Header().Get("Retry-After") != "1" {
				t.Error("429 without Retry-After")
			}
		}
		return got
	}
	if n := count("new of blue", 40, 200); n < 4 || n > 8 {
		t.Errorf("%d of 40 requests at once were answered", n)
	}
	if n := count("of green", 3, 200); n != 3 {
		t.Errorf("green: %d of 3", n)
	}
	if n := count("guess", 200, 429); n < 150 {
		t.Errorf("%d of 200 requests with an unknown token got 429", n)
	}
}

// Names are unescaped. If a slash in a name is not escaped, the last part of the path belongs to
// the name unless it is a key of jobRoutes.
func TestFindRoute(t *testing.T) {
	for path, want := range map[string]string{
		"/v1/job/a":                    "a",
		"/v1/job/a%2Fb":                "a/b",
		"/v1/job/a/b":                  "a/b",
		"/v1/job/a%2Fplan":             "a/plan",
		"/v1/job/a/plan":               "a",
		"/v1/job/a/b/versions":         "a/b",
		"/v1/job/%C3%BC%252F":          "ü%2F",
		"/v1/job/":                     "there is nothing",
		"/v1/job/%zz":                  "not escaped correctly",
		"/v1/evaluation/1-2":           "1-2",
		"/v1/evaluation/1-2/x":         "there is nothing",
		"/v1/allocation/":              "there is nothing",
		"/v1/acl/policies":             "is not served: tokens are",
		"/v1/node/x/drain":             "is not served: machines are rented",
		"/v2/jobs":                     "there is nothing",
		"/v1/job/a/periodic/force":     "a",
		"/v1/evaluation/3/allocations": "3",
	} {
		_, id, err := findRoute(path)
		if err != nil {
			id = err.Error()
		}
		if id != want && (err == nil || !strings.Contains(id, want)) {
			t.Errorf("%s: %q, want %q", path, id, want)
		}
	}
}

const validJob = `{"ID":"j","Type":"batch","TaskGroups":[{"Name":"g","Tasks":[{"Name":"t","Driver":"d","Config":{"image":"i"},
"Leader":true,"Meta":{"aspenstall_class":"c","aspenstall_image_gb":"1","aspenstall_expect_s":"5"}}]}]}`

// Errors in requests about jobs are reported with the published status codes and texts.
func TestJobRequests(t *testing.T) {
	h := newTestHandler(1000)
	for _, c := range []struct {
		method, path, body string
		status             int
		wantBody           string
	}{
		{"PUT", "/v1/jobs", `{"Job":` + validJob + `,"EnforceIndex":true,"JobModifyIndex":3,"Submission":{}}`, 200, `"JobModifyIndex":7`},
		{"PUT", "/v1/jobs", `{"Job":` + validJob + `}`, 200, "leader is ignored"},
		{"POST", "/v1/job/other", `{"Job":` + validJob + `}`, 400, "Job ID does not match"},
		{"PUT", "/v1/jobs", `{"Job":` + validJob + `,"PreserveCounts":true}`, 400, "PreserveCounts is not served"},
		{"PUT", "/v1/jobs", `{"Jobs":{}}`, 400, "Job must be specified"},
		{"PUT", "/v1/jobs", `{"Job":{"ID":1}}`, 400, "job:1:9: ID: got number, want string"},
		{"PUT", "/v1/jobs", `not JSON`, 400, ""},
		{"PUT", "/v1/jobs?namespace=green", `{"Job":` + validJob + `}`, 403, "Permission denied"},
		{"PUT", "/v1/job/j/plan", `{"Job":` + validJob + `,"Diff":true}`, 200, `"Type":"Added"`},
		{"PUT", "/v1/validate/job", `{"Job":{"ID":"j","Type":"system"}}`, 200, "1:18: type system"},
		{"PUT", "/v1/jobs/parse", `{"JobHCL":"job \"a\" {\n x = 1\n}"}`, 400, "job:2:2: x: no such attribute of job"},
		{"PUT", "/v1/jobs/parse", `{"JobHCL":"variable \"v\" {}\njob \"a\" { name = var.v }","Variables":"v = \"w\""}`, 200, `"Name":"w"`},
		{"PUT", "/v1/jobs/parse", `{"JobHCL":""}`, 400, "Job spec is empty"},
		{"GET", "/v1/job/j", "", 404, "job not found"},
		{"DELETE", "/v1/job/j?purge=true", "", 404, "job not found"},
		{"GET", "/v1/jobs?per_page=x", "", 400, "Invalid per_page"},
		{"GET", "/v1/jobs?wait=x", "", 400, "Invalid wait"},
		{"PUT", "/v1/jobs", strings.Repeat(" ", maxBodyBytes+1), 413, "more than"},
	} {
		w := doRequest(h, c.method, c.path, "of green", c.body)
		if c.path == "/v1/jobs?namespace=green" {
			w = doRequest(h, c.method, c.path, "new of blue", c.body)
		}
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.wantBody) {
			t.Errorf("%s %s %.40s: %d %.300s", c.method, c.path, c.body, w.Code, w.Body)
		}
	}
}

// Long responses are compressed for clients that accept gzip.
func TestGzip(t *testing.T) {
	h := newTestHandler(1000)
	body := `{"JobHCL":` + fmt.Sprintf("%q", `job "a" { name = "`+strings.Repeat("n", 3000)+`" }`) + `}`
	for accepts, want := range map[string]bool{"": false, "gzip": true, "deflate, gzip;q=0.5": true, "gzip;q=0": false, "br": false} {
		w := doRequest(h, "PUT", "/v1/jobs/parse", "of green", body, "Accept-Encoding", accepts)
		zipped := w.Header().Get("Content-Encoding") == "gzip"
		var r io.Reader = w.Body
		if zipped {
			z, err := gzip.NewReader(w.Body)
			if err != nil {
				t.Fatal(err)
			}
			r = z
		}
		var j struct{ Name string }
		if err := json.NewDecoder(r).Decode(&j); err != nil || len(j.Name) != 3000 || zipped != want {
			t.Errorf("%q: compressed %v, %d characters, %v", accepts, zipped, len(j.Name), err)
		}
	}
}

// TestUnknownMethods guards against methods that are taken for served ones since they are a part of
// their names.
func TestUnknownMethods(t *testing.T) {
	h := newTestHandler(1000)
	for method, want := range map[string]int{"GET": 200, "PO": 405, "ET": 405, "T": 405, "DELETE": 405} {
		if got := doRequest(h, method, "/v1/nodes", "new of blue", "").Code; got != want && (want == 405 || got == 405) {
			t.Errorf("%s: status %d, want %d", method, got, want)
		}
	}
}
