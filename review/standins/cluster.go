//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// stateLimits are the limits of the state service (PROTOCOL, "Limits and errors" and POST /commit).
type stateLimits struct {
	rps, writeRPS, valueKB float64
	txnOps                 int
}

// stateService wraps the project's stand-in for the state service: it adds the limits of sizes and
// rates, and ends leases within 50 ms.
type stateService struct {
	inner *simulator.State
	rec   *record

	mu               sync.Mutex
	limits           stateLimits
	requests, writes float64 // tokens left
	refilled         time.Time
	refused          map[string]int // transactions refused with 400, by reason and key prefix
}

func newStateService(l stateLimits, rec *record) *stateService {
	s := &stateService{inner: simulator.NewState(1 << 20), rec: rec, limits: l, requests: l.rps, writes: l.writeRPS, refilled: time.Now(), refused: map[string]int{}}
	return s
}

// expireLeases lets the wrapped stand-in end leases that are over.
func (s *stateService) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		s.inner.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, wire.KeysPath+"/none", nil))
	}
}

func (s *stateService) setLimits(l stateLimits) {
	s.mu.Lock()
	s.limits = l
	s.mu.Unlock()
}

// jsonSize returns the size of an encoded value in its JSON form: limits are counted in that form.
func jsonSize(b []byte) int {
	var v any
	if wire.Unmarshal(b, &v) != nil {
		return len(b)
	}
	j, err := json.Marshal(v)
	if err != nil {
		return len(b)
	}
	return len(j)
}

// allow takes a request and its writes from the rates.
func (s *stateService) allow(writes int) bool {
	now := time.Now()
	dt := now.Sub(s.refilled).Seconds()
	s.refilled = now
	s.requests = min(s.requests+dt*s.limits.rps, s.limits.rps)
	s.writes = min(s.writes+dt*s.limits.writeRPS, s.limits.writeRPS)
	if s.requests < 1 || s.writes < float64(writes) {
		return false
	}
	s.requests--
	s.writes -= float64(writes)
	return true
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	r.Body = http.NoBody
	if body.Len() > 0 {
		r.Body = struct {
			*bytes.Reader
			nopCloser
		}{bytes.NewReader(body.Bytes()), nopCloser{}}
	}
	var txn wire.Txn
	isCommit := r.URL.Path == wire.CommitPath
	if isCommit && wire.Unmarshal(body.Bytes(), &txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	l := s.limits
	allowed := s.allow(len(txn.Then))
	s.mu.Unlock()
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if isCommit {
		why := ""
		if len(txn.Then) > l.txnOps || len(txn.If) > 4*l.txnOps {
			why = fmt.Sprintf("%d changes, %d conditions", len(txn.Then), len(txn.If))
		} else if n := jsonSize(body.Bytes()); n > 64<<10 {
			why = fmt.Sprintf("%d bytes", n)
		}
		for _, op := range txn.Then {
			if n := jsonSize(op.Value); why == "" && float64(n) > l.valueKB*1024 {
				why = fmt.Sprintf("a value of %d bytes for key %s", n, op.Put)
			}
		}
		if why != "" {
			s.mu.Lock()
			s.refused[why]++
			n := s.refused[why]
			s.mu.Unlock()
			if n <= 2 || n%20 == 0 {
				s.rec.printf("state service: 400 to a transaction: %s (time %d)", why, n)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.inner.ServeHTTP(w, r)
}

type nopCloser struct{}

func (nopCloser) Close() error { return nil }

// laggingCloud wraps the project's stand-in for the cloud: the machine list is late.
type laggingCloud struct {
	inner *simulator.Cloud
	rec   *record
	lag   time.Duration

	mu    sync.Mutex
	lists []agedList
}

type agedList struct {
	at   time.Time
	body []byte
}

// keepLists notes the list from time to time.
func (c *laggingCloud) keepLists(ctx context.Context) {
	for ctx.Err() == nil {
		w := httptest.NewRecorder()
		c.inner.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.MachinesPath+"?limit=500", nil))
		c.mu.Lock()
		c.lists = append(c.lists, agedList{time.Now(), w.Body.Bytes()})
		for len(c.lists) > 1 && time.Since(c.lists[1].at) >= c.lag {
			c.lists = c.lists[1:]
		}
		c.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (c *laggingCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire.MachinesPath && r.Method == http.MethodGet && r.URL.Query().Get("since") == "" {
		c.mu.Lock()
		b := c.lists[0].body
		c.mu.Unlock()
		_, _ = w.Write(b)
		return
	}
	if r.Method == http.MethodPost {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		var rent wire.RentRequest
		var names wire.MachineNames
		if r.URL.Path == wire.MachinesPath && wire.Unmarshal(body.Bytes(), &rent) == nil {
			c.rec.printf("cloud: rental %s of %d %s in %s", rent.RequestID, rent.Count, rent.Type, rent.Zone)
		} else if wire.Unmarshal(body.Bytes(), &names) == nil {
			c.rec.printf("cloud: return of %v", names.Machines)
		}
		r.Body = struct {
			*bytes.Reader
			nopCloser
		}{bytes.NewReader(body.Bytes()), nopCloser{}}
	}
	c.inner.ServeHTTP(w, r)
}

// controller is a controller process.
type controller struct {
	name, zone, listen, cluster, platform, log string
	cmd                                        *exec.Cmd
}

// cluster is a small deployment: the controllers as processes, the rest as stand-ins.
type cluster struct {
	ctx         context.Context
	rec         *record
	dir         string
	binary      string
	settings    string // the operators' settings file, or ""
	params      config.Params
	state       *stateService
	cloud       *laggingCloud
	controllers []*controller
	client      *http.Client

	mu       sync.Mutex
	specs    map[string]*simulator.Spec
	started  map[string][]string // machines on which a task was started, by task
	done     map[string]bool     // by task
	running  map[string]bool     // by task
	workerUp map[string]time.Time
}

// host is the loopback address of this run. No client of another run connects from it, so that a port
// that is free now is still free when a controller or a machine listens at it.
var host = fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))

var (
	portsMu   sync.Mutex
	portsUsed = map[string]bool{}
)

// freePort returns a free address, and never the same twice.
func freePort() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !portsUsed[addr] {
			portsUsed[addr] = true
			return addr
		}
	}
}

