package simulator_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/nomad/api"

	"aspenstall/internal/simulator"
)

// TestNomadRetryAfterLostResponse checks that a registration whose response is lost as the leader
// crashes is the same job when it is retried at another node, with or without an index to enforce.
func TestNomadRetryAfterLostResponse(t *testing.T) {
	runNomadScenario(t, 53, func(t *testing.T, s *nomadWorld) {
		for i, enforce := range []bool{false, true} {
			name := fmt.Sprintf("lost-%d", i)
			job := s.batchJob(name, 3, 20)
			register := func(at int) (*api.JobRegisterResponse, error) {
				c := s.client("blue", at).Jobs()
				if enforce {
					r, _, err := c.EnforceRegister(job, 0, nil)
					return r, err
				}
				r, _, err := c.Register(job, nil)
				return r, err
			}
			at := max(s.Leader(), 0)
			first, err := register(at) // the response counts as lost
			if err != nil {
				t.Fatal(err)
			}
			s.Kill(at)
			second, err := register((at + 1) % 3)
			if err != nil || second.JobModifyIndex != first.JobModifyIndex {
				t.Errorf("%s: %+v after %+v: %v", name, second, first, err)
			}
			s.StartNode(at)
			s.awaitStatus(s.client("blue", (at+2)%3), name, "dead")
			if n := s.NativeJobs("blue", name); len(n) != 1 {
				t.Errorf("%s became %d native jobs", name, len(n))
			}
		}
	})
}

// TestNomadConcurrentVersions registers two versions of a job at two nodes at once. With an index to
// enforce, one succeeds and the other gets Nomad's published error. Without an index both succeed, one
// as the later version.
func TestNomadConcurrentVersions(t *testing.T) {
	runNomadScenario(t, 54, func(t *testing.T, s *nomadWorld) {
		first, _, err := s.client("blue", 0).Jobs().Register(s.batchJob("twice", 1, 100), nil)
		if err != nil {
			t.Fatal(err)
		}
		s.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 300 * time.Millisecond })
		for _, enforce := range []bool{true, false} {
			var wg sync.WaitGroup
			errs := make([]error, 2)
			for i := range 2 {
				job := s.batchJob("twice", 2+i, 100)
				wg.Go(func() {
					if enforce {
						_, _, errs[i] = s.client("blue", i).Jobs().EnforceRegister(job, first.JobModifyIndex, nil)
					} else {
						_, _, errs[i] = s.client("blue", i).Jobs().Register(job, nil)
					}
				})
			}
			wg.Wait()
			failed := 0
			for _, err := range errs {
				if err != nil {
					failed++
					if !strings.Contains(err.Error(), api.RegisterEnforceIndexErrPrefix) {
						t.Errorf("refused with %v", err)
					}
				}
			}
			if enforce && failed != 1 || !enforce && failed != 0 {
				t.Errorf("enforced %v: %v", enforce, errs)
			}
			j, _, err := s.client("blue", 2).Jobs().Info("twice", nil)
			if err != nil {
				t.Fatal(err)
			}
			first.JobModifyIndex = *j.JobModifyIndex
		}
		// One of the two registrations without an index has the content of the version that was
		// enforced. It creates no version if it comes first, so there are 3 or 4 versions in all.
		vs, _, _, err := s.client("blue", 0).Jobs().Versions("twice", false, nil)
		if err != nil || len(vs) < 3 || len(vs) > 4 {
			t.Errorf("%d versions: %v", len(vs), err)
		}
		if _, _, err := s.client("blue", 0).Jobs().Deregister("twice", false, nil); err != nil {
			t.Error(err)
		}
		s.NoteCancelled(s.NativeJobs("blue", "twice"))
		s.awaitStatus(s.client("blue", 1), "twice", "dead")
	})
}

// TestNomadReplacementKeepsQuotaMax replaces a job that uses its team's whole maximum. The tasks of
// the new version start only as the old tasks end: the simulator's checker verifies that the team's
// usage stays within the maximum.
func TestNomadReplacementKeepsQuotaMax(t *testing.T) {
	runNomadScenario(t, 61, func(t *testing.T, s *nomadWorld) {
		c := s.client("guests", 0)
		running := func(want int) {
			t.Helper()
			for end := time.Now().Add(2 * time.Minute); ; time.Sleep(time.Second) {
				sum, _, err := c.Jobs().Summary("all", nil)
				if err == nil && sum.Summary["g"].Running == want {
					return
				}
				if time.Now().After(end) {
					t.Fatalf("summary: %+v %v, want %d running", sum, err, want)
				}
			}
		}
		for version := range 3 {
			old := s.NativeJobs("guests", "all")
			if _, _, err := c.Jobs().Register(s.batchJob("all", 8, 400+float64(version)), nil); err != nil {
				t.Fatal(err)
			}
			s.NoteCancelled(old)
			running(8)
			if n := len(s.NativeJobs("guests", "all")); n != version+1 {
				t.Errorf("%d native jobs at version %d", n, version)
			}
		}
		if _, _, err := c.Jobs().Deregister("all", true, nil); err != nil {
			t.Error(err)
		}
		s.NoteCancelled(s.NativeJobs("guests", "all"))
	})
}

