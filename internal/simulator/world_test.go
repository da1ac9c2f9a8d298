package simulator_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/simulator"
)

// addTeam adds a team with its guarantees and limits, in CPUs and in GPUs.
func addTeam(p *config.Platform, name string, cpus, cpusMax, gpus, gpusMax float64) {
	p.Params.Teams = append(p.Params.Teams, config.Team{Name: name, CPUs: cpus, CPUsMax: cpusMax, GPUs: gpus, GPUsMax: gpusMax})
}

// platform returns settings with two teams, small budgets of the services and short leases.
func platform() config.Platform {
	var p config.Platform
	addTeam(&p, "blue", 16, 40, 0, 0)
	addTeam(&p, "green", 8, 24, 1, 2)
	p.Params.Workers.ReportS, p.Params.Workers.LeaseS = 3, 16
	p.Params.Workers.GangWaitS, p.Params.Workers.GangPeerS, p.Params.Workers.CancelS = 30, 8, 40
	p.Params.State.RPS, p.Params.State.WriteRPS, p.Params.State.ValueKB, p.Params.State.TxnOps = 200, 100, 4, 12
	p.Params.Cloud.RPS, p.Params.Cloud.ListLagS = 4, 4
	p.Params.Limits.MaxConnections = 500
	return p
}

// machineTypes are a small type in three zones and a type with GPUs in two.
var machineTypes = []simulator.MachineType{
	{Name: "s4", CPUs: 4, MemGB: 16, CacheGB: 40, FetchGBps: 0.5, Price: 0.2, SpotPrice: 0.07, BootS: 15, Zones: []string{"a", "b", "c"}},
	{Name: "g16", CPUs: 16, GPUs: 2, MemGB: 64, CacheGB: 40, FetchGBps: 1, Price: 0.9, SpotPrice: 0.3, BootS: 20, Zones: []string{"a", "b"}},
}

// array returns an array job of small spot tasks of team blue that run for so many seconds.
func array(id, tasks int, run float64) simulator.Spec {
	return simulator.Spec{
		ID: fmt.Sprintf("job-%06d", id), Class: "sweep", Team: "blue", Shape: "batch", Urgency: "standard",
		Tasks: tasks, CPUs: 2, MemGB: 2, Image: "im1", ImageGB: 1, Spot: true, EstimateS: run, DueS: 120.0, RunS: run,
	}
}

// service returns a production service of team green that is spread over zones.
func service(id, tasks int) simulator.Spec {
	return simulator.Spec{
		ID: fmt.Sprintf("job-%06d", id), Class: "web", Team: "green", Shape: "standing", Urgency: "production",
		Tasks: tasks, CPUs: 2, MemGB: 4, Image: "im2", ImageGB: 0.5, Spread: true,
	}
}

// gang returns a gang of team blue, in one zone, whose tasks run for so many seconds and save
// checkpoints.
func gang(id, tasks int, run float64) simulator.Spec {
	return simulator.Spec{
		ID: fmt.Sprintf("job-%06d", id), Class: "train", Team: "blue", Shape: "ensemble", Urgency: "high",
		Tasks: tasks, CPUs: 4, MemGB: 4, Image: "im3", ImageGB: 1, OneZone: true, Spot: true,
		EstimateS: run, CheckpointS: 5, SaveS: 1, RunS: run,
	}
}

