package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wait"
)

// Run is one run: the simulated state service, cloud and users in this process, and the processes
// of controllers and workers.
type Run struct {
	settings   Settings
	teams      []Team
	network    *Network
	state      *simulator.State
	cloud      *simulator.Cloud
	checker    *simulator.Checker
	users      *users
	operator   *operator
	storm      *questionStorm // nil without one
	messages   *messageCounter
	timeline   timeline
	progress   io.Writer // progress log
	processLog *os.File  // standard error of the processes
	at         addresses // set when the run is executed

	controllers []*controller
	hosts       []*hostProcess
	listeners   []io.Closer
	processes   sync.WaitGroup
	traffic     struct{ peers, state, cloud TrafficCounter }

	mu                    sync.Mutex
	healthyAddresses      []string // of controllers
	random                *rand.Rand
	leader                string
	leaderSince           time.Time // when its leader record was first seen
	runningTasks          int
	taskStarts            int
	firstStartUnderLeader time.Time // first task start after leaderSince, or zero
	tasksStopped          int
	leasesLost            int
	peakMB                float64
}

// The cloud has one machine type, whose machines boot in bootS seconds. The machines of the initial
// fleet come up after initialBootS seconds, one after the other, initialBootsPerS per second.
const (
	machineType      = "scale"
	bootS            = 20.0
	initialBootS     = 1.0
	initialBootsPerS = 300.0
)