// TestNomadDeregisterRacesCompletion deregisters jobs around the time at which they complete. Each
// job must end, cancelled or complete, and none of its tasks may keep running.
func TestNomadDeregisterRacesCompletion(t *testing.T) {
	runNomadScenario(t, 55, func(t *testing.T, s *nomadWorld) {
		var wg sync.WaitGroup
		for i := range 12 {
			name := fmt.Sprintf("race-%02d", i)
			job := s.batchJob(name, 2, 8)
			if _, _, err := s.client("blue", i%3).Jobs().Register(job, nil); err != nil {
				t.Fatal(err)
			}
			wg.Go(func() {
				c := s.client("blue", (i+1)%3)
				s.awaitStatus(c, name, "running")
				time.Sleep(7*time.Second + time.Duration(i)*250*time.Millisecond)
				if _, _, err := c.Jobs().Deregister(name, false, nil); err != nil {
					t.Errorf("%s: %v", name, err)
				}
				s.NoteCancelled(s.NativeJobs("blue", name))
				s.awaitStatus(c, name, "dead")
			})
		}
		wg.Wait()
		time.Sleep(45 * time.Second)
		for i := range 12 {
			for _, id := range s.NativeJobs("blue", fmt.Sprintf("race-%02d", i)) {
				if n := s.RunningTasks(id); n > 0 {
					t.Errorf("%d tasks of %s are still running", n, id)
				}
			}
		}
	})
}

// TestNomadStateDown checks that a registration while the state service is down is answered within a
// second with status 503 and Retry-After, and writes nothing.
func TestNomadStateDown(t *testing.T) {
	runNomadScenario(t, 58, func(t *testing.T, s *nomadWorld) {
		job := s.batchJob("later", 1, 5)
		s.StateFaults.Update(func(f *simulator.Faults) { f.Down = true })
		started := time.Now()
		status, body, h := s.rawRequest("PUT", "blue", 0, "/v1/jobs", map[string]any{"Job": job})
		if d := time.Since(started); status != http.StatusServiceUnavailable || h.Get("Retry-After") != "1" || d > time.Second {
			t.Errorf("%d %q after %v", status, body, d)
		}
		s.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
		s.State.RenewLeases()
		time.Sleep(5 * time.Second)
		if l, _, err := s.client("blue", 1).Jobs().List(nil); err != nil || len(l) != 0 {
			t.Errorf("partly registered: %+v %v", l, err)
		}
		if _, _, err := s.client("blue", 0).Jobs().Register(job, nil); err != nil {
			t.Error(err)
		}
		s.awaitStatus(s.client("blue", 2), "later", "dead")
	})
}

// TestNomadRefusalWritesNothing checks that a job file with one refused group writes no record.
func TestNomadRefusalWritesNothing(t *testing.T) {
	runNomadScenario(t, 59, func(t *testing.T, s *nomadWorld) {
		job := s.parseJob(s.sampleFile("two-groups"))
		before, _, _ := s.rawRequest("GET", "blue", 0, "/v1/jobs", nil)
		job.TaskGroups[1].Networks = []*api.NetworkResource{{Mode: "host"}}
		_, _, err := s.client("blue", 0).Jobs().Register(job, nil)
		if err == nil || !strings.Contains(err.Error(), "group.network: ports are not handed out") || !strings.Contains(err.Error(), "job:1:") {
			t.Errorf("got %v", err)
		}
		huge := 1000
		job.TaskGroups[1].Networks, job.TaskGroups[1].Tasks[0].Resources.Cores = nil, &huge
		job.TaskGroups[1].Tasks[0].Resources.CPU = nil
		_, _, err = s.client("blue", 0).Jobs().Register(job, nil)
		if err == nil || !strings.Contains(err.Error(), "can never run here") {
			t.Errorf("got %v", err)
		}
		if l, _, err := s.client("blue", 1).Jobs().List(nil); err != nil || len(l) != 0 || before != 200 {
			t.Errorf("jobs after the refusal: %+v %v", l, err)
		}
		if _, ok := s.State.Get("c/nomad/"); ok {
			t.Error("a record was written")
		}
	})
}

// retryUntilAnswered retries a request at one node after the other, every second, until it succeeds.
// Status 400, 404 or 409 fails the test, and so do 60 attempts without success.
func (s *nomadWorld) retryUntilAnswered(team string, what string, request func(c *api.Client) error) {
	s.Helper()
	for try := range 60 {
		err := request(s.client(team, try%3))
		if err == nil {
			return
		}
		if strings.Contains(err.Error(), "400") || strings.Contains(err.Error(), "409") || strings.Contains(err.Error(), "404") {
			s.Errorf("%s: %v", what, err)
			return
		}
		time.Sleep(time.Second)
	}
	s.Errorf("%s: no success in 60 attempts", what)
}

