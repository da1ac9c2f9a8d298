package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
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
	lastStart  time.Time
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
	go r.judge(ctx)
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
	r.timeline.drain(time.Now().Add(time.Hour), func(t time.Time) { r.rules.Now = func() time.Time { return t } })
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
		if err := c.writeFiles(dir, s, r.controllers, r.teams); err != nil {
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
	r.operator = newOperator(r)
	regional := func() string { return "" }
	if err := r.listen(stateAddress(operatorNumber), regional, r.counts.count("operator", r.state), &Traffic{}); err != nil {
		return err
	}
	return r.listen(descriptionsAddress, func() string { return "" }, r.users, &Traffic{})
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
		r.lastStart = at
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
	now := func(t time.Time) { r.rules.Now = func() time.Time { return t } }
	for wait.For(ctx, 100*time.Millisecond) {
		r.timeline.drain(time.Now().Add(-settleFor), now)
	}
}

// healthy is the address of a controller that users are sent to, "" if there is none.
func (r *Run) healthy() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.up) == 0 {
		return ""
	}
	return r.up[r.random.IntN(len(r.up))]
}

const (
	probeEvery  = time.Second
	leaderEvery = 20 * time.Millisecond
)

// follow probes the controllers' health, as a load balancer does, and looks who leads.
func (r *Run) follow(ctx context.Context) {
	client := &http.Client{Timeout: probeEvery}
	go func() {
		for wait.For(ctx, probeEvery/2) {
			var up []string
			for _, c := range r.controllers {
				if resp, err := client.Get("http://" + controllerAddress(c.number) + wire.HealthPath); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						up = append(up, controllerAddress(c.number))
					}
				}
			}
			r.mu.Lock()
			r.up = up
			r.mu.Unlock()
		}
	}()
	for wait.For(ctx, leaderEvery) {
		r.lookForLeader()
	}
}

func (r *Run) lookForLeader() {
	var l wire.Leader
	if e, ok := r.state.Get("c/leader"); !ok || wire.Unmarshal(e.Value, &l) != nil {
		l.Node = ""
	}
	r.mu.Lock()
	changed := l.Node != r.leader
	if changed {
		r.leader = l.Node
		if l.Node != "" {
			r.leaderAt, r.firstStart = time.Now(), time.Time{}
		}
	}
	r.mu.Unlock()
	if !changed || l.Node == "" {
		return
	}
	for _, c := range r.controllers {
		if c.name == l.Node {
			r.tellHosts(Command{Kind: CommandLeader, Zone: c.zone})
		}
	}
}

func (r *Run) tellHosts(c Command) {
	for _, h := range r.hosts {
		h.do(c)
	}
}

// progress waits and says how the run stands; false if it ends early.
func (r *Run) progress(ctx context.Context, what string, d time.Duration) bool {
	const every = 10 * time.Second
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !wait.For(ctx, min(every, time.Until(end))) {
			return false
		}
		r.mu.Lock()
		workers := 0
		for _, h := range r.hosts {
			workers += h.spent.Workers
		}
		fmt.Fprintf(r.log, "%s: %d workers, %d tasks running, %d started, leader %q, healthy %d, %.0f MB\n",
			what, workers, r.running, r.starts, r.leader, len(r.up), r.peakMB)
		r.mu.Unlock()
		if err := r.checkMemory(); err != nil {
			fmt.Fprintln(r.log, err)
			return false
		}
	}
	return true
}

var errMemory = errors.New("all processes together hold more than half of the machine's memory")

// checkMemory fails if all processes together hold too much.
func (r *Run) checkMemory() error {
	total := residentMB(self)
	for _, h := range r.hosts {
		total += residentMB(h.pid)
	}
	for _, c := range r.controllers {
		if pid := c.running(); pid != 0 {
			total += residentMB(pid)
		}
	}
	r.mu.Lock()
	r.peakMB = max(r.peakMB, total)
	r.mu.Unlock()
	if total > machineMemoryMB()/2 {
		return errMemory
	}
	return nil
}

// spent adds up what all workers have sent and received so far.
func (r *Run) spent() Spent {
	var sum Spent
	for _, h := range r.hosts {
		h.mu.Lock()
		s := h.spent
		h.mu.Unlock()
		sum.Workers += s.Workers
		sum.Reports += s.Reports
		sum.ReportsSent += s.ReportsSent
		sum.ReportsReceived += s.ReportsReceived
		sum.Commands += s.Commands
		sum.CommandsSent += s.CommandsSent
		sum.CommandsGot += s.CommandsGot
	}
	return sum
}

func (t *Traffic) bytes() Bytes { return Bytes{Sent: t.Sent.Load(), Received: t.Received.Load()} }

func (b Bytes) minus(o Bytes) Bytes { return Bytes{b.Sent - o.Sent, b.Received - o.Received} }

// snapshot is how the counters stand.
type snapshot struct {
	at                  time.Time
	spent               Spent
	counts              map[string]Count
	changes             map[string]int64
	peers, state, cloud Bytes
	starts, stopped     int
	lapsed              int
}

