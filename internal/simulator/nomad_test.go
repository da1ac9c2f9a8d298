package simulator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/nomad/api"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	nomadapi "aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/simulator"
)

// nomadWorld is a world whose controllers serve Nomad's clients.
type nomadWorld struct {
	*testing.T
	*simulator.World
}

// runNomadScenario runs a scenario under fake time with three controllers that serve Nomad's API, and
// fails the test for each invariant that was violated.
func runNomadScenario(t *testing.T, seed uint64, play func(t *testing.T, s *nomadWorld)) {
	synctest.Test(t, func(t *testing.T) {
		p := platform()
		p.Params.Zones = []string{"a", "b", "c"}
		addTeam(&p, "guests", 0, 8, 0, 0)
		w := simulator.NewWorld(seed, p, machineTypes)
		defer w.Close()
		w.Settings.Nomad = nomadSettings("blue", "green", "guests")
		w.Settings.PriorityCaps = map[string]core.Priority{"guests": core.Normal}
		startAllNodes(w)
		time.Sleep(15 * time.Second) // a leader is elected and has the catalog
		play(t, &nomadWorld{t, w})
		time.Sleep(60 * time.Second)
		for _, b := range w.Violations() {
			t.Error(b)
		}
	})
}

// nomadSettings returns settings with a token for each team.
func nomadSettings(teams ...string) *config.Nomad {
	key := []byte("the key for the simulator hashes")
	n := config.DefaultNomad()
	n.TokenHashKey, n.Tokens = key, map[string][]config.Hash{}
	for _, team := range teams {
		n.Tokens[team] = []config.Hash{nomadapi.HashToken(key, "token of "+team)}
	}
	n.AgentTokens = []config.Hash{nomadapi.HashToken(key, simulator.AgentToken)}
	return &n
}

// client returns Nomad's published client with a team's token, for the node numbered at.
func (s *nomadWorld) client(team string, at int) *api.Client {
	c, err := api.NewClient(&api.Config{Address: "http://" + s.NomadAddr(at), SecretID: "token of " + team, HttpClient: s.Net.Client("10.9.0.1:1")})
	if err != nil {
		s.Fatal(err)
	}
	return c
}

// rawRequest sends one request and returns status, body and headers. Without a response the status
// is 0 and the body is the error.
func (s *nomadWorld) rawRequest(method, team string, at int, path string, body any) (int, string, http.Header) {
	b, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+s.NomadAddr(at)+path, bytes.NewReader(b))
	if err != nil {
		s.Fatal(err)
	}
	req.Header.Set("X-Nomad-Token", "token of "+team)
	req.Close = true
	resp, err := s.Net.Client("10.9.0.1:1").Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(out), resp.Header
}

// sampleFile returns the content of a sample job file of the translator.
func (s *nomadWorld) sampleFile(name string) string {
	b, err := os.ReadFile("../nomad/translate/testdata/" + name + ".nomad.hcl")
	if err != nil {
		s.Fatal(err)
	}
	return string(b)
}

// parseJob has node 0 parse a job file and returns the job.
func (s *nomadWorld) parseJob(src string) *api.Job {
	s.Helper()
	j, err := s.client("blue", 0).Jobs().ParseHCL(src, true)
	if err != nil {
		s.Fatal(err)
	}
	return j
}

// batchJob returns a batch job with one group of count tasks that run for so many seconds.
func (s *nomadWorld) batchJob(name string, count int, seconds float64) *api.Job {
	return s.parseJob(fmt.Sprintf(`
job %q {
  type = "batch"
  group "g" {
    count = %d
    task "t" {
      driver = "docker"
      config { image = "im" }
      meta = { aspenstall_class = "sweep", aspenstall_image_gb = 0.5, aspenstall_expect_s = %v, aspenstall_spot = true }
      resources {
        cores  = 1
        memory = 1024
      }
    }
  }
}`, name, count, seconds))
}

// awaitStatus waits with blocking queries until the job has the status, for up to 3 minutes. It fails
// the test if the index decreases.
func (s *nomadWorld) awaitStatus(c *api.Client, id, status string) {
	s.Helper()
	index := uint64(0)
	for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); {
		j, m, err := c.Jobs().Info(id, &api.QueryOptions{WaitIndex: index, WaitTime: 10 * time.Second})
		switch {
		case err != nil:
			time.Sleep(time.Second)
		case m.LastIndex < index:
			s.Fatalf("the index decreased from %d to %d", index, m.LastIndex)
		case *j.Status == status:
			return
		default:
			index = m.LastIndex
		}
	}
	s.Errorf("%s did not reach the status %s", id, status)
}