// serve serves a stand-in at a free loopback address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	portsMu.Lock()
	portsUsed[l.Addr().String()] = true
	portsMu.Unlock()
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String()
}

// newCluster makes the stand-ins and the files of a deployment.
func newCluster(ctx context.Context, rec *record, dir, binary string, params config.Params, types []simulator.MachineType, capacity int, settings string) *cluster {
	c := &cluster{
		ctx: ctx, rec: rec, dir: dir, binary: binary, settings: settings, params: params, client: &http.Client{},
		specs: map[string]*simulator.Spec{}, started: map[string][]string{}, done: map[string]bool{}, running: map[string]bool{}, workerUp: map[string]time.Time{},
	}
	st := params.State
	c.state = newStateService(stateLimits{st.RPS, st.WriteRPS, st.ValueKB, st.TxnOps}, rec)
	go c.state.expireLeases(ctx)
	inner := simulator.NewCloud(types, capacity, func(int, string) string { return freePort() },
		func(m simulator.MachineInfo, address string, t *simulator.MachineType) simulator.MachineProcess {
			if ctx.Err() != nil {
				return nil
			}
			c.mu.Lock()
			c.workerUp[m.Machine] = time.Now()
			c.mu.Unlock()
			rec.printf("machine %s (%s in %s) is up", m.Machine, m.Type, m.Zone)
			return simulator.StartWorker(environment{c}, address, m, t)
		})
	c.cloud = &laggingCloud{inner: inner, rec: rec, lag: time.Duration(params.Cloud.ListLagS * float64(time.Second))}
	go c.cloud.keepLists(ctx)
	stateAddr, cloudAddr := serve(c.state), serve(c.cloud)
	for i, zone := range params.Zones {
		c.controllers = append(c.controllers, &controller{name: fmt.Sprintf("stallhost-%d", i), zone: zone, listen: freePort(), cluster: freePort()})
	}
	for _, k := range c.controllers {
		p := config.Platform{Member: k.name, Zone: k.zone, Listen: k.listen, ClusterListen: k.cluster, Params: params}
		for _, o := range c.controllers {
			if o != k {
				p.Peers = append(p.Peers, config.Peer{Member: o.name, Zone: o.zone, Endpoint: o.cluster})
			}
		}
		p.Services.State, p.Services.Cloud = stateAddr, cloudAddr
		b, err := json.MarshalIndent(&p, "", " ")
		if err != nil {
			panic(err)
		}
		if params.State.Next != nil { // the platform's file also announces the rate, which the program's type does not have
			b = bytes.Replace(b, []byte(`"next": {`), []byte(`"next": {"write_rps": 70,`), 1)
		}
		k.platform, k.log = filepath.Join(dir, k.name+".json"), filepath.Join(dir, k.name+".log")
		if err := os.WriteFile(k.platform, b, 0o600); err != nil {
			panic(err)
		}
	}
	return c
}

