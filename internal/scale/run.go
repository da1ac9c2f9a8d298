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

// Run is one run: the stand-ins of the state service, of the cloud and of users, and the
// processes round them.
type Run struct {
	settings   Settings
	teams      []Team
	network    *Network
	state      *simulator.State
	cloud      *simulator.Cloud
	rules      *simulator.Checker
	users      *users
	operator   *operator
	messages   *messageCounter
	timeline   timeline
	progress   io.Writer // progress
	processLog *os.File  // of the processes

	controllers []*controller
	hosts       []*hostProcess
	listeners   []io.Closer
	processes   sync.WaitGroup
	traffic     struct{ peers, state, cloud TrafficCounter }

	mu                    sync.Mutex
	healthyAddresses      []string // addresses of healthy controllers
	random                *rand.Rand
	leader                string
	leaderSince           time.Time // since when
	runningTasks          int
	taskStarts            int
	firstStartUnderLeader time.Time // after the last change of the leader
	tasksStopped          int
	leasesLost            int
	peakMB                float64
}

// The run's cloud has one type of machine, which takes so long to boot; those that are there
// at the beginning come up one after the other.
const (
	machineType      = "scale"
	bootS            = 20.0
	initialBootS     = 1.0
	initialBootsPerS = 300.0
)

// New returns a run that is not started.
func New(s Settings, progress io.Writer) *Run {
	r := &Run{settings: s, teams: makeTeams(&s), progress: progress, messages: newMessageCounter(), random: rand.New(rand.NewPCG(uint64(s.Seed), 4))}
	r.network = NewNetwork(&r.settings)
	r.state = simulator.NewState(s.StateTxnOps)
	r.users = newUsers(r)
	r.rules = simulator.NewChecker()
	r.rules.Log = func() *slog.Logger {
		return slog.New(slog.NewTextHandler(progress, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}
	r.rules.Job = r.users.job
	r.rules.CancelTimeout = seconds(s.CancelS)
	limits := map[string]simulator.Limit{}
	for _, t := range r.teams {
		limits[t.Name] = simulator.Limit{CPUs: t.CPUsMax}
	}
	r.rules.Limit = func(team string) simulator.Limit { return limits[team] }
	return r
}

func (r *Run) newMachineType() simulator.MachineType {
	return simulator.MachineType{
		Name: machineType, CPUs: r.settings.MachineCPUs, MemGB: 16 * r.settings.MachineCPUs, CacheGB: 100, FetchGBps: 1,
		Price: 1, SpotPrice: 0.5, BootS: bootS, Zones: r.settings.Zones,
	}
}

// Programs are the controllers' programs.
type Programs struct {
	Binary     string
	LastBinary string // of the last controller, another version; "" for the same
}

// of is the program of a controller.
func (p Programs) forController(i, controllers int) string {
	if p.LastBinary != "" && i == controllers-1 {
		return p.LastBinary
	}
	return p.Binary
}

// Do runs it: dir takes the processes' files.
func (r *Run) Execute(ctx context.Context, programs Programs, dir string) (*Result, error) {
	s := &r.settings
	limit := seconds(s.WarmUpS + s.MeasureS + 120)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer r.processes.Wait() // they end with ctx
	defer cancel()
	var err error
	if r.processLog, err = os.Create(filepath.Join(dir, "processes.log")); err != nil {
		return nil, err
	}
	defer r.processLog.Close()
	defer r.closeListeners()
	if err := r.startServices(programs, dir); err != nil {
		return nil, err
	}
	if err := r.startProcesses(ctx); err != nil {
		return nil, err
	}
	go r.watchControllers(ctx)
	judged := make(chan struct{})
	go func() {
		defer close(judged)
		r.checkEvents(ctx)
	}()
	for n := range s.Workers {
		r.cloud.StartUnrequested(machineType, s.Zones[n%len(s.Zones)], false)
	}
	r.users.startLoad(ctx)
	if s.ChangesPerS > 0 {
		r.users.wg.Go(func() { r.operator.applyChanges(ctx, s.ChangesPerS) })
	}
	if !r.waitWithProgress(ctx, "warming up", seconds(s.WarmUpS)) {
		return nil, fmt.Errorf("ended early: %w", context.Cause(ctx))
	}
	res, err := r.measure(ctx)
	cancel()
	r.users.wg.Wait()
	if err != nil {
		return nil, err
	}
	<-judged
	r.checkEventsBefore(time.Now().Add(time.Hour))
	r.addTotals(res)
	return res, nil
}

// serve listens for controllers and workers.
func (r *Run) startServices(programs Programs, dir string) error {
	s := &r.settings
	for i := range s.Controllers {
		r.controllers = append(r.controllers, &controller{
			index: i, name: fmt.Sprintf("controller-%d", i), zone: s.Zones[i%len(s.Zones)], binary: programs.forController(i, s.Controllers), logFile: r.processLog, processes: &r.processes,
		})
	}
	r.cloud = simulator.NewCloud([]simulator.MachineType{r.newMachineType()}, s.Workers, r.workerAddress, r.startWorker)
	r.cloud.SetBootFactor(func(n int) float64 {
		if n <= s.Workers {
			return (initialBootS + float64(n)/initialBootsPerS) / bootS
		}
		return 1
	})
	for _, c := range r.controllers {
		if err := c.writeFiles(dir, c.platformConfig(s, r.controllers, r.teams)); err != nil {
			return err
		}
		zone := func() string { return c.zone }
		if err := r.listen(stateAddress(c.index), zone, r.messages.middleware("state", r.state), &r.traffic.state); err != nil {
			return err
		}
		if err := r.listen(cloudAddress(c.index), zone, r.messages.middleware("cloud", r.cloud), &r.traffic.cloud); err != nil {
			return err
		}
		for _, o := range r.controllers {
			if o == c {
				continue
			}
			in, err := r.network.Listen(peerAddress(c.index, o.index), c.zone, zone, &TrafficCounter{})
			if err != nil {
				return err
			}
			r.listeners = append(r.listeners, in)
			go r.network.Forward(in, c.zone, o.zone, clusterAddress(o.index), &r.traffic.peers)
		}
	}
	r.operator = newOperator(r, r.controllers[0].platformConfig(s, r.controllers, r.teams))
	regional := func() string { return "" }
	if err := r.listen(stateAddress(operatorIndex), regional, r.messages.middleware("operator", r.state), &TrafficCounter{}); err != nil {
		return err
	}
	return r.listen(descriptionsAddress, regional, r.users, &TrafficCounter{})
}

// descriptionsAddress is where workers read jobs' descriptions.
const descriptionsAddress = "127.0.2.100:8000"

// listen serves a regional service.
func (r *Run) listen(address string, far func() string, h http.Handler, t *TrafficCounter) error {
	l, err := r.network.Listen(address, "", far, t)
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, l)
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (r *Run) closeListeners() {
	for _, l := range r.listeners {
		_ = l.Close()
	}
}

func (r *Run) workerAddress(n int, zone string) string {
	for i, z := range r.settings.Zones {
		if z == zone {
			return workerAddress(i, n)
		}
	}
	return workerAddress(0, n)
}

// startProcesses starts the controllers and the processes of workers.
func (r *Run) startProcesses(ctx context.Context) error {
	s := &r.settings
	cfg := HostConfig{Settings: *s, Descriptions: descriptionsAddress, Type: r.newMachineType()}
	for _, c := range r.controllers {
		cfg.Controllers = append(cfg.Controllers, ControllerInfo{Name: c.name, Zone: c.zone, Address: controllerAddress(c.index)})
		if err := c.start(ctx); err != nil {
			return err
		}
	}
	for i := range s.RealWorkers + s.hollowProcesses() {
		cfg.Number = i
		real, most := i < s.RealWorkers, s.PerProcess
		if real {
			most = 1
		}
		h, err := startHost(ctx, &r.processes, r.processLog, cfg, real, most, r.handleEvent)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	return nil
}

// startWorker starts a worker in the first process that takes it: real ones first.
func (r *Run) startWorker(m simulator.MachineInfo, at string, _ *simulator.MachineType) simulator.MachineProcess {
	for _, h := range r.hosts {
		if h.reserve() {
			h.send(Command{Kind: CommandStart, Place: m, Address: at})
			return &remoteWorker{host: h, machine: m}
		}
	}
	return nil
}

// happens notes that something happens now, which the rules are told in its turn.
func (r *Run) recordNow(do func()) { r.timeline.add(time.Now(), do) }

// told takes what a process of workers tells.
func (r *Run) handleEvent(h *hostProcess, e Event) {
	at := time.Unix(0, e.AtNS)
	on := simulator.TaskOnMachine{Task: e.Task, Attempt: e.Attempt, Cause: e.Cause, Host: e.Place}
	if e.Task != "" {
		job, _, _ := strings.Cut(e.Task, "/")
		on.Spec = r.users.job(job)
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
		r.timeline.add(at, func() { r.rules.TaskStarted(on) })
	case EventLeft:
		r.mu.Lock()
		r.runningTasks--
		if e.Cause == "halted" {
			r.tasksStopped++
		}
		r.mu.Unlock()
		r.timeline.add(at, func() { r.rules.TaskLeft(on) })
	case EventDone:
		r.timeline.add(at, func() { r.rules.TaskDone(e.Task, on.Spec) })
	case EventOrdered:
		r.timeline.add(at, func() { r.rules.StartExecuted(e.Task) })
	case EventExpired:
		if e.Tasks > 0 {
			r.mu.Lock()
			r.leasesLost++
			r.mu.Unlock()
		}
	}
}

// judge has the rules told what happened, in its order.
func (r *Run) checkEvents(ctx context.Context) {
	for wait.For(ctx, 100*time.Millisecond) {
		r.checkEventsBefore(time.Now().Add(-reorderDelay))
	}
}

func (r *Run) checkEventsBefore(before time.Time) {
	r.timeline.drain(before, func(t time.Time) { r.rules.Now = func() time.Time { return t } })
}