// TestScenarios runs fault scenarios against the real controllers under fake time. It fails if an
// invariant is violated or if a job does not reach its expected state.
func TestScenarios(t *testing.T) {
	s := time.Second
	for _, sc := range []scenario{
		{name: "quiet", seed: 1},
		{name: "responses lost", seed: 2, setup: func(w *simulator.World) {
			w.StateFaults.LoseResponse, w.StateFaults.LoseRequest = 0.05, 0.05
			w.WorkerFaults.LoseResponse, w.WorkerFaults.LoseRequest = 0.2, 0.1
			w.CloudFaults.LoseResponse = 0.2
		}},
		{name: "late commands and transactions", seed: 3, setup: func(w *simulator.World) {
			w.StateFaults.ExecuteLate, w.StateFaults.LateDelay = 0.03, 9*time.Second
			w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay = 0.3, 20*time.Second
			w.CloudFaults.ExecuteLate, w.CloudFaults.LateDelay = 0.2, 30*time.Second
		}},
		{name: "slow services", seed: 4, setup: func(w *simulator.World) {
			w.StateFaults.MaxDelay, w.WorkerFaults.MaxDelay = 300*time.Millisecond, time.Second
		}},
		{name: "controllers crash", seed: 5, actions: []action{
			{30 * s, killNode(0)}, {35 * s, startNode(0)}, {50 * s, killNode(1)}, {51 * s, killNode(2)}, {60 * s, startNode(1)}, {62 * s, startNode(2)},
			{80 * s, killAllNodes}, {85 * s, startAllNodes},
		}},
		{name: "machines die", seed: 6, actions: []action{
			{40 * s, func(w *simulator.World) { w.Cloud.Workers()[0].Terminate() }},
			{55 * s, func(w *simulator.World) { w.Cloud.Workers()[1].Terminate() }},
			{70 * s, func(w *simulator.World) { w.Cloud.Workers()[0].SetSpotNotice(5) }},
		}},
		{name: "state outages", seed: 7, actions: []action{
			{40 * s, func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true }) }},
			{52 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				w.State.RenewLeases()
			}},
			{70 * s, func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true }) }},
			{75 * s, killAllNodes}, {78 * s, startAllNodes},
			{100 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				w.State.RenewLeases()
			}},
		}},
		{name: "a state outage longer than leader's and workers' leases", seed: 12, keepsLeases: true, actions: []action{
			{40 * s, func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true }) }},
			{80 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				w.State.RenewLeases()
			}},
		}},
		{name: "all controllers crash at the end of an outage", seed: 13, keepsLeases: true, actions: []action{
			{40 * s, func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true }) }},
			{60 * s, killAllNodes}, {63 * s, startAllNodes},
			{65 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				w.State.RenewLeases()
			}},
		}},
		{name: "partitioned from the state service and from workers", seed: 8, actions: []action{
			{40 * s, func(w *simulator.World) { partitionNode(w, 0, w.StateAddr(), true) }},
			{60 * s, func(w *simulator.World) {
				partitionNode(w, 0, w.StateAddr(), false)
				partitionNode(w, 1, w.StateAddr(), true)
			}},
			{75 * s, func(w *simulator.World) { partitionNode(w, 1, w.StateAddr(), false) }},
			{80 * s, func(w *simulator.World) { partitionNodeFromWorkers(w, 2, true) }},
			{110 * s, func(w *simulator.World) { partitionNodeFromWorkers(w, 2, false) }},
		}},
		{name: "partitioned machines", seed: 9, actions: []action{
			{40 * s, func(w *simulator.World) { partitionWorker(w, w.Cloud.Workers()[0], true) }},
			{52 * s, func(w *simulator.World) {
				if ks := w.Cloud.Workers(); len(ks) > 0 {
					partitionWorker(w, ks[0], false)
				}
			}},
		}},
		{name: "a faulty machine", seed: 10, actions: []action{
			{30 * s, func(w *simulator.World) { w.Cloud.Workers()[0].SetFailsTasks() }},
		}},
		{name: "several faults combined", seed: 11, setup: func(w *simulator.World) {
			w.StateFaults.LoseResponse, w.StateFaults.ExecuteLate, w.StateFaults.LateDelay = 0.02, 0.02, 8*time.Second
			w.WorkerFaults.LoseResponse, w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay = 0.1, 0.1, 25*time.Second
		}, actions: []action{
			{35 * s, killNode(0)}, {45 * s, startNode(0)}, {47 * s, func(w *simulator.World) { w.Cloud.Workers()[0].Terminate() }},
			{60 * s, killAllNodes}, {63 * s, startAllNodes}, {90 * s, killNode(1)}, {91 * s, startNode(1)},
		}},
	} {
		t.Run(sc.name, func(t *testing.T) { runScenario(t, sc, platform(), machineTypes, mixedWorkload) })
	}
}

// action is a change to the simulated world at a time since the scenario started.
type action struct {
	at time.Duration
	do func(w *simulator.World)
}

// scenario is a sequence of faults that runScenario plays.
type scenario struct {
	name           string
	seed           uint64
	setup          func(w *simulator.World)
	actions        []action
	keepsLeases    bool // no worker's lease may expire
	setupFaultsEnd bool // the last action also ends the faults that setup began
}

// inFlightGrace is the time after the last fault for requests that are still in flight: copies and
// late writes.
const inFlightGrace = 15 * time.Second

// faultsOver returns the time since the start at which the last fault and its effects are over.
func (sc *scenario) faultsOver() time.Duration {
	var last time.Duration
	for _, a := range sc.actions {
		last = max(last, a.at)
	}
	return last + inFlightGrace
}

