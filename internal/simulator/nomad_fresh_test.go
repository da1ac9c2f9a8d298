package simulator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/nomad/api"

	"aspenstall/internal/simulator"
)

// jobReadRoutes are the routes that read one job, without its name.
var jobReadRoutes = []string{"", "/summary", "/versions", "/allocations", "/evaluations"}

// teamReadRoutes are the routes that read all jobs of a team.
var teamReadRoutes = []string{"/v1/jobs", "/v1/evaluations", "/v1/allocations"}

// shownJob returns the status and the version that an answer of /v1/job/NAME or /v1/jobs shows of a job,
// or "unknown".
func shownJob(body, name string) string {
	var jobs []struct {
		ID, Status     string
		JobModifyIndex uint64
	}
	if !strings.HasPrefix(body, "[") {
		body = "[" + body + "]"
	}
	_ = json.Unmarshal([]byte(body), &jobs) // 404 has a text
	for _, j := range jobs {
		if j.ID == name {
			return fmt.Sprint(j.Status, " at ", j.JobModifyIndex)
		}
	}
	return "unknown"
}

// readIndex returns the index of an answer.
func readIndex(h http.Header) uint64 {
	i, _ := strconv.ParseUint(h.Get("X-Nomad-Index"), 10, 64)
	return i
}

// askWithEachIndex asks a node without an index, with an old one, and with the one that another node
// gave, and fails the test for each answer that is older than what that node told. It returns how many
// queries were answered.
func (s *nomadWorld) askWithEachIndex(node, other int, path, name string) int {
	s.Helper()
	const longestWait = 3 * time.Second
	_, told, h := s.rawRequest(http.MethodGet, "blue", other, path, nil)
	answers := 0
	for _, query := range []string{"", "?index=1&wait=1s", fmt.Sprintf("?index=%d&wait=3s", readIndex(h))} {
		began := time.Now()
		status, body, got := s.rawRequest(http.MethodGet, "blue", node, path+query, nil)
		if d := time.Since(began); d > longestWait*17/16 {
			s.Errorf("%s%s: status %d after %v", path, query, status, d)
		}
		if status == http.StatusServiceUnavailable {
			if got.Get("Retry-After") == "" {
				s.Errorf("%s%s: no Retry-After", path, query)
			}
			continue
		}
		answers++
		if readIndex(got) < readIndex(h) {
			s.Errorf("%s%s: index %d after %d", path, query, readIndex(got), readIndex(h))
		}
		if shown := shownJob(body, name); shown != shownJob(told, name) {
			s.Errorf("%s%s: %s is %s, and was told to be %s", path, query, name, shown, shownJob(told, name))
		}
	}
	return answers
}

// TestNomadReadsWhileRefused checks that a node which the state service refuses, while the others are
// served, answers no query by its old view. With an index it would call a job that is over running,
// and an accepted one unknown (went_back, forgotten).
func TestNomadReadsWhileRefused(t *testing.T) {
	for refused := range 3 {
		t.Run(fmt.Sprint("node ", refused), func(t *testing.T) {
			runNomadScenario(t, 110+uint64(refused), func(t *testing.T, s *nomadWorld) {
				other := (refused + 1) % 3
				names := []string{"ends", "stopped", "purged", "changed", "new"}
				register := func(name string, count int, seconds float64) {
					job := s.batchJob(name, count, seconds)
					s.retryUntilAnswered("blue", name, func(*api.Client) error {
						_, _, err := s.client("blue", other).Jobs().Register(job, nil)
						return err
					})
				}
				deregister := func(name string, purge bool) {
					s.retryUntilAnswered("blue", name, func(*api.Client) error {
						_, _, err := s.client("blue", other).Jobs().Deregister(name, purge, nil)
						return err
					})
					s.NoteCancelled(s.NativeJobs("blue", name))
				}
				askAll := func() (answers int) {
					for _, name := range names {
						for _, route := range jobReadRoutes {
							answers += s.askWithEachIndex(refused, other, "/v1/job/"+name+route, name)
						}
						for _, route := range teamReadRoutes {
							answers += s.askWithEachIndex(refused, other, route, name)
						}
					}
					return answers
				}
				register("ends", 1, 90)
				for _, name := range names[1:4] {
					register(name, 1, 2000)
				}
				for _, name := range names[:4] {
					s.awaitStatus(s.client("blue", refused), name, "running")
				}
				s.StateFaults.Update(func(f *simulator.Faults) { f.RefuseClients[s.NodeAddr(refused)] = true })
				time.Sleep(10 * time.Second) // if the node led, another one does now
				deregister("stopped", false)
				deregister("purged", true)
				register("changed", 2, 2000)
				register("new", 1, 2000)
				s.awaitStatus(s.client("blue", other), "ends", "dead")
				time.Sleep(5 * time.Second)
				if n := askAll(); n > 0 {
					t.Errorf("%d queries were answered by a node that can't know what the others told", n)
				}
				s.StateFaults.Update(func(f *simulator.Faults) { delete(f.RefuseClients, s.NodeAddr(refused)) })
				time.Sleep(10 * time.Second)
				if n, want := askAll(), 3*len(names)*(len(jobReadRoutes)+len(teamReadRoutes)); n != want {
					t.Errorf("%d of %d queries were answered once the node was served again", n, want)
				}
				for _, name := range []string{"changed", "new"} {
					deregister(name, false)
				}
			})
		})
	}
}

// TestNomadWaitingQueriesCost checks that 200 queries that wait at three nodes ask the state service for
// no more than the half of its rate that reads may take.
func TestNomadWaitingQueriesCost(t *testing.T) {
	const queries, period = 200, 60 * time.Second
	runNomadScenario(t, 113, func(t *testing.T, s *nomadWorld) {
		if _, _, err := s.client("blue", 0).Jobs().Register(s.batchJob("watched", 1, 1000), nil); err != nil {
			t.Fatal(err)
		}
		s.awaitStatus(s.client("blue", 0), "watched", "running")
		requestRate := func() float64 {
			before, _ := s.State.RequestCounts()
			time.Sleep(period)
			after, _ := s.State.RequestCounts()
			return float64(after-before) / period.Seconds()
		}
		idle := requestRate()
		for _, waitTime := range []time.Duration{2 * time.Second, 10 * time.Second} {
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			for i := range queries {
				wg.Go(func() {
					q := &api.QueryOptions{WaitTime: waitTime}
					for ctx.Err() == nil {
						_, m, err := s.client("blue", i%3).Jobs().Info("watched", q.WithContext(ctx))
						if err != nil {
							time.Sleep(time.Second)
							continue
						}
						q.WaitIndex = m.LastIndex
					}
				})
			}
			time.Sleep(10 * time.Second)
			rate := requestRate()
			cancel()
			wg.Wait()
			t.Logf("queries that wait for %v: %.1f requests a second, %.1f without queries", waitTime, rate, idle)
			if limit := platform().Params.State.RPS / 2; rate-idle > limit {
				t.Errorf("%.1f requests a second for the queries, want %.1f at most", rate-idle, limit)
			}
		}
		if _, _, err := s.client("blue", 0).Jobs().Deregister("watched", false, nil); err != nil {
			t.Error(err)
		}
		s.NoteCancelled(s.NativeJobs("blue", "watched"))
	})
}
