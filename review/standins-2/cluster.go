//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// recorder writes record.txt: one line for each thing that was sent, answered or run, with the
// seconds since the start.
type recorder struct {
	mu      sync.Mutex
	f       *os.File
	started time.Time
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &recorder{f: f, started: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.2f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(line)
	fmt.Print(line)
}

// site is what a case takes of a site file.
type site struct {
	zones                    []string
	teams                    []map[string]any
	objectives               []map[string]any
	reportS, leaseS, cancelS float64
	stateRPS, stateWriteRPS  float64
	stateValueKB             float64
	stateTxnOps              int
	cloudRPS, listLagS       float64
	cpu, memMB               float64
	connections              int
	skewMS                   float64
	restart                  time.Duration
	types                    []simulator.MachineType
	capacity                 int
}

// rila is kit/sites/rila-forecast-coop.toml.
func rila() site {
	zones := []string{"plovdiv-hall", "rented-north", "varna-annex"}
	return site{
		zones: zones,
		teams: []map[string]any{
			{"name": "agro-desk", "cpus": 136.0, "cpus_max": 336.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "marine-desk", "cpus": 48.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "climate-archive", "cpus": 136.0, "cpus_max": 504.0, "gpus": 0.0, "gpus_max": 0.0},
		},
		objectives: []map[string]any{{"kind": "deadline", "class": "ensemble-runs", "share": 0.97, "times": 1.0}, {"kind": "wait", "class": "chart-server", "within_s": 2.0, "share": 0.94}},
		reportS:    3, leaseS: 22, cancelS: 42, stateRPS: 250, stateWriteRPS: 100, stateValueKB: 16, stateTxnOps: 12, cloudRPS: 4, listLagS: 10,
		cpu: 0.12, memMB: 179, connections: 2000, skewMS: 25, restart: 8 * time.Second, capacity: 32,
		types: []simulator.MachineType{
			{Name: "wren", CPUs: 4, MemGB: 16, CacheGB: 40, FetchGBps: 0.3, Price: 0.17, SpotPrice: 0.07, BootS: 35, Zones: zones},
			{Name: "kestrel", CPUs: 16, MemGB: 32, CacheGB: 35, FetchGBps: 0.6, Price: 0.72, SpotPrice: 0.26, BootS: 30, Zones: zones},
			{Name: "eagle", CPUs: 32, MemGB: 128, CacheGB: 35, FetchGBps: 1, Price: 1.55, SpotPrice: 0.6, BootS: 20, Zones: zones},
		},
	}
}

// tolling is kit/sites/desert-highway-tolling.toml.
func tolling() site {
	zones := []string{"amman-core", "aqaba-plaza", "zarqa-backup"}
	return site{
		zones:      zones,
		teams:      []map[string]any{{"name": "revenue-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
		objectives: []map[string]any{{"kind": "wait", "class": "plate-reader", "within_s": 1.0, "share": 0.9}},
		reportS:    3, leaseS: 16, cancelS: 46, stateRPS: 150, stateWriteRPS: 25, stateValueKB: 4, stateTxnOps: 12, cloudRPS: 2, listLagS: 4,
		cpu: 0.24, memMB: 179, connections: 1800, skewMS: 250, restart: 3 * time.Second, capacity: 48,
		types: []simulator.MachineType{{Name: "falcon", CPUs: 32, MemGB: 256, CacheGB: 70, FetchGBps: 1, Price: 2.12, SpotPrice: 0.55, BootS: 25, Zones: zones}},
	}
}

// verdict is what a stand-in for the network does with a request to the state service.
type verdict struct {
	refuse     bool          // answered 503, not executed
	late       time.Duration // no answer; executed after this time
	answerLost bool          // executed at once, no answer
}

// cluster is a small deployment: the project's controllers as processes, and stand-ins for the rest.
type cluster struct {
	site        site
	dir         string // temporary
	rec         *recorder
	ctx         context.Context
	cancel      context.CancelFunc
	state       *simulator.State
	cloud       *simulator.Cloud
	controllers []*controller
	// onState decides what happens to a request of a controller to the state service; nil: it passes.
	onState    func(node int, r *http.Request, body []byte) verdict
	mu         sync.Mutex
	specs      map[string]*simulator.Spec
	agentToken string
	onTask     func(what string, t simulator.TaskOnMachine)
	tasks      map[string]simulator.TaskOnMachine // on machines now, by task, attempt and machine
}

type controller struct {
	c        *cluster
	index    int
	member   string
	listen   string
	nomad    string
	platform string
	settings string
	args     []string
	cmd      *exec.Cmd
	done     chan struct{}
	killed   bool
}

// freeAddress returns a free loopback address for a process that may be restarted: its port is below
// those that outgoing connections get.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic("no free port")
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// runCommand returns the start command of the deploy file.
func runCommand() ([]string, error) {
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(v, `" `)), nil
		}
	}
	return nil, errors.New("deploy/service.toml names no run command")
}