// TestNomadClient uses Nomad's published client for every operation that users need.
func TestNomadClient(t *testing.T) {
	runNomadScenario(t, 51, func(t *testing.T, s *nomadWorld) {
		blue, green := s.client("blue", 0), s.client("green", 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream, err := s.client("blue", 2).EventStream().Stream(ctx, map[api.Topic][]string{api.TopicJob: {"*"}}, 0, nil)
		if err != nil {
			t.Fatal(err)
		}
		var events []string
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for e := range stream {
				for _, k := range e.Events {
					events = append(events, fmt.Sprintf("%s %s", k.Type, k.Key))
				}
			}
		}()
		time.Sleep(time.Second)

		job := s.parseJob(s.sampleFile("frost-ensemble"))
		p, _, err := blue.Jobs().Plan(job, true, nil)
		if err != nil || p.Diff.Type != "Added" || p.Annotations.DesiredTGUpdates["members"].Place != 6 {
			t.Fatalf("plan: %+v %v", p, err)
		}
		v, _, err := blue.Jobs().Validate(job, nil)
		if err != nil || len(v.ValidationErrors) != 0 {
			t.Fatalf("validate: %+v %v", v, err)
		}
		r, _, err := blue.Jobs().Register(job, nil)
		if err != nil {
			t.Fatal(err)
		}
		e, _, err := s.client("blue", 1).Evaluations().Info(r.EvalID, nil)
		if err != nil || e.Status != "complete" || e.JobID != "frost-ensemble" {
			t.Errorf("evaluation: %+v %v", e, err)
		}
		// Registering the same content at another node returns the same index and evaluation.
		again, _, err := s.client("blue", 2).Jobs().Register(job, nil)
		if err != nil || again.JobModifyIndex != r.JobModifyIndex || again.EvalID != r.EvalID {
			t.Errorf("registered again: %+v %v, first %+v", again, err, r)
		}
		s.awaitStatus(s.client("blue", 1), "frost-ensemble", "running")
		allocs, _, err := blue.Jobs().Allocations("frost-ensemble", true, nil)
		if err != nil || len(allocs) == 0 || allocs[0].NodeName == "" || allocs[0].TaskGroup != "members" {
			t.Errorf("allocations: %+v %v", allocs, err)
		} else if a, _, err := s.client("blue", 2).Allocations().Info(allocs[0].ID, nil); err != nil || a.Name != allocs[0].Name {
			t.Errorf("allocation: %+v %v", a, err)
		}
		nodes, _, err := s.client("blue", 1).Nodes().List(nil)
		if err != nil || len(nodes) == 0 || nodes[0].NodeClass == "" {
			t.Errorf("nodes: %+v %v", nodes, err)
		}
		s.awaitStatus(s.client("blue", 2), "frost-ensemble", "dead")
		sum, _, err := blue.Jobs().Summary("frost-ensemble", nil)
		if err != nil || sum.Summary["members"].Complete != 6 {
			t.Errorf("summary: %+v %v", sum, err)
		}
		if all, _, err := blue.Allocations().List(nil); err != nil || len(all) != 6 || all[0].ClientStatus != "complete" {
			t.Errorf("all allocations: %d %v", len(all), err)
		}

		// A job of another team looks as if it did not exist.
		if list, _, err := green.Jobs().List(&api.QueryOptions{Namespace: "*"}); err != nil || len(list) != 0 {
			t.Errorf("green sees %+v %v", list, err)
		}
		for _, ns := range []string{"", "blue"} {
			if _, _, err := green.Jobs().Info("frost-ensemble", &api.QueryOptions{Namespace: ns}); err == nil || !strings.Contains(err.Error(), "404") {
				t.Errorf("green reads it in %q: %v", ns, err)
			}
			if _, _, err := green.Jobs().Deregister("frost-ensemble", true, &api.WriteOptions{Namespace: ns}); err == nil || !strings.Contains(err.Error(), "404") {
				t.Errorf("green deregisters it in %q: %v", ns, err)
			}
		}
		if _, _, err := green.Jobs().Register(job, nil); err == nil || !strings.Contains(err.Error(), "another team's") {
			t.Errorf("green registers blue's job: %v", err)
		}
		if status, body, _ := s.rawRequest("GET", "nobody", 0, "/v1/jobs", nil); status != http.StatusForbidden || body != "Permission denied" {
			t.Errorf("without a token: %d %q", status, body)
		}

		// A team's own job does not exist in another team's namespace either.
		if _, _, err := blue.Jobs().Info("frost-ensemble", &api.QueryOptions{Namespace: "green"}); err == nil || !strings.Contains(err.Error(), "404") {
			t.Errorf("blue reads it in green: %v", err)
		}

		// A new version stops the tasks of changed groups and keeps those of unchanged groups.
		two := s.parseJob(s.sampleFile("two-groups"))
		if _, _, err := blue.Jobs().Register(two, nil); err != nil {
			t.Fatal(err)
		}
		count := 3
		two.TaskGroups[0].Count = &count
		p, _, err = blue.Jobs().Plan(two, true, nil)
		if err != nil || p.Annotations.DesiredTGUpdates["gantries"].Place != 3 || p.Annotations.DesiredTGUpdates["statements"].Ignore != 1 {
			t.Errorf("plan of a new version: %+v %v", p, err)
		}
		if _, _, err := blue.Jobs().Register(two, nil); err != nil {
			t.Fatal(err)
		}
		vs, _, _, err := blue.Jobs().Versions("passages", false, nil)
		if err != nil || len(vs) != 2 || *vs[0].Version != 1 || *vs[0].TaskGroups[0].Count != 3 || *vs[1].TaskGroups[0].Count != 5 {
			t.Errorf("versions: %+v %v", vs, err)
		}
		s.awaitStatus(blue, "passages", "dead")
		indexes := map[string]bool{}
		for q := (&api.QueryOptions{PerPage: 3}); ; {
			l, m, err := blue.Allocations().List(q)
			if err != nil || len(l) > 3 {
				t.Fatalf("a page with %d entries: %v", len(l), err)
			}
			for _, a := range l {
				indexes[a.Name] = true
			}
			if q.NextToken = m.NextToken; q.NextToken == "" {
				break
			}
		}
		if len(indexes) != 10 { // 6 of frost-ensemble, 3 and 1 of passages
			t.Errorf("allocations by pages: %v", indexes)
		}
		list, _, err := blue.Jobs().PrefixList("pass")
		if err != nil || len(list) != 1 || list[0].Status != "dead" || list[0].JobSummary.Summary["gantries"].Complete != 3 {
			t.Errorf("list: %+v %v", list, err)
		}
		for _, id := range []string{"passages", "frost-ensemble"} {
			if _, _, err := blue.Jobs().Deregister(id, true, nil); err != nil {
				t.Error(err)
			}
			if _, _, err := s.client("blue", 1).Jobs().Info(id, nil); err == nil || !strings.Contains(err.Error(), "404") {
				t.Errorf("%s after its purge: %v", id, err)
			}
		}
		time.Sleep(2 * time.Second)
		cancel()
		<-ended
		want := "JobRegistered frost-ensemble, JobRegistered passages, JobRegistered passages, JobDeregistered passages, JobDeregistered frost-ensemble"
		if got := strings.Join(events, ", "); got != want {
			t.Errorf("events: %s", got)
		}
	})
}