// users are the simulated users who submit jobs during a scenario.
type users struct {
	w          *simulator.World
	startedAt  time.Time // when the scenario began
	random     *rand.Rand
	group      sync.WaitGroup
	mu         sync.Mutex
	unfinished []string // failed expectations, by job
}

// after runs f after a delay; runScenario waits for it.
func (u *users) after(d time.Duration, f func()) {
	u.group.Go(func() { time.Sleep(d); f() })
}

// afterRandom runs f after a random delay of less than so many seconds.
func (u *users) afterRandom(seconds int, f func()) {
	u.after(time.Duration(u.random.IntN(seconds))*time.Second, f)
}

// expectState waits up to 400 s until the job reaches the state, and records a failure if it does
// not. A job that was cancelled meanwhile is no failure.
func (u *users) expectState(id, state string) {
	if !u.w.AwaitState(id, state, 400*time.Second) && u.w.AcceptedJobs()[id] != "aborted" {
		u.mu.Lock()
		u.unfinished = append(u.unfinished, id+" is not "+state)
		u.mu.Unlock()
	}
}

// runToDone submits a job and expects it to be done.
func (u *users) runToDone(job simulator.Spec) {
	if u.w.Submit(job) {
		u.expectState(job.ID, "done")
	}
}

// logDir is where the debug logs of failed scenarios are written. A seed does not reproduce a run
// exactly, so a failure is analysed by the log of the run that failed. failedRuns numbers the files.
var (
	logDir     = flag.String("logs", "", "directory for the logs of failed scenarios")
	failedRuns atomic.Int64
)

// lockedWriter is a writer that is safe for concurrent use.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

// runScenario runs a scenario under fake time with the jobs that the workload submits. It checks
// liveness from the end of the faults on, unless setup begins faults that last until the end.
func runScenario(t *testing.T, sc scenario, p config.Platform, types []simulator.MachineType, jobs func(t *testing.T, u *users)) {
	synctest.Test(t, func(t *testing.T) {
		w := simulator.NewWorld(sc.seed, p, types)
		if *logDir != "" {
			var log bytes.Buffer
			w.SetLogHandler(slog.NewTextHandler(&lockedWriter{w: &log}, &slog.HandlerOptions{Level: slog.LevelDebug}))
			defer func() {
				if t.Failed() {
					name := fmt.Sprintf("%s-%d.log", strings.NewReplacer("/", "-", " ", "_").Replace(t.Name()), failedRuns.Add(1))
					_ = os.WriteFile(filepath.Join(*logDir, name), log.Bytes(), 0o644)
				}
			}()
		}
		defer w.Close()
		if sc.setup != nil {
			sc.setup(w)
		}
		startAllNodes(w)
		u := &users{w: w, startedAt: time.Now(), random: rand.New(rand.NewPCG(sc.seed, 7))}
		for _, a := range sc.actions {
			u.after(a.at, func() { a.do(w) })
		}
		if sc.setup == nil || sc.setupFaultsEnd {
			u.after(sc.faultsOver(), w.ExpectLiveness)
		}
		jobs(t, u)
		u.group.Wait()
		time.Sleep(60 * time.Second) // late requests arrive, tasks of cancelled jobs must have stopped
		for _, b := range w.Violations() {
			t.Error(b)
		}
		for _, id := range u.unfinished {
			t.Error(id)
		}
		if n := w.LeasesExpired(); sc.keepsLeases && n > 0 {
			t.Errorf("%d workers' leases expired", n)
		}
		if w.TaskStarts() == 0 {
			t.Error("no task was started")
		}
	})
}

// mixedWorkload submits arrays, gangs and services side by side.
func mixedWorkload(t *testing.T, u *users) {
	const s = time.Second
	w, r := u.w, u.random
	for i := range 12 {
		job := array(100+i, 1+r.IntN(12), 5+10*r.Float64())
		cancelled := i%5 == 4
		if i%3 == 1 {
			job.Team, job.Urgency = "green", "idle"
		}
		u.afterRandom(100, func() {
			if !cancelled {
				u.runToDone(job)
			} else if w.Submit(job) {
				time.Sleep(6 * s)
				w.Cancel(job.ID)
			}
		})
	}
	for i := range 4 {
		job := gang(200+i, 2+r.IntN(3), 8)
		u.afterRandom(100, func() { u.runToDone(job) })
	}
	for i := range 2 {
		job := array(400+i, 4, 6)
		job.Team, job.GPUs, job.Types = "green", 1, []string{"g16"}
		u.afterRandom(60, func() { u.runToDone(job) })
	}
	for i := range 4 {
		job := service(300+i, 1+i%3)
		u.afterRandom(60, func() {
			if !w.Submit(job) {
				return
			}
			u.expectState(job.ID, "running")
			time.Sleep(60 * s)
			w.Cancel(job.ID)
		})
	}
	u.after(0, func() { // runs throughout
		if job := service(390, 3); w.Submit(job) {
			time.Sleep(120 * s)
			w.Cancel(job.ID)
		}
	})
	u.after(50*s, func() {
		if got := w.Poll("job-999999"); got != "unknown" && got != "" {
			t.Errorf("a job that was never submitted is %q", got)
		}
	})
}