// newCluster starts the stand-ins. The controllers are started by start.
func newCluster(s site, rec *recorder) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{site: s, dir: dir, rec: rec, ctx: ctx, cancel: cancel, specs: map[string]*simulator.Spec{}, tasks: map[string]simulator.TaskOnMachine{}}
	c.state = simulator.NewState(s.stateTxnOps)
	c.state.LimitRates(s.stateRPS, s.stateWriteRPS)
	c.state.LimitSizes(int(s.stateValueKB*1024), s.stateTxnOps)
	c.cloud = simulator.NewCloud(s.types, s.capacity, func(int, string) string { return freeAddress() },
		func(m simulator.MachineInfo, at string, t *simulator.MachineType) simulator.MachineProcess {
			if ctx.Err() != nil {
				return nil
			}
			rec.log("machine %s is up (%s, %s)", m.Machine, m.Type, m.Zone)
			return simulator.StartWorker(environment{c}, at, m, t)
		})
	// Machines are up within two seconds, as the page on the catalog has it ("at times"), and the
	// cloud has only machines of the last type to give.
	last := s.types[len(s.types)-1]
	c.cloud.SetBootFactor(func(int) float64 { return 2 / last.BootS })
	cloudAddress, err := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.MachinesPath && r.Method == http.MethodPost {
			b, _ := io.ReadAll(r.Body)
			var q wire.RentRequest
			if wire.Unmarshal(b, &q) == nil && q.Type != last.Name {
				w.WriteHeader(http.StatusServiceUnavailable)
				out, _ := wire.Marshal(map[string]string{"error": "no capacity"})
				_, _ = w.Write(out)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(b))
		}
		c.cloud.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, err
	}
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	n := 3
	var members, listens, clusters []string
	for i := range n {
		members, listens, clusters = append(members, fmt.Sprintf("stallhost-%d", i)), append(listens, freeAddress()), append(clusters, freeAddress())
	}
	for i := range n {
		stateAddress, err := serve(c.stateHandler(i))
		if err != nil {
			return nil, err
		}
		known := []map[string]any{}
		for j := range n {
			if j != i {
				known = append(known, map[string]any{"member": members[j], "area": s.zones[j%len(s.zones)], "endpoint": clusters[j]})
			}
		}
		p := map[string]any{
			"member": members[i], "area": s.zones[i%len(s.zones)], "listen": listens[i], "cluster_listen": clusters[i], "known": known,
			"services": map[string]any{"cloud": cloudAddress, "state": stateAddress},
			"params": map[string]any{
				"initial_size": n, "zones": s.zones, "teams": s.teams, "objectives": s.objectives,
				"workers": map[string]any{"report_s": s.reportS, "lease_s": s.leaseS, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": s.cancelS},
				"state":   map[string]any{"rps": s.stateRPS, "write_rps": s.stateWriteRPS, "value_kb": s.stateValueKB, "txn_ops": s.stateTxnOps},
				"cloud":   map[string]any{"rps": s.cloudRPS, "list_lag_s": s.listLagS},
				"limits":  map[string]any{"cpu": s.cpu, "mem_mb": s.memMB, "max_connections": s.connections},
				"skew_ms": s.skewMS,
			},
		}
		b, err := json.MarshalIndent(p, "", " ")
		if err != nil {
			return nil, err
		}
		path := filepath.Join(dir, members[i]+".json")
		if err := os.WriteFile(path, b, 0o600); err != nil {
			return nil, err
		}
		c.controllers = append(c.controllers, &controller{c: c, index: i, member: members[i], listen: listens[i], nomad: freeAddress(), platform: path, args: command})
	}
	return c, nil
}