// start starts a controller with the deploy file's command.
func (c *cluster) start(k *controller) error {
	args := []string{"--config", k.platform}
	if c.settings != "" {
		args = append([]string{"--settings", c.settings}, args...)
	}
	f, err := os.OpenFile(k.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	k.cmd = exec.Command(c.binary, args...)
	k.cmd.Stderr = f
	k.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.rec.printf("controller %s starts", k.name)
	return k.cmd.Start()
}

// stopAll ends all controllers.
func (c *cluster) stopAll() {
	for _, k := range c.controllers {
		if k.cmd != nil && k.cmd.Process != nil {
			_ = k.cmd.Process.Kill()
			_ = k.cmd.Wait()
		}
	}
}

// up starts all controllers and waits until each can take requests.
func (c *cluster) up() error {
	for _, k := range c.controllers {
		if err := c.start(k); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, k := range c.controllers {
		for {
			resp, err := c.client.Get("http://" + k.listen + wire.HealthPath)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("controller %s does not serve", k.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// leader returns the controller that holds the leader's key, or nil.
func (c *cluster) leader() *controller {
	e, ok := c.state.inner.Get(wire.LeaderKey)
	if !ok {
		return nil
	}
	var l wire.LeaderRecord
	if wire.Unmarshal(e.Value, &l) != nil {
		return nil
	}
	for _, k := range c.controllers {
		if k.name == l.Node {
			return k
		}
	}
	return nil
}

// request sends a user's request to a controller. The status is 0 without a response.
func (c *cluster) request(k *controller, method, path string, in any, wait time.Duration) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	var b []byte
	if in != nil {
		b, _ = wire.Marshal(in)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+k.listen+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil
	}
	status, body := simulator.Exchange(c.client, req)
	var out map[string]any
	_ = wire.Unmarshal(body, &out)
	return status, out
}

// submit submits a job as a user does, and reports whether it was accepted. Users ask the controllers
// in turn, as the load balancer's choice, and retry for 60 s.
func (c *cluster) submit(s *simulator.Spec) bool {
	c.mu.Lock()
	c.specs[s.ID] = s
	c.mu.Unlock()
	end := time.Now().Add(60 * time.Second)
	for i := 0; time.Now().Before(end) && c.ctx.Err() == nil; i++ {
		k := c.controllers[i%len(c.controllers)]
		status, body := c.request(k, http.MethodPost, wire.JobsPath, s, 5*time.Second)
		c.rec.printf("user: submit %s (%d tasks of %g CPUs, team %s) to %s: %d %v", s.ID, s.Tasks, s.CPUs, s.Team, k.name, status, body)
		switch status {
		case http.StatusCreated, http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks for a job's state at any controller.
func (c *cluster) poll(id string, i int) (int, map[string]any) {
	k := c.controllers[i%len(c.controllers)]
	status, body := c.request(k, http.MethodGet, wire.JobsPath+"/"+id, nil, 2*time.Second)
	c.rec.printf("user: ask for %s at %s: %d %v", id, k.name, status, body)
	return status, body
}

// startedTasks returns how many tasks of a job were started on a machine.
func (c *cluster) startedTasks(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task := range c.started {
		if strings.HasPrefix(task, job+"/") {
			n++
		}
	}
	return n
}

// freeMachine returns a machine that is up, has nothing on it, and since when it is up: the one that
// is up longest. It only counts machines that came up after a time.
func (c *cluster) freeMachine(after time.Time) (name string, up time.Time) {
	workers := c.cloud.inner.Workers()
	sort.Slice(workers, func(a, b int) bool { return workers[a].Name() < workers[b].Name() })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range workers {
		t := c.workerUp[k.Name()]
		if k.ActiveTasks() == 0 && t.After(after) && (name == "" || t.Before(up)) {
			name, up = k.Name(), t
		}
	}
	return name, up
}

// environment is the environment of the workers.
type environment struct{ c *cluster }

func (e environment) Context() context.Context           { return e.c.ctx }
func (e environment) Logger() *slog.Logger               { return slog.New(slog.DiscardHandler) }
func (e environment) Freeze(string, bool)                {}
func (e environment) JobFromFile(string) *simulator.Spec { return nil }
func (e environment) ServesJobFiles() bool               { return false }
func (e environment) Observer() simulator.Observer       { return e }
func (e environment) Gangs() simulator.GangCoordinator   { return nil }
func (e environment) StartExecuted(string)               {}
func (e environment) Client(address string) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
}

func (e environment) Job(id string) *simulator.Spec {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.c.specs[id]
}

func (e environment) Controllers() []simulator.Controller {
	var out []simulator.Controller
	for _, k := range e.c.controllers {
		out = append(out, simulator.Controller{Name: k.name, Address: k.listen})
	}
	return out
}

func (e environment) Serve(k *simulator.Worker) (stop func()) {
	l, err := net.Listen("tcp", k.Address())
	if err != nil {
		e.c.rec.printf("machine %s cannot listen: %v", k.Name(), err)
		return func() {}
	}
	srv := &http.Server{Handler: k, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return func() { _ = srv.Close() }
}

func (e environment) Timing() simulator.Timing {
	w := e.c.params.Workers
	return simulator.Timing{
		Lease: time.Duration(w.LeaseS * float64(time.Second)), GangWait: time.Duration(w.GangWaitS * float64(time.Second)),
		ReportInterval: func() time.Duration {
			return time.Duration(w.ReportS * (0.75 + 0.5*float64(time.Now().UnixNano()%1000)/1000) * float64(time.Second))
		},
	}
}

func (e environment) TaskStarted(t simulator.TaskOnMachine) {
	e.c.rec.printf("machine %s: task %s attempt %d has its image and runs", t.Host.Machine, t.Task, t.Attempt)
	e.c.mu.Lock()
	e.c.started[t.Task] = append(e.c.started[t.Task], t.Host.Machine)
	e.c.running[t.Task] = true
	e.c.mu.Unlock()
}

func (e environment) TaskLeft(t simulator.TaskOnMachine) {
	e.c.rec.printf("machine %s: task %s attempt %d is gone (%s)", t.Host.Machine, t.Task, t.Attempt, t.Cause)
	e.c.mu.Lock()
	delete(e.c.running, t.Task)
	e.c.mu.Unlock()
}

func (e environment) TaskDone(task string, _ *simulator.Spec) {
	e.c.mu.Lock()
	e.c.done[task] = true
	e.c.mu.Unlock()
}

func (e environment) LeaseExpired(m simulator.MachineInfo, session uint64, tasks []simulator.TaskOnMachine) {
	e.c.rec.printf("machine %s: the lease of session %d is over, %d tasks killed", m.Machine, session, len(tasks))
}

// useState makes the controllers reach another state service.
func (c *cluster) useState(addr string) {
	for _, k := range c.controllers {
		b, err := os.ReadFile(k.platform)
		if err != nil {
			panic(err)
		}
		var p map[string]any
		if err := json.Unmarshal(b, &p); err != nil {
			panic(err)
		}
		p["services"].(map[string]any)["state"] = addr
		if b, err = json.MarshalIndent(p, "", " "); err != nil {
			panic(err)
		}
		if err := os.WriteFile(k.platform, b, 0o600); err != nil {
			panic(err)
		}
	}
}

// residentMemory returns how much memory a controller holds.
func residentMemory(k *controller) string {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", k.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strings.TrimSpace(rest)
		}
	}
	return "?"
}