// wholeMachinePlatform returns settings and a machine type with eight GPUs. Three teams have
// guarantees and limits in GPUs alone.
func wholeMachinePlatform() (config.Platform, []simulator.MachineType) {
	p := platform()
	p.Params.Teams = p.Params.Teams[:0]
	addTeam(&p, "river", 0, 0, 16, 48)
	addTeam(&p, "radar", 0, 0, 32, 64)
	addTeam(&p, "models", 0, 0, 16, 48)
	p.Params.Workers.ReportS, p.Params.Workers.LeaseS = 6, 34
	p.Params.Workers.GangWaitS, p.Params.Workers.GangPeerS, p.Params.Workers.CancelS = 12, 4, 64
	p.Params.State.ValueKB, p.Params.State.TxnOps = 8, 24
	p.Params.Cloud.RPS = 10
	return p, []simulator.MachineType{{Name: "h8", CPUs: 64, GPUs: 8, MemGB: 512, CacheGB: 60, FetchGBps: 0.5,
		Price: 18, SpotPrice: 8, BootS: 20, Zones: []string{"a", "b"}}}
}

// gangWorkload submits gangs of whole machines, some in one zone, and arrays of single GPUs that
// borrow unused quota. Some images take longer to fetch than a worker lets a gang task wait.
func gangWorkload(t *testing.T, u *users) {
	r := u.random
	for i := range 10 {
		job := gang(200+i, []int{1, 2, 4}[i%3], 10+20*r.Float64())
		job.Team, job.CPUs, job.GPUs, job.MemGB = []string{"radar", "river"}[i%2], 57, 8, 410
		job.Spot, job.OneZone = i%2 == 1, i%2 == 0
		job.Image, job.ImageGB = fmt.Sprint("gang", i%3), []float64{3, 6, 12}[i%3]
		u.afterRandom(90, func() { u.runToDone(job) })
	}
	// One machine of the gang has the image. The others need twice as long to fetch it as the
	// task on that machine waits for them.
	for i, tasks := range []int{1, 3} {
		job := gang(250+i, tasks, 10)
		job.Team, job.CPUs, job.GPUs, job.MemGB, job.Image, job.ImageGB = "radar", 57, 8, 410, "large", 12
		u.after(time.Duration(60*i)*time.Second, func() { u.runToDone(job) })
	}
	for i := range 8 {
		job := array(100+i, 8+r.IntN(24), 5+15*r.Float64())
		job.Team, job.CPUs, job.GPUs, job.MemGB = "models", 6, 1, 48
		job.CheckpointS, job.SaveS, job.DueS = 4, 1, 200.0
		cancelled := i == 3
		u.afterRandom(60, func() {
			if !cancelled {
				u.runToDone(job)
			} else if u.w.Submit(job) {
				time.Sleep(10 * time.Second)
				u.w.Cancel(job.ID)
			}
		})
	}
	u.after(30*time.Second, func() {
		for want, job := range map[string]simulator.Spec{
			"more than its team's limit": {Tasks: 9, GPUs: 8}, "more than any machine": {Tasks: 1, GPUs: 9},
		} {
			bad := gang(299, job.Tasks, 5)
			bad.Team, bad.GPUs = "radar", job.GPUs
			if got := u.w.PostJob(1, &bad); got != http.StatusUnprocessableEntity {
				t.Errorf("a gang that needs %s is answered %d", want, got)
			}
		}
	})
}