// writeSettings writes a controller's settings file; "NOMAD" in the text stands for the address of
// its listener for job files.
func (k *controller) writeSettings(text string) error {
	k.settings = filepath.Join(k.c.dir, k.member+".sexp")
	return os.WriteFile(k.settings, []byte(strings.ReplaceAll(text, "NOMAD", k.nomad)), 0o600)
}

// start starts the controller's process with the command of the deploy file.
func (k *controller) start() error {
	args := append(append([]string{}, k.args[1:]...), k.platform)
	if k.settings != "" {
		args = append(args, "--settings", k.settings)
	}
	k.cmd = exec.Command(k.args[0], args...)
	f, err := os.OpenFile(filepath.Join(k.c.dir, k.member+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	k.cmd.Stderr, k.cmd.Stdout = f, f
	k.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	k.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startProcess(k.cmd); err != nil {
		return err
	}
	k.killed = false
	k.done = make(chan struct{})
	cmd, done := k.cmd, k.done
	go func() {
		_ = cmd.Wait()
		_ = f.Close()
		close(done)
	}()
	k.c.rec.log("%s started", k.member)
	return nil
}

// starters runs functions on one thread that lives as long as this program: a process that is
// started there ends when this program ends, however that happens (Pdeathsig is about the thread).
var starters = func() chan func() {
	out := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range out {
			f()
		}
	}()
	return out
}()

func startProcess(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	starters <- func() { result <- cmd.Start() }
	return <-result
}

// kill ends the process without a signal that it could handle.
func (k *controller) kill() {
	if k.cmd == nil {
		return
	}
	k.killed = true
	_ = k.cmd.Process.Signal(syscall.SIGKILL)
	<-k.done
	k.c.rec.log("%s killed", k.member)
}

func (k *controller) signal(s syscall.Signal) {
	_ = k.cmd.Process.Signal(s)
	k.c.rec.log("%s: %v", k.member, s)
}

// running reports whether the process runs.
func (k *controller) running() bool {
	select {
	case <-k.done:
		return false
	default:
		return true
	}
}

// stop ends everything that the cluster started.
func (c *cluster) stop() {
	for _, k := range c.controllers {
		if k.cmd != nil {
			_ = k.cmd.Process.Signal(syscall.SIGCONT)
			_ = k.cmd.Process.Signal(syscall.SIGKILL)
			<-k.done
		}
	}
	c.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// await waits until ok holds, and reports whether it did within the time.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// leader returns the controller that holds the leader's key, or nil.
func (c *cluster) leader() *controller {
	e, ok := c.state.Get(wire.LeaderKey)
	var l wire.LeaderRecord
	if !ok || wire.Unmarshal(e.Value, &l) != nil {
		return nil
	}
	for _, k := range c.controllers {
		if k.member == l.Node {
			return k
		}
	}
	return nil
}

// healthy reports whether a controller answers GET /up with 200.
func (k *controller) healthy() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + k.listen + wire.HealthPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stateHandler serves the state service to one controller, through the stand-in for the network.
func (c *cluster) stateHandler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var v verdict
		if c.onState != nil {
			v = c.onState(node, r, b)
		}
		execute := func() *httptest.ResponseRecorder {
			again := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(b))
			out := httptest.NewRecorder()
			c.state.ServeHTTP(out, again)
			return out
		}
		switch {
		case v.refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case v.late > 0:
			time.AfterFunc(v.late, func() {
				out := execute()
				c.rec.log("state service: the late transaction of stallhost-%d is carried out: %d", node, out.Code)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case v.answerLost:
			execute()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		c.state.ServeHTTP(w, r)
	})
}

// environment is what the workers need.
type environment struct{ c *cluster }

func (e environment) Context() context.Context { return e.c.ctx }
func (e environment) Logger() *slog.Logger     { return slog.New(slog.DiscardHandler) }
func (e environment) Freeze(string, bool)      {}
func (e environment) Job(id string) *simulator.Spec {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.c.specs[id]
}
func (e environment) JobFromFile(id string) *simulator.Spec { return e.c.describe(id) }
func (e environment) ServesJobFiles() bool                  { return e.c.agentToken != "" }
func (e environment) Observer() simulator.Observer          { return observer{e.c} }
func (e environment) Gangs() simulator.GangCoordinator      { return nil }
func (e environment) Client(string) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}}
}

