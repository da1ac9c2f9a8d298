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
	settings Settings
	teams    []Team
	links    *Links
	state    *simulator.State
	cloud    *simulator.Cloud
	rules    *simulator.Rules
	users    *users
	operator *operator
	counts   *counts
	timeline timeline
	log      io.Writer // progress
	logs     *os.File  // of the processes

	controllers []*controller
	hosts       []*hostProcess
	listeners   []io.Closer
	processes   sync.WaitGroup
	traffic     struct{ peers, state, cloud Traffic }

	mu         sync.Mutex
	up         []string // addresses of healthy controllers
	random     *rand.Rand
	leader     string
	leaderAt   time.Time // since when
	running    int
	starts     int
	firstStart time.Time // after the last change of the leader
	stopped    int
	lapsed     int
	peakMB     float64
}

// The run's cloud has one type of machine, which takes so long to boot; those that are there
// at the beginning come up one after the other.
const (
	machineType    = "scale"
	bootS          = 20.0
	firstBootS     = 1.0
	firstBootsPerS = 300.0
)

// New returns a run that is not started.
func New(s Settings, progress io.Writer) *Run {
	r := &Run{settings: s, teams: makeTeams(&s), log: progress, counts: newCounts(), random: rand.New(rand.NewPCG(uint64(s.Seed), 4))}
	r.links = NewLinks(&r.settings)
	r.state = simulator.NewState(s.StateTxnOps)
	r.users = newUsers(r)
	r.rules = simulator.NewRules()
	r.rules.Log = func() *slog.Logger {
		return slog.New(slog.NewTextHandler(progress, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}
	r.rules.Job = r.users.job
	r.rules.CancelIn = seconds(s.CancelS)
	limits := map[string]simulator.Limit{}
	for _, t := range r.teams {
		limits[t.Name] = simulator.Limit{CPUs: t.CPUsMax}
	}
	r.rules.Limit = func(team string) simulator.Limit { return limits[team] }
	return r
}

func (r *Run) machine() simulator.MachineType {
	return simulator.MachineType{
		Name: machineType, CPUs: r.settings.MachineCPUs, MemGB: 16 * r.settings.MachineCPUs, CacheGB: 100, FetchGBps: 1,
		Price: 1, SpotPrice: 0.5, BootS: bootS, Zones: r.settings.Zones,
	}
}

// Programs are the controllers' programs.
type Programs struct {
	Binary string
	Last   string // of the last controller, another version; "" for the same
}

// of is the program of a controller.
func (p Programs) of(i, controllers int) string {
	if p.Last != "" && i == controllers-1 {
		return p.Last
	}
	return p.Binary
}

// Do runs it: dir takes the processes' files.
func (r *Run) Do(ctx context.Context, programs Programs, dir string) (*Result, error) {
	s := &r.settings
	limit := seconds(s.WarmUpS + s.MeasureS + 120)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer r.processes.Wait() // they end with ctx
	defer cancel()
	var err error
	if r.logs, err = os.Create(filepath.Join(dir, "processes.log")); err != nil {
		return nil, err
	}
	defer r.logs.Close()
	defer r.closeAll()
	if err := r.serve(programs, dir); err != nil {
		return nil, err
	}
	if err := r.startProcesses(ctx); err != nil {
		return nil, err
	}
	go r.follow(ctx)
	judged := make(chan struct{})
	go func() {
		defer close(judged)
		r.judge(ctx)
	}()
	for n := range s.Workers {
		r.cloud.Boot(machineType, s.Zones[n%len(s.Zones)], false)
	}
	r.users.load(ctx)
	if s.ChangesPerS > 0 {
		r.users.group.Go(func() { r.operator.change(ctx, s.ChangesPerS) })
	}
	if !r.progress(ctx, "warming up", seconds(s.WarmUpS)) {
		return nil, fmt.Errorf("ended early: %w", context.Cause(ctx))
	}
	res, err := r.measure(ctx)
	cancel()
	r.users.group.Wait()
	if err != nil {
		return nil, err
	}
	<-judged
	r.judgeUntil(time.Now().Add(time.Hour))
	r.finish(res)
	return res, nil
}

// serve listens for controllers and workers.
func (r *Run) serve(programs Programs, dir string) error {
	s := &r.settings
	for i := range s.Controllers {
		r.controllers = append(r.controllers, &controller{
			number: i, name: fmt.Sprintf("controller-%d", i), zone: s.Zones[i%len(s.Zones)], binary: programs.of(i, s.Controllers), log: r.logs, group: &r.processes,
		})
	}
	r.cloud = simulator.NewCloud([]simulator.MachineType{r.machine()}, s.Workers, r.workerAddress, r.startWorker)
	r.cloud.Boots(func(n int) float64 {
		if n <= s.Workers {
			return (firstBootS + float64(n)/firstBootsPerS) / bootS
		}
		return 1
	})
	for _, c := range r.controllers {
		if err := c.writeFiles(dir, c.platformFile(s, r.controllers, r.teams)); err != nil {
			return err
		}
		zone := func() string { return c.zone }
		if err := r.listen(stateAddress(c.number), zone, r.counts.count("state", r.state), &r.traffic.state); err != nil {
			return err
		}
		if err := r.listen(cloudAddress(c.number), zone, r.counts.count("cloud", r.cloud), &r.traffic.cloud); err != nil {
			return err
		}
		for _, o := range r.controllers {
			if o == c {
				continue
			}
			in, err := r.links.Listen(peerAddress(c.number, o.number), c.zone, zone, &Traffic{})
			if err != nil {
				return err
			}
			r.listeners = append(r.listeners, in)
			go r.links.Forward(in, c.zone, o.zone, clusterAddress(o.number), &r.traffic.peers)
		}
	}
	r.operator = newOperator(r, r.controllers[0].platformFile(s, r.controllers, r.teams))
	regional := func() string { return "" }
	if err := r.listen(stateAddress(operatorNumber), regional, r.counts.count("operator", r.state), &Traffic{}); err != nil {
		return err
	}
	return r.listen(descriptionsAddress, regional, r.users, &Traffic{})
}

// descriptionsAddress is where workers read jobs' descriptions.
const descriptionsAddress = "127.0.2.100:8000"

// listen serves a regional service.
func (r *Run) listen(address string, far func() string, h http.Handler, t *Traffic) error {
	l, err := r.links.Listen(address, "", far, t)
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, l)
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (r *Run) closeAll() {
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
	cfg := HostConfig{Settings: *s, Descriptions: descriptionsAddress, Type: r.machine()}
	for _, c := range r.controllers {
		cfg.Controllers = append(cfg.Controllers, ControllerAt{Name: c.name, Zone: c.zone, Address: controllerAddress(c.number)})
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
		h, err := startHost(ctx, &r.processes, r.logs, cfg, real, most, r.told)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	return nil
}

// startWorker starts a worker in the first process that takes it: real ones first.
func (r *Run) startWorker(m simulator.Place, at string, _ *simulator.MachineType) simulator.Running {
	for _, h := range r.hosts {
		if h.takes() {
			h.do(Command{Kind: CommandStart, Place: m, Address: at})
			return &remoteWorker{host: h, at: m}
		}
	}
	return nil
}

// happens notes that something happens now, which the rules are told in its turn.
func (r *Run) happens(do func()) { r.timeline.add(time.Now(), do) }

// told takes what a process of workers tells.
func (r *Run) told(h *hostProcess, e Event) {
	at := time.Unix(0, e.AtNS)
	on := simulator.TaskOn{Task: e.Task, Attempt: e.Attempt, Why: e.Why, At: e.Place}
	if e.Task != "" {
		job, _, _ := strings.Cut(e.Task, "/")
		on.Of = r.users.job(job)
	}
	switch e.Kind {
	case EventTraffic:
		h.mu.Lock()
		h.spent = *e.Spent
		h.mu.Unlock()
	case EventStarted:
		r.users.began(e.Task, at)
		r.mu.Lock()
		r.running++
		r.starts++
		if r.firstStart.IsZero() && at.After(r.leaderAt) {
			r.firstStart = at
		}
		r.mu.Unlock()
		r.timeline.add(at, func() { r.rules.Started(on) })
	case EventLeft:
		r.mu.Lock()
		r.running--
		if e.Why == "halted" {
			r.stopped++
		}
		r.mu.Unlock()
		r.timeline.add(at, func() { r.rules.Left(on) })
	case EventDone:
		r.timeline.add(at, func() { r.rules.Done(e.Task, on.Of) })
	case EventOrdered:
		r.timeline.add(at, func() { r.rules.Ordered(e.Task) })
	case EventExpired:
		if e.Tasks > 0 {
			r.mu.Lock()
			r.lapsed++
			r.mu.Unlock()
		}
	}
}

// judge has the rules told what happened, in its order.
func (r *Run) judge(ctx context.Context) {
	for wait.For(ctx, 100*time.Millisecond) {
		r.judgeUntil(time.Now().Add(-settleFor))
	}
}

func (r *Run) judgeUntil(before time.Time) {
	r.timeline.drain(before, func(t time.Time) { r.rules.Now = func() time.Time { return t } })
}