// TestNomadPriorityCap checks that a job above its team's priority cap is refused as a job file, with
// the reason, and as a native job.
func TestNomadPriorityCap(t *testing.T) {
	runNomadScenario(t, 52, func(t *testing.T, s *nomadWorld) {
		job := s.batchJob("warning", 1, 5)
		high := 100
		job.Priority = &high
		_, _, err := s.client("guests", 0).Jobs().Register(job, nil)
		if err == nil || !strings.Contains(err.Error(), "team guests may ask for normal at most") {
			t.Errorf("as a job file: %v", err)
		}
		native := array(900, 1, 5)
		native.Team, native.Urgency = "guests", "production"
		if status := s.PostJob(0, &native); status != http.StatusUnprocessableEntity {
			t.Errorf("as a native job: status %d", status)
		}
		high = 74
		if _, _, err := s.client("guests", 0).Jobs().Register(job, nil); err != nil {
			t.Error(err)
		}
		s.awaitStatus(s.client("guests", 1), "warning", "dead")
	})
}

// TestNomadNamesAndBodies checks that job names are case-sensitive, may contain slashes and may not
// contain spaces, that bodies over the limits are refused with status 413, and which status other
// requests get, also those that are not served.
func TestNomadNamesAndBodies(t *testing.T) {
	runNomadScenario(t, 57, func(t *testing.T, s *nomadWorld) {
		c := s.client("blue", 0).Jobs()
		for _, name := range []string{"Frost", "frost", "frost/plan", "frost/ü%2F"} {
			if _, _, err := c.Register(s.batchJob(name, 1, 400), nil); err != nil {
				t.Errorf("%q: %v", name, err)
			}
		}
		for _, name := range []string{"Frost", "frost", "frost/plan", "frost/ü%2F"} {
			j, _, err := s.client("blue", 1).Jobs().Info(name, nil)
			if err != nil || *j.ID != name {
				t.Errorf("%q: %v", name, err)
			}
		}
		if _, _, err := c.Register(s.batchJob("a b", 1, 400), nil); err == nil || !strings.Contains(err.Error(), "holds a space") {
			t.Errorf("a name with a space: %v", err)
		}
		if _, _, err := c.Deregister("frost/plan", true, nil); err != nil {
			t.Error(err)
		}
		if l, _, err := c.List(nil); err != nil || len(l) != 3 {
			t.Errorf("%d jobs: %v", len(l), err)
		}
		var paged []string
		for q := (&api.QueryOptions{PerPage: 2}); ; {
			l, m, err := c.List(q)
			if err != nil || len(l) == 0 || len(l) > 2 {
				t.Fatalf("a page with %d entries: %v", len(l), err)
			}
			for _, j := range l {
				paged = append(paged, j.ID)
			}
			if q.NextToken = m.NextToken; q.NextToken == "" {
				break
			}
		}
		if got := strings.Join(paged, " "); got != "Frost frost frost/ü%2F" {
			t.Errorf("jobs by pages: %s", got)
		}
		for _, b := range []struct {
			env    int
			random bool
			want   string
		}{{100_000, false, ""}, {6_000, true, "413"}, {700_000, false, "413"}} {
			job := s.batchJob("large", 1, 400)
			v := strings.Repeat("x", b.env)
			if b.random {
				r := []byte(v)
				random := rand.New(rand.NewPCG(1, 2))
				for i := range r {
					r[i] = byte('!' + random.IntN(90))
				}
				v = string(r)
			}
			job.TaskGroups[0].Tasks[0].Env = map[string]string{"V": v}
			_, _, err := c.Register(job, nil)
			if b.want == "" && err != nil || b.want != "" && (err == nil || !strings.Contains(err.Error(), b.want)) {
				t.Errorf("%d bytes: %.300v", b.env, err)
			}
		}
		for _, name := range []string{"Frost", "frost", "frost/ü%2F", "large"} {
			if _, _, err := c.Deregister(name, false, nil); err != nil {
				t.Error(err)
			}
			s.NoteCancelled(s.NativeJobs("blue", name))
		}
		for _, tc := range []struct {
			method, path string
			status       int
		}{
			{"GET", "/v1/acl/tokens", 501}, {"GET", "/v1/none", 404}, {"POST", "/v1/job/Frost/dispatch", 501}, {"DELETE", "/v1/jobs", 405},
			{"GET", "/v1/jobs?index=x", 400}, {"GET", "/v1/jobs?filter=a", 400}, {"GET", "/v1/jobs?region=eu", 500}, {"GET", "/v1/event/stream?topic=Node", 501},
			{"GET", "/v1/status/leader", 200}, {"GET", "/v1/status/peers", 200}, {"GET", "/v1/agent/health", 200}, {"GET", "/v1/agent/self", 200},
			{"GET", "/v1/namespaces", 200}, {"GET", "/v1/namespace/green", 404}, {"GET", "/v1/evaluations", 200}, {"GET", "/v1/aspenstall/task/job-1", 403},
		} {
			if status, body, _ := s.rawRequest(tc.method, "blue", 0, tc.path, nil); status != tc.status || strings.Count(body, "\n") > 1 {
				t.Errorf("%s %s: %d %q", tc.method, tc.path, status, body)
			}
		}
	})
}