// TestGangScenarios runs scenarios with gangs of whole machines and arrays on borrowed GPUs.
func TestGangScenarios(t *testing.T) {
	const s = time.Second
	fewMachines := func(w *simulator.World) { w.Cloud.Capacity = 9 }
	reclaimWave := func(w *simulator.World) {
		for i, k := range w.Cloud.Workers() {
			switch i % 3 {
			case 0:
				k.Terminate()
			case 1:
				k.SetSpotNotice(8)
			}
		}
	}
	for _, sc := range []scenario{
		{name: "quiet", seed: 21},
		{name: "fewer machines than work", seed: 22, setup: fewMachines},
		{name: "takeover while gangs run", seed: 23, setup: fewMachines, actions: []action{
			{41 * s, killNode(0)}, {47 * s, startNode(0)}, {60 * s, killNode(1)}, {66 * s, startNode(1)}, {80 * s, killAllNodes}, {86 * s, startAllNodes},
		}},
		{name: "machines are reclaimed in waves", seed: 24, actions: []action{{50 * s, reclaimWave}, {75 * s, reclaimWave}}},
		{name: "late and lost commands", seed: 25, setup: func(w *simulator.World) {
			w.WorkerFaults.LoseResponse, w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay = 0.1, 0.1, 25*time.Second
		}, actions: []action{{45 * s, killNode(0)}, {51 * s, startNode(0)}, {60 * s, reclaimWave}}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			p, types := wholeMachinePlatform()
			runScenario(t, sc, p, types, gangWorkload)
		})
	}
}

// killNode returns an action that kills a controller's process.
func killNode(i int) func(*simulator.World) { return func(w *simulator.World) { w.Kill(i) } }

// startNode returns an action that starts a controller's process.
func startNode(i int) func(*simulator.World) { return func(w *simulator.World) { w.StartNode(i) } }

func killAllNodes(w *simulator.World) {
	for i := range 3 {
		w.Kill(i)
	}
}

func startAllNodes(w *simulator.World) {
	for i := range 3 {
		w.StartNode(i)
	}
}

// partitionNode blocks or restores the link between a controller and an address.
func partitionNode(w *simulator.World, i int, other string, blocked bool) {
	w.Net.BlockLink(w.NodeAddr(i), other, blocked)
}

// partitionNodeFromWorkers blocks or restores the links between a controller and all workers.
func partitionNodeFromWorkers(w *simulator.World, i int, blocked bool) {
	for _, k := range w.Cloud.Workers() {
		w.Net.BlockLink(w.NodeAddr(i), k.Address(), blocked)
	}
}

// partitionWorker blocks or restores the links between a worker and all controllers.
func partitionWorker(w *simulator.World, k *simulator.Worker, blocked bool) {
	for i := range 3 {
		w.Net.BlockLink(w.NodeAddr(i), k.Address(), blocked)
	}
}

// newLiveWorld returns a world in which a service runs and liveness is expected.
func newLiveWorld(seed uint64) *simulator.World {
	w := simulator.NewWorld(seed, platform(), machineTypes[:1])
	startAllNodes(w)
	time.Sleep(10 * time.Second)
	w.Submit(service(1, 1))
	time.Sleep(60 * time.Second)
	w.ExpectLiveness()
	return w
}

// TestLivenessChecker tests that the checker reports a job about which no controller answers, and a
// job that waits although there is room for it, once faults are over.
func TestLivenessChecker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLiveWorld(62)
		defer w.Close()
		waiting := service(2, 1)
		for i := range 3 { // the leader must not start the task before it is killed
			partitionNodeFromWorkers(w, i, true)
		}
		w.Submit(waiting)
		killAllNodes(w)
		for range 100 {
			w.Poll(waiting.ID)
			time.Sleep(time.Second)
		}
		for _, rule := range []string{"forgotten: no question about job-000002", "neglected: job-000002"} {
			if !slices.ContainsFunc(w.Violations(), func(b string) bool { return strings.HasPrefix(b, rule) }) {
				t.Errorf("not found: %s; found %v", rule, w.Violations())
			}
		}
	})
}

// TestWithheldChecker tests that the checker reports a healthy machine on which nothing is placed: the
// leader does not hear from it, and the cloud does not take it back.
func TestWithheldChecker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLiveWorld(63)
		defer w.Close()
		w.CloudFaults.Update(func(f *simulator.Faults) { f.Down = true })
		for _, k := range w.Cloud.Workers() {
			partitionWorker(w, k, true)
		}
		time.Sleep(3 * time.Minute)
		if !slices.ContainsFunc(w.Violations(), func(v string) bool { return strings.HasPrefix(v, "withheld: ") }) {
			t.Errorf("no machine is reported as withheld; found %v", w.Violations())
		}
	})
}