// New returns a run with the given settings, which Execute starts. It writes its log to progress.
func New(s Settings, progress io.Writer) *Run {
	r := &Run{settings: s, teams: makeTeams(&s), progress: progress, messages: newMessageCounter(), random: rand.New(rand.NewPCG(uint64(s.Seed), 4))}
	r.network = NewNetwork(&r.settings)
	r.state = simulator.NewState(s.StateTxnOps)
	if s.QuestionsPerS > 0 {
		r.storm = newQuestionStorm(r)
		r.teams = append(r.teams, r.storm.team())
	}
	r.users = newUsers(r)
	r.checker = simulator.NewChecker()
	r.checker.Log = func() *slog.Logger {
		return slog.New(slog.NewTextHandler(progress, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}
	r.checker.Job = r.users.job
	r.checker.CancelTimeout = seconds(s.CancelS)
	limits := map[string]simulator.Limit{}
	for _, t := range r.teams {
		limits[t.Name] = simulator.Limit{CPUs: t.CPUsMax}
	}
	r.checker.Limit = func(team string) simulator.Limit { return limits[team] }
	return r
}

// newMachineType returns the machine type of the run's cloud.
func (r *Run) newMachineType() simulator.MachineType {
	return simulator.MachineType{
		Name: machineType, CPUs: r.settings.MachineCPUs, MemGB: 16 * r.settings.MachineCPUs, CacheGB: 100, FetchGBps: 1,
		Price: 1, SpotPrice: 0.5, BootS: bootS, Zones: r.settings.Zones,
	}
}

// Programs are the paths of the controllers' executables.
type Programs struct {
	Binary     string
	LastBinary string // of the last controller, to test two versions together; "" for Binary
}

// forController returns the executable of the ith controller.
func (p Programs) forController(i, controllers int) string {
	if p.LastBinary != "" && i == controllers-1 {
		return p.LastBinary
	}
	return p.Binary
}

// Execute executes the run: warm-up, measurement and shutdown. The files of the processes are
// written to dir. It fails if ctx ends, a process cannot be started, or the memory limit is
// exceeded.
func (r *Run) Execute(ctx context.Context, programs Programs, dir string) (*Result, error) {
	s := &r.settings
	limit := seconds(s.WarmUpS + s.MeasureS + 120)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer r.processes.Wait() // the processes end with ctx
	defer cancel()
	var err error
	if r.processLog, err = os.Create(filepath.Join(dir, "processes.log")); err != nil {
		return nil, err
	}
	defer r.processLog.Close()
	defer r.closeListeners()
	at, reservation, err := reserveAddresses()
	if err != nil {
		return nil, err
	}
	r.at, r.listeners = at, append(r.listeners, reservation)
	if err := r.startServices(programs, dir); err != nil {
		return nil, err
	}
	if err := r.startProcesses(ctx); err != nil {
		return nil, err
	}
	go r.watchControllers(ctx)
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		r.checkEvents(ctx)
	}()
	for n := range s.Workers {
		r.cloud.StartUnrequested(machineType, s.Zones[n%len(s.Zones)], false)
	}
	r.users.startLoad(ctx)
	if s.ChangesPerS > 0 {
		r.users.wg.Go(func() { r.operator.applyChanges(ctx, s.ChangesPerS) })
	}
	if r.storm != nil {
		r.users.wg.Go(func() { r.storm.prepare(ctx) })
	}
	if err := r.waitWithProgress(ctx, "warming up", seconds(s.WarmUpS)); err != nil {
		return nil, fmt.Errorf("ended early: %w", err)
	}
	if r.storm != nil {
		r.users.wg.Go(func() { r.storm.ask(ctx, s.QuestionsPerS) })
	}
	res, err := r.measure(ctx)
	cancel()
	r.users.wg.Wait()
	if err != nil {
		return nil, err
	}
	<-checked
	r.checkEventsBefore(time.Now().Add(time.Hour))
	r.addTotals(res)
	if r.storm != nil {
		res.Storm = &r.storm.result
	}
	return res, nil
}

// startServices writes the controllers' files and serves the state service, the cloud, the
// connections between controllers and the job descriptions.
func (r *Run) startServices(programs Programs, dir string) error {
	s := &r.settings
	for i := range s.Controllers {
		r.controllers = append(r.controllers, &controller{
			index: i, at: r.at, name: fmt.Sprintf("controller-%d", i), zone: s.Zones[i%len(s.Zones)], binary: programs.forController(i, s.Controllers), logFile: r.processLog, processes: &r.processes,
		})
	}
	r.cloud = simulator.NewCloud([]simulator.MachineType{r.newMachineType()}, s.Workers, r.workerAddress, r.startWorker)
	r.cloud.SetBootFactor(func(n int) float64 {
		if n <= s.Workers {
			return (initialBootS + float64(n)/initialBootsPerS) / bootS
		}
		return 1
	})
	if r.storm != nil {
		if err := r.storm.writeKey(dir); err != nil {
			return err
		}
	}
	for _, c := range r.controllers {
		extra := ""
		if r.storm != nil {
			var err error
			if extra, err = r.storm.settings(dir, c.index); err != nil {
				return err
			}
		}
		if err := c.writeFiles(dir, c.platformConfig(s, r.controllers, r.teams), extra); err != nil {
			return err
		}
		zone := func() string { return c.zone }
		if err := r.listen(r.at.state(c.index), zone, r.messages.middleware("state", r.state), &r.traffic.state); err != nil {
			return err
		}
		if err := r.listen(r.at.cloud(c.index), zone, r.messages.middleware("cloud", r.cloud), &r.traffic.cloud); err != nil {
			return err
		}
		for _, o := range r.controllers {
			if o == c {
				continue
			}
			in, err := r.network.Listen(r.at.peer(c.index, o.index), c.zone, zone, &TrafficCounter{})
			if err != nil {
				return err
			}
			r.listeners = append(r.listeners, in)
			go r.network.Forward(in, c.zone, o.zone, r.at.cluster(o.index), &r.traffic.peers)
		}
	}
	r.operator = newOperator(r, r.controllers[0].platformConfig(s, r.controllers, r.teams))
	regional := func() string { return "" }
	if err := r.listen(r.at.state(operatorIndex), regional, r.messages.middleware("operator", r.state), &TrafficCounter{}); err != nil {
		return err
	}
	return r.listen(r.at.descriptions(), regional, r.users, &TrafficCounter{})
}

// listen serves a handler that has no zone, to clients in remoteZone.
func (r *Run) listen(address string, remoteZone func() string, h http.Handler, t *TrafficCounter) error {
	l, err := r.network.Listen(address, "", remoteZone, t)
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, l)
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return nil
}

// closeListeners closes the listeners of all services.
func (r *Run) closeListeners() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
}

