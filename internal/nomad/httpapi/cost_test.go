package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/nomad/translate"
)

// doneNatives is a set of native jobs that are all done.
type doneNatives struct{}

func (doneNatives) Record(id string) (core.JobRecord, bool) {
	return core.JobRecord{Spec: core.JobSpec{ID: id, Tasks: 1}, Phase: core.Done}, true
}
func (doneNatives) TaskCounts(string) (done, running int) { return 1, 0 }

// costBackend answers from a registry, and counts what is allocated while the registry is read: on a
// node, the goroutine that reads it is the one that all leases and tasks wait for.
type costBackend struct {
	fakeBackend
	registry  *registry.Registry
	allocated uint64 // bytes, in the last read
	reads     int
}

func (b *costBackend) ReadRegistry(_ context.Context, _ Query, read func(*registry.Registry)) (uint64, error) {
	b.reads++
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	read(b.registry)
	runtime.ReadMemStats(&after)
	b.allocated = after.TotalAlloc - before.TotalAlloc
	return 1, nil
}

// newCostRegistry returns a registry with one job of team blue that has six versions of a large job
// file, which compresses well.
func newCostRegistry(t *testing.T) *registry.Registry {
	t.Helper()
	r := registry.New(registry.Limits{MaxOps: 12, MaxValueBytes: 64 << 10}, doneNatives{})
	name := registry.Name{Team: "blue", ID: "large"}
	for version := range 6 {
		src, err := json.Marshal(map[string]any{
			"ID": "large", "Type": "batch", "Meta": map[string]string{"version": fmt.Sprint(version), "text": strings.Repeat("a line of text\n", 30_000)},
			"TaskGroups": []any{map[string]any{"Name": "g", "Count": 1, "Tasks": []any{map[string]any{"Name": "t", "Driver": "docker"}}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		packed, err := registry.Pack(src)
		if err != nil {
			t.Fatal(err)
		}
		change, err := r.Register(registry.Registration{Name: name, Source: packed, Groups: []translate.Group{{Name: "g", Digest: "d"}}}, func() string { return "job-000001" }, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range change.Writes {
			if w.Put == "" {
				continue
			}
			if _, _, err := r.HandlePut(w.Put, w.Value, uint64(version+1)); err != nil {
				t.Fatal(err)
			}
		}
	}
	return r
}

// newCostHandler returns a handler with a token for team blue and one for machines.
func newCostHandler(b Backend, l RenderLimits) http.Handler {
	key := []byte("a key of a few bytes")
	s := config.DefaultNomad()
	s.TokenHashKey, s.RequestsPerS = key, 1000
	s.Tokens = map[string][]config.Hash{"blue": {HashToken(key, "of blue")}}
	s.AgentTokens = []config.Hash{HashToken(key, "of machines")}
	return Handler(b, &s, l, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Questions about large job files are unpacked and encoded outside the goroutine that owns the node's
// state. A team that asks for all versions again and again would otherwise stop the leader: no report
// is answered, and all teams' tasks end with their leases.
func TestReadsCostTheOwnerLittle(t *testing.T) {
	const limit = 16 << 10 // bytes for one job
	b := &costBackend{registry: newCostRegistry(t)}
	h := newCostHandler(b, NewRenderLimits(&config.Platform{}))
	for _, c := range []struct {
		path, token string
		atLeast     int // bytes of the answer
	}{
		{"/v1/job/large/versions", "of blue", 6 * 400_000},
		{"/v1/job/large", "of blue", 400_000},
		{"/v1/aspenstall/task/job-000001", "of machines", 400_000},
		{"/v1/job/large/summary", "of blue", 10},
		{"/v1/job/large/evaluations", "of blue", 10},
		{"/v1/job/large/allocations", "of blue", 10},
		{"/v1/jobs", "of blue", 10},
		{"/v1/evaluations", "of blue", 10},
		{"/v1/allocations", "of blue", 10},
	} {
		w := doRequest(h, http.MethodGet, c.path, c.token, "")
		if w.Code != http.StatusOK || w.Body.Len() < c.atLeast {
			t.Errorf("%s: %d with %d bytes, want %d or more: %.100s", c.path, w.Code, w.Body.Len(), c.atLeast, w.Body)
		}
		if b.allocated > limit {
			t.Errorf("%s allocates %d bytes on the owning goroutine, want %d at most", c.path, b.allocated, limit)
		}
	}
}

// Questions that would be refused cost no read of the state service.
func TestExhaustedShareIsNotReadFor(t *testing.T) {
	b := &costBackend{registry: newCostRegistry(t)}
	limits := NewRenderLimits(&config.Platform{})
	limits.TeamBytesPerS = 1000 // a list of versions has megabytes
	h := newCostHandler(b, limits)
	for i, want := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusTooManyRequests} {
		w := doRequest(h, http.MethodGet, "/v1/job/large/versions", "of blue", "")
		if w.Code != want || b.reads != 1 {
			t.Errorf("request %d: %d, %d reads so far; want %d and one read", i, w.Code, b.reads, want)
		}
	}
	if w := doRequest(h, http.MethodGet, "/v1/job/large/summary", "of blue", ""); w.Code != http.StatusOK {
		t.Errorf("a summary, which has no job file: %d", w.Code)
	}
}

// A team that has used up its share of the pool is refused, and the others are served.
func TestRenderPoolShares(t *testing.T) {
	answer := make([]byte, 1000)
	encode := func(unpacked int) func() ([]byte, int, error) {
		return func() ([]byte, int, error) { return answer, unpacked, nil }
	}
	limits := RenderLimits{Workers: 1, TeamBytesPerS: 1e6, HeldBytes: 3000, TeamHeldBytes: 1500, WaitingPerTeam: 2}
	t.Run("unpacked bytes", func(t *testing.T) {
		p := newRenderPool(limits)
		for i, want := range []error{nil, errTooManyRequests} {
			_, release, err := p.render(t.Context(), "blue", encode(10e6)) // five times the burst
			if !errors.Is(err, want) {
				t.Errorf("request %d: %v", i, err)
			}
			if release != nil {
				release()
			}
		}
		if _, _, err := p.render(t.Context(), "green", encode(10)); err != nil {
			t.Error(err)
		}
	})
	t.Run("answers that are being sent", func(t *testing.T) {
		p := newRenderPool(limits)
		var releases []func()
		for i, c := range []struct {
			team string
			want error
		}{{"blue", nil}, {"blue", errTooManyRequests}, {"green", nil}, {"red", nil}, {"black", ErrUnavailable}} {
			_, release, err := p.render(t.Context(), c.team, encode(10))
			if !errors.Is(err, c.want) {
				t.Errorf("request %d: %v", i, err)
			}
			if release != nil {
				releases = append(releases, release)
			}
		}
		for _, release := range releases {
			release()
		}
		if _, _, err := p.render(t.Context(), "blue", encode(10)); err != nil || p.held != len(answer) {
			t.Errorf("after all were sent: %v, %d bytes held", err, p.held)
		}
	})
	t.Run("waiting requests, and clients that have gone", func(t *testing.T) {
		p := newRenderPool(limits)
		p.workers <- struct{}{} // busy
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error, 3)
		for range limits.WaitingPerTeam {
			go func() {
				_, _, err := p.render(ctx, "blue", func() ([]byte, int, error) {
					t.Error("an answer for a client that has gone was encoded")
					return nil, 0, nil
				})
				results <- err
			}()
		}
		for waiting := 0; waiting < limits.WaitingPerTeam; time.Sleep(time.Millisecond) {
			p.mu.Lock()
			waiting = p.team("blue").waiting
			p.mu.Unlock()
		}
		if _, _, err := p.render(t.Context(), "blue", encode(10)); !errors.Is(err, errTooManyRequests) {
			t.Errorf("a third request: %v", err)
		}
		cancel()
		for range limits.WaitingPerTeam {
			if err := <-results; !errors.Is(err, ErrUnavailable) {
				t.Errorf("a client that has gone: %v", err)
			}
		}
		<-p.workers
		if _, _, err := p.render(t.Context(), "blue", encode(10)); err != nil {
			t.Error(err)
		}
	})
}