func (e environment) Controllers() []simulator.Controller {
	var out []simulator.Controller
	for _, k := range e.c.controllers {
		out = append(out, simulator.Controller{Name: k.member, Address: k.listen})
	}
	return out
}

func (e environment) Timing() simulator.Timing {
	s := e.c.site
	return simulator.Timing{Lease: time.Duration(s.leaseS * float64(time.Second)), GangWait: 50 * time.Second,
		ReportInterval: func() time.Duration { return time.Duration(s.reportS * float64(time.Second)) }}
}

func (e environment) Serve(k *simulator.Worker) (stop func()) {
	l, err := net.Listen("tcp", k.Address())
	if err != nil {
		e.c.rec.log("machine %s can't listen: %v", k.Name(), err)
		return func() {}
	}
	srv := &http.Server{Handler: k, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return func() { _ = srv.Close() }
}

// observer records what workers do with tasks.
type observer struct{ c *cluster }

func (o observer) note(what string, t simulator.TaskOnMachine, on bool) {
	key := fmt.Sprint(t.Task, " ", t.Attempt, " ", t.Host.Machine)
	o.c.mu.Lock()
	if on {
		o.c.tasks[key] = t
	} else {
		delete(o.c.tasks, key)
	}
	f := o.c.onTask
	o.c.mu.Unlock()
	o.c.rec.log("machine %s: task %s, attempt %d: %s %s", t.Host.Machine, t.Task, t.Attempt, what, t.Cause)
	if f != nil {
		f(what, t)
	}
}

func (o observer) TaskStarted(t simulator.TaskOnMachine)   { o.note("starts", t, true) }
func (o observer) TaskLeft(t simulator.TaskOnMachine)      { o.note("leaves", t, false) }
func (o observer) TaskDone(task string, _ *simulator.Spec) { o.c.rec.log("task %s is done", task) }
func (o observer) StartExecuted(string)                    {}
func (o observer) LeaseExpired(m simulator.MachineInfo, _ uint64, _ []simulator.TaskOnMachine) {
	o.c.rec.log("machine %s: its lease is over", m.Machine)
}

// onMachines returns the tasks of a job that are on machines now.
func (c *cluster) onMachines(job string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, t := range c.tasks {
		if strings.HasPrefix(t.Task, job+"/") {
			out = append(out, t.Task+" on "+t.Host.Machine)
		}
	}
	return out
}

// submit submits a native job to a controller and returns the status, 0 without an answer.
func (c *cluster) submit(k *controller, s *simulator.Spec) int {
	c.mu.Lock()
	c.specs[s.ID] = s
	c.mu.Unlock()
	b, err := wire.Marshal(s)
	if err != nil {
		panic(err)
	}
	status, _ := c.call(http.MethodPost, "http://"+k.listen+wire.JobsPath, b, nil, 5*time.Second)
	return status
}

// call sends a request and returns the status and the body; the status is 0 without an answer.
func (c *cluster) call(method, url string, body []byte, header map[string]string, limit time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// startAll starts all controllers and waits until they are healthy and one leads.
func (c *cluster) startAll() error {
	for _, k := range c.controllers {
		if err := k.start(); err != nil {
			return err
		}
	}
	if !await(20*time.Second, func() bool {
		for _, k := range c.controllers {
			if !k.healthy() {
				return false
			}
		}
		return c.leader() != nil
	}) {
		return errors.New("the controllers are not healthy after 20 s")
	}
	c.rec.log("all controllers are healthy; %s leads", c.leader().member)
	return nil
}