func (r *Run) snapshot() snapshot {
	n := snapshot{at: time.Now(), spent: r.spent(), peers: r.traffic.peers.bytes(), state: r.traffic.state.bytes(), cloud: r.traffic.cloud.bytes()}
	n.counts, n.changes = r.counts.copy()
	r.mu.Lock()
	n.starts, n.stopped, n.lapsed = r.starts, r.stopped, r.lapsed
	r.mu.Unlock()
	return n
}

const sampleEvery = 2 * time.Second

// measure measures the processes while the load goes on and troubles come.
func (r *Run) measure(ctx context.Context) (*Result, error) {
	s := &r.settings
	res := &Result{Settings: *s, Date: time.Now().UTC().Format(time.RFC3339), Cores: runtime.NumCPU(), Processes: s.processes() + 1}
	r.users.submission, r.users.started = newLatencies(), newLatencies()
	r.users.mu.Lock()
	r.users.late = 0
	r.users.mu.Unlock()
	r.mu.Lock()
	r.operator.forced, r.operator.made, r.operator.failed, r.operator.byTime = newLatencies(), 0, 0, 0
	r.mu.Unlock()
	before := r.snapshot()
	samples := newSampler()
	troubles := make(chan []TroubleSeen, 1)
	go func() { troubles <- r.cause(ctx) }()
	running, n := 0, 0
	said := time.Now()
	for end := time.Now().Add(seconds(s.MeasureS)); time.Now().Before(end); {
		r.sample(samples)
		r.mu.Lock()
		running, n = running+r.running, n+1
		r.mu.Unlock()
		if !wait.For(ctx, sampleEvery) {
			return nil, fmt.Errorf("ended early: %w", context.Cause(ctx))
		}
		if time.Since(said) >= 10*time.Second {
			said = time.Now()
			if !r.progress(ctx, "measuring", time.Millisecond) {
				return nil, errMemory
			}
		}
	}
	after := r.snapshot()
	res.Troubles = <-troubles
	r.difference(res, before, after)
	res.RunningTasks = float64(running) / float64(n)
	for _, k := range samples.procs {
		res.Usage = append(res.Usage, k.usage)
	}
	return res, nil
}

func (r *Run) sample(samples *sampler) {
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	for _, c := range r.controllers {
		role := RoleFollower
		if c.name == leader {
			role = RoleLeader
		}
		if pid := c.running(); pid != 0 {
			samples.sample(pid, role, c.name, 0)
		}
	}
	for _, h := range r.hosts {
		role := RoleHollow
		if h.real {
			role = RoleWorker
		}
		h.mu.Lock()
		workers := h.spent.Workers
		h.mu.Unlock()
		samples.sample(h.pid, role, fmt.Sprintf("workers-%d", h.number), workers)
	}
	samples.sample(self, RoleRun, "run", 0)
}

// difference is what was counted between two moments.
func (r *Run) difference(res *Result, a, b snapshot) {
	res.MeasuredS = b.at.Sub(a.at).Seconds()
	res.Workers = b.spent.Workers
	res.Starts, res.Stopped, res.LeasesLost = b.starts-a.starts, b.stopped-a.stopped, b.lapsed-a.lapsed
	res.StartsPerS = float64(res.Starts) / res.MeasuredS
	res.WorkersSpent = Spent{
		Workers: b.spent.Workers, Reports: b.spent.Reports - a.spent.Reports,
		ReportsSent: b.spent.ReportsSent - a.spent.ReportsSent, ReportsReceived: b.spent.ReportsReceived - a.spent.ReportsReceived,
		Commands: b.spent.Commands - a.spent.Commands, CommandsSent: b.spent.CommandsSent - a.spent.CommandsSent, CommandsGot: b.spent.CommandsGot - a.spent.CommandsGot,
	}
	res.Peers, res.State, res.Cloud = b.peers.minus(a.peers), b.state.minus(a.state), b.cloud.minus(a.cloud)
	res.Counts, res.Changes = map[string]Count{}, map[string]int64{}
	for k, v := range b.counts {
		o := a.counts[k]
		res.Counts[k] = Count{v.Requests - o.Requests, v.In - o.In, v.Out - o.Out}
	}
	for k, v := range b.changes {
		if v -= a.changes[k]; v > 0 {
			res.Changes[k] = v
		}
	}
}

// finish adds what is known once all is over.
func (r *Run) finish(res *Result) {
	u := r.users
	u.mu.Lock()
	defer u.mu.Unlock()
	res.JobsByClass = u.submitted
	for _, n := range u.submitted {
		res.JobsSubmitted += n
	}
	res.Failed, res.Asked, res.Unanswered, res.UrgentLate = u.failed, u.asked, u.unanswered, u.late
	res.Submission, res.Urgent = u.submission.result(), u.started.result()
	res.RulesBroken = r.rules.List()
	for _, c := range r.controllers {
		c.mu.Lock()
		res.EndedAlone += c.ended
		c.mu.Unlock()
	}
	res.Records, res.RecordBytes = r.state.Size()
	r.mu.Lock()
	o := r.operator
	res.Config, res.ConfigMade, res.ConfigFailed, res.ConfigByTime = o.forced.result(), o.made, o.failed, o.byTime
	res.PeakTotalMB = r.peakMB
	r.mu.Unlock()
}