// workerAddress returns the address of the nth worker, which is in a zone.
func (r *Run) workerAddress(n int, zone string) string {
	for i, z := range r.settings.Zones {
		if z == zone {
			return r.at.worker(i, n)
		}
	}
	return r.at.worker(0, n)
}

// startProcesses starts the controllers and the worker hosts.
func (r *Run) startProcesses(ctx context.Context) error {
	s := &r.settings
	cfg := HostConfig{Settings: *s, Descriptions: r.at.descriptions(), Type: r.newMachineType()}
	for _, c := range r.controllers {
		cfg.Controllers = append(cfg.Controllers, ControllerInfo{Name: c.name, Zone: c.zone, Address: r.at.controller(c.index)})
		if err := c.start(ctx); err != nil {
			return err
		}
		if s.ControllerCPU > 0 {
			r.processes.Go(func() { c.throttle(ctx, s.ControllerCPU) })
		}
	}
	for i := range s.RealWorkers + s.hollowProcesses() {
		cfg.Number = i
		realWorker, capacity := i < s.RealWorkers, s.PerProcess
		if realWorker {
			capacity = 1
		}
		h, err := startHost(ctx, &r.processes, r.processLog, cfg, realWorker, capacity, r.handleEvent)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	return nil
}

// startWorker starts a worker in the first host process with a free slot. The hosts of real workers
// come first. It returns nil if there is no slot.
func (r *Run) startWorker(m simulator.MachineInfo, at string, _ *simulator.MachineType) simulator.MachineProcess {
	for _, h := range r.hosts {
		if h.reserve() {
			h.send(Command{Kind: CommandStart, Place: m, Address: at})
			return &remoteWorker{host: h, machine: m}
		}
	}
	return nil
}

// recordNow adds an event at the current time to the timeline of checked events.
func (r *Run) recordNow(apply func()) { r.timeline.add(time.Now(), apply) }

// handleEvent handles an event of a worker host process.
func (r *Run) handleEvent(h *hostProcess, e Event) {
	at := time.Unix(0, e.AtNS)
	task := simulator.TaskOnMachine{Task: e.Task, Attempt: e.Attempt, Cause: e.Cause, Host: e.Place}
	if e.Task != "" {
		job, _, _ := strings.Cut(e.Task, "/")
		task.Spec = r.users.job(job)
	}
	switch e.Kind {
	case EventTraffic:
		h.mu.Lock()
		h.traffic = *e.Traffic
		h.mu.Unlock()
	case EventStarted:
		r.users.taskStarted(e.Task, at)
		r.mu.Lock()
		r.runningTasks++
		r.taskStarts++
		if r.firstStartUnderLeader.IsZero() && at.After(r.leaderSince) {
			r.firstStartUnderLeader = at
		}
		r.mu.Unlock()
		r.timeline.add(at, func() { r.checker.TaskStarted(task) })
	case EventLeft:
		r.mu.Lock()
		r.runningTasks--
		if e.Cause == "halted" {
			r.tasksStopped++
		}
		r.mu.Unlock()
		r.timeline.add(at, func() { r.checker.TaskLeft(task) })
	case EventDone:
		r.timeline.add(at, func() { r.checker.TaskDone(e.Task, task.Spec) })
	case EventOrdered:
		r.timeline.add(at, func() { r.checker.StartExecuted(e.Task) })
	case EventForgottenStart:
		r.timeline.add(at, func() { r.checker.ForgottenStart(task, e.Executed) })
	case EventExpired:
		if e.Tasks > 0 {
			r.mu.Lock()
			r.leasesLost++
			r.mu.Unlock()
		}
	}
}

// checkEvents passes events to the checker in the order of their times, reorderDelay after they
// happened, until ctx ends.
func (r *Run) checkEvents(ctx context.Context) {
	for wait.For(ctx, 100*time.Millisecond) {
		r.checkEventsBefore(time.Now().Add(-reorderDelay))
	}
}

// checkEventsBefore passes all remaining events before a time to the checker.
func (r *Run) checkEventsBefore(before time.Time) {
	r.timeline.drain(before, func(t time.Time) { r.checker.Now = func() time.Time { return t } })
}