// TestNomadFaultScenarios registers, changes and deregisters jobs while services fail and controllers
// crash. Every confirmed request must hold: registered jobs complete, with at most one native job per
// distinct content, deregistered jobs end, and no node's index decreases.
func TestNomadFaultScenarios(t *testing.T) {
	const sec = time.Second
	for i, sc := range []struct {
		name    string
		setup   func(w *simulator.World)
		actions []action
	}{
		{"responses lost", func(w *simulator.World) {
			w.StateFaults.LoseResponse, w.StateFaults.LoseRequest = 0.05, 0.05
			w.WorkerFaults.LoseResponse, w.WorkerFaults.LoseRequest = 0.1, 0.1
		}, nil},
		{"late transactions", func(w *simulator.World) {
			w.StateFaults.ExecuteLate, w.StateFaults.LateDelay, w.StateFaults.MaxDelay = 0.04, 9*sec, 300*time.Millisecond
		}, nil},
		{"controllers crash", nil, []action{
			{10 * sec, killNode(0)}, {14 * sec, startNode(0)}, {25 * sec, killNode(1)}, {26 * sec, killNode(2)}, {33 * sec, startNode(1)}, {35 * sec, startNode(2)},
			{50 * sec, killAllNodes}, {54 * sec, startAllNodes},
		}},
		{"outages, and a watch that has to read all records again", nil, []action{
			{12 * sec, func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true }) }},
			{20 * sec, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				w.State.RenewLeases()
			}},
			{30 * sec, func(w *simulator.World) { w.Net.BlockLink(w.NodeAddr(1), w.StateAddr(), true) }},
			{38 * sec, func(w *simulator.World) { w.State.CompactLog(); w.Net.BlockLink(w.NodeAddr(1), w.StateAddr(), false) }},
			{45 * sec, func(w *simulator.World) { w.State.CompactLog() }},
		}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			runNomadScenario(t, 70+uint64(i), func(t *testing.T, s *nomadWorld) {
				if sc.setup != nil {
					s.StateFaults.Update(func(*simulator.Faults) { sc.setup(s.World) })
				}
				var wg sync.WaitGroup
				for _, a := range sc.actions {
					wg.Go(func() { time.Sleep(a.at); a.do(s.World) })
				}
				random := rand.New(rand.NewPCG(uint64(i), 9))
				for k := range 12 {
					name, startDelay := fmt.Sprintf("job-%02d", k), time.Duration(random.IntN(60))*sec
					jobs := []*api.Job{s.batchJob(name, 1+random.IntN(4), 5+5*random.Float64())}
					if k%3 == 1 {
						jobs = append(jobs, s.batchJob(name, 5, 8))
					}
					wg.Go(func() {
						time.Sleep(startDelay)
						for _, job := range jobs {
							s.retryUntilAnswered("blue", name, func(c *api.Client) error { _, _, err := c.Jobs().Register(job, nil); return err })
							time.Sleep(3 * sec)
						}
						if k%3 == 2 {
							s.retryUntilAnswered("blue", name, func(c *api.Client) error { _, _, err := c.Jobs().Deregister(name, false, nil); return err })
							s.NoteCancelled(s.NativeJobs("blue", name))
						}
						s.awaitStatus(s.client("blue", k%3), name, "dead")
						if k%3 == 2 {
							return
						}
						last := *jobs[len(jobs)-1].TaskGroups[0].Count
						s.retryUntilAnswered("blue", name, func(c *api.Client) error {
							sum, _, err := c.Jobs().Summary(name, nil)
							if err == nil && sum.Summary["g"].Complete != last {
								t.Errorf("%s: %+v, want %d complete", name, sum.Summary, last)
							}
							return err
						})
						if n := len(s.NativeJobs("blue", name)); n > len(jobs) {
							t.Errorf("%s ran as %d native jobs, want at most %d", name, n, len(jobs))
						}
					})
				}
				done := make(chan struct{})
				for at := range 3 { // readers of nodes 1 and 2, and one that alternates between all nodes
					go func() {
						var lastIndex uint64
						for n := 0; ; n++ {
							select {
							case <-done:
								return
							case <-time.After(700 * time.Millisecond):
							}
							node := at
							if at == 0 {
								node = n % 3
							}
							_, m, err := s.client("blue", node).Jobs().List(nil)
							if err == nil && m.LastIndex < lastIndex {
								t.Errorf("node %d: the index decreased from %d to %d", node, lastIndex, m.LastIndex)
							}
							if err == nil {
								lastIndex = m.LastIndex
							}
						}
					}()
				}
				wg.Wait()
				close(done)
				time.Sleep(3 * sec)
			})
		})
	}
}
