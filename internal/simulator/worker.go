package simulator

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"aspenstall/internal/wire"
)

// The field names stand here again, apart from package wire: a mistake there
// must not be repeated by the side that checks it.

type workerTask struct {
	Task         string `msgpack:"lot"`
	Attempt      uint64 `msgpack:"try"`
	State        string `msgpack:"phase"`
	Cause        string `msgpack:"cause,omitempty"`
	Checkpointed bool   `msgpack:"kept,omitempty"`

	spec      *Spec
	onMachine bool // has its image, so it is on its machine
	timer     *time.Timer
	runningAt time.Time
}

type statusReport struct {
	Machine    string        `msgpack:"stall"`
	Address    string        `msgpack:"address"`
	Type       string        `msgpack:"breed"`
	Zone       string        `msgpack:"paddock"`
	Spot       bool          `msgpack:"loaners"`
	Session    uint64        `msgpack:"tenure"`
	Seq        uint64        `msgpack:"tick"`
	Token      uint64        `msgpack:"epoch"`
	SpotNotice *float64      `msgpack:"recall_s"`
	Tasks      []*workerTask `msgpack:"lots"`
}

type command struct {
	Op          string  `msgpack:"verb"`
	Task        string  `msgpack:"lot"`
	Attempt     uint64  `msgpack:"try"`
	GracePeriod float64 `msgpack:"wind_down_s"`
}

type commandBatch struct {
	Token    uint64    `msgpack:"epoch"`
	Session  uint64    `msgpack:"tenure"`
	Commands []command `msgpack:"orders"`
}

// Site is what a worker finds round it.
type Environment interface {
	// Context ends with the site.
	Context() context.Context
	Logger() *slog.Logger
	// Serve serves the worker's direct commands at its address until stop is called, which
	// also ends its connections.
	Serve(k *Worker) (stop func())
	// Client sends from the worker's address.
	Client(address string) *http.Client
	// Still has nothing go to or from an address, or lets it go on.
	Freeze(address string, still bool)
	Controllers() []Controller
	// Job is a job's description as its user uploaded it, nil if there is none.
	Job(id string) *Spec
	// FileJob reads a job's description of the controllers; served tells whether there are
	// any to be read.
	JobFromFile(id string) *Spec
	ServesJobFiles() bool
	Timing() Timing
	Observer() Observer
	// Gangs brings gangs' tasks together; nil: there are none.
	Gangs() GangCoordinator
}

// Gangs is told as a gang's task waits for the others, and as it leaves, for which it gives
// the cause. The worker's lock is held.
type GangCoordinator interface {
	gangJoined(t *workerTask, k *Worker)
	gangLeft(t *workerTask, why string) string
}

// Controller is a controller that workers report to.
type Controller struct{ Name, Address string }

// Timing is how workers go by time.
type Timing struct {
	Lease, GangWait time.Duration
	ReportInterval  func() time.Duration // until the next report
}

// Observer is told what workers do with tasks; the worker's lock is held.
type Observer interface {
	TaskStarted(t TaskOnMachine)
	TaskLeft(t TaskOnMachine)
	TaskDone(task string, of *Spec)
	StartExecuted(task string)
	// Expired is told that a lease runs out on a machine with so many tasks.
	LeaseExpired(m MachineInfo, session uint64, tasks []TaskOnMachine)
}

// TaskOn is a task on a machine.
type TaskOnMachine struct {
	Task    string
	Attempt uint64
	Cause   string // it left
	Spec    *Spec
	Host    MachineInfo
}

// Place is a machine.
type MachineInfo struct {
	Machine, Type, Zone string
	Spot                bool
}

// Worker is a stand-in for a worker.
type Worker struct {
	env         Environment
	name        string
	address     string
	machineType *MachineType
	zone        string
	spot        bool

	mu               sync.Mutex
	session          uint64
	seq              uint64
	token            uint64
	spotNotice       *float64
	tasks            []*workerTask
	images           map[string]bool
	lastAcknowledged time.Time
	startedAt        time.Time // when it was
	dead             bool
	inboundLost      bool // its reports arrive, answers and direct commands to it are lost
	outboundLost     bool // direct commands arrive and are answered, its reports reach nobody
	hung             bool // it executes nothing; its tasks make no progress
	FailsTasks       bool // every task it starts fails
	wake             chan struct{}
	stop             context.CancelFunc
	stopServing      func()
}

// StartWorker starts a machine's worker at an address.
func StartWorker(site Environment, at string, m MachineInfo, t *MachineType) *Worker {
	ctx, cancel := context.WithCancel(site.Context())
	k := &Worker{
		env: site, name: m.Machine, address: at, machineType: t, zone: m.Zone, spot: m.Spot, session: 1,
		images: map[string]bool{}, lastAcknowledged: time.Now(), startedAt: time.Now(), wake: make(chan struct{}, 1), stop: cancel,
	}
	k.stopServing = site.Serve(k)
	go k.reportLoop(ctx)
	go k.watchLease(ctx)
	return k
}

// Place is the machine.
func (k *Worker) Info() MachineInfo {
	return MachineInfo{Machine: k.name, Type: k.machineType.Name, Zone: k.zone, Spot: k.spot}
}

func (k *Worker) taskOnMachine(t *workerTask) TaskOnMachine {
	return TaskOnMachine{Task: t.Task, Attempt: t.Attempt, Cause: t.Cause, Spec: t.spec, Host: k.Info()}
}

// Name is the machine's name.
func (k *Worker) Name() string { return k.name }

// Die ends the machine and everything on it.
func (k *Worker) Terminate() {
	k.mu.Lock()
	k.dead = true
	k.dropTasks()
	k.mu.Unlock()
	k.stop()
	k.stopServing()
}

// Hang has the machine answer nothing and report nothing, or go on.
func (k *Worker) SetHung(hang bool) {
	k.mu.Lock()
	k.hung = hang
	k.mu.Unlock()
	k.env.Freeze(k.address, hang)
}

// Mute cuts the way from the machine to the controllers, and not the way back, or mends
// it: a one-way partition.
func (k *Worker) SetOutboundLost(mute bool) {
	k.mu.Lock()
	k.outboundLost = mute
	k.mu.Unlock()
}

func (k *Worker) isOutboundLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outboundLost
}

// Deaf has what is sent to the machine lost, and not what it sends, or lets it hear.
func (k *Worker) SetInboundLost(deaf bool) {
	k.mu.Lock()
	k.inboundLost = deaf
	k.mu.Unlock()
}

func (k *Worker) isInboundLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inboundLost
}

// Up is for how long the machine has been up.
func (k *Worker) Uptime() time.Duration { return time.Since(k.startedAt) }

// Zone is the machine's zone.
func (k *Worker) Zone() string { return k.zone }

// SetNotice lets the worker report that the cloud takes the machine away.
func (k *Worker) SetSpotNotice(seconds float64) {
	k.mu.Lock()
	k.spotNotice = &seconds
	k.mu.Unlock()
	k.reportSoon()
}

// SetSick makes every task that starts here fail.
func (k *Worker) SetFailsTasks() {
	k.mu.Lock()
	k.FailsTasks = true
	k.mu.Unlock()
}

func (k *Worker) reportSoon() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// forgetAll kills all tasks; k.mu is held.
func (k *Worker) dropTasks() {
	for _, t := range k.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		k.noteLeft(t)
	}
	k.tasks = nil
}

// leave tells the checker that a task is not on the machine any more.
func (k *Worker) noteLeft(t *workerTask) {
	if t.onMachine {
		t.onMachine = false
		k.env.Observer().TaskLeft(k.taskOnMachine(t))
	}
}

// keepLease ends the worker's lease in the moment in which the last answered
// report was sent so long ago: controllers count on that moment.
func (k *Worker) watchLease(ctx context.Context) {
	t := time.NewTimer(k.env.Timing().Lease)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		k.mu.Lock()
		if time.Since(k.lastAcknowledged) >= k.env.Timing().Lease && !k.dead {
			k.noteLeaseExpired()
			k.dropTasks()
			k.session++
			k.lastAcknowledged = time.Now()
			k.reportSoon()
		}
		t.Reset(time.Until(k.lastAcknowledged.Add(k.env.Timing().Lease)))
		k.mu.Unlock()
	}
}

// expire tells the observer that the lease is over; k.mu is held.
func (k *Worker) noteLeaseExpired() {
	var on []TaskOnMachine
	for _, t := range k.tasks {
		if t.onMachine {
			on = append(on, k.taskOnMachine(t))
		}
	}
	k.env.Observer().LeaseExpired(k.Info(), k.session, on)
}

// snapshot is the current report; k.mu is held.
func (k *Worker) encodeReport() []byte {
	k.seq++
	b, _ := wire.Marshal(&statusReport{
		Machine: k.name, Address: k.address, Type: k.machineType.Name, Zone: k.zone, Spot: k.spot,
		Session: k.session, Seq: k.seq, Token: k.token, SpotNotice: k.spotNotice, Tasks: k.tasks,
	})
	return b
}

// report sends reports to one node after the other until one takes them.
func (k *Worker) reportLoop(ctx context.Context) {
	client := k.env.Client(k.address)
	cur := 0
	for ctx.Err() == nil {
		nodes := k.env.Controllers()
		k.mu.Lock()
		body := k.encodeReport()
		session := k.session
		k.mu.Unlock()
		sent := time.Now()
		status, answer := k.postReport(ctx, client, nodes[cur%len(nodes)].Address, body)
		pause := k.env.Timing().ReportInterval()
		switch status {
		case http.StatusOK:
			var o commandBatch
			if wire.Unmarshal(answer, &o) == nil {
				k.mu.Lock()
				if session == k.session && o.Token >= k.token && o.Token > 0 {
					k.token = o.Token
					k.lastAcknowledged = sent
					k.execute(o.Commands)
				}
				k.mu.Unlock()
			}
		case http.StatusMisdirectedRequest:
			var r struct {
				Node string `msgpack:"foreman"`
			}
			_ = wire.Unmarshal(answer, &r)
			cur++
			pause = time.Second
			for i := range nodes {
				if nodes[i].Name == r.Node && i != (cur-1)%len(nodes) {
					cur, pause = i, 100*time.Millisecond
				}
			}
		default:
			cur++
			pause = time.Second
		}
		if time.Since(sent) < 500*time.Millisecond {
			pause = max(pause, 100*time.Millisecond)
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-k.wake:
			time.Sleep(max(0, 500*time.Millisecond-time.Since(sent)))
		}
		t.Stop()
	}
}

func (k *Worker) postReport(ctx context.Context, c *http.Client, at string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	if k.isOutboundLost() {
		<-ctx.Done()
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+wire.ReportPath, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	status, b := Exchange(c, req)
	if status != 0 && k.isInboundLost() {
		<-ctx.Done()
		return 0, nil
	}
	return status, b
}

// Exchange sends a request and reads the whole answer; the status is 0 if there is none.
func Exchange(c *http.Client, req *http.Request) (status int, body []byte) {
	resp, err := c.Do(req)
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

// ServeHTTP serves direct commands.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	if k.isInboundLost() {
		select { // the sender gives up, unless this is a late copy
		case <-r.Context().Done():
		case <-time.After(10 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.URL.Path == wire.CommandsPath {
		var o commandBatch
		if wire.Unmarshal(b, &o) != nil || o.Token == 0 || o.Session == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if o.Token < k.token || o.Session != k.session {
			status = http.StatusConflict
		} else {
			if o.Token > k.token {
				k.token = o.Token
				k.reportSoon()
			}
			k.execute(o.Commands)
		}
	}
	w.WriteHeader(status)
	_, _ = w.Write(k.encodeReport())
}

func (k *Worker) findTask(task string, attempt uint64) *workerTask {
	for _, t := range k.tasks {
		if t.Task == task && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// execute carries out commands in their order; k.mu is held.
func (k *Worker) execute(cmds []command) {
	for _, o := range cmds {
		k.env.Logger().Debug("executed", "machine", k.name, "op", o.Op, "task", o.Task, "attempt", o.Attempt, "token", k.token, "session", k.session)
		t := k.findTask(o.Task, o.Attempt)
		switch {
		case o.Op == "start" && t == nil:
			k.env.Observer().StartExecuted(o.Task)
			k.startTask(o.Task, o.Attempt)
		case o.Op == "halt" && t != nil && t.State != "exited":
			if t.timer != nil {
				t.timer.Stop()
			}
			if t.State == "running" && t.spec.CheckpointS > 0 && o.GracePeriod >= t.spec.SaveS {
				t.State = "flushing"
				t.timer = time.AfterFunc(time.Duration(t.spec.SaveS*float64(time.Second)), func() { k.exitFromTimer(t, "halted", true) })
			} else if t.State != "flushing" || o.GracePeriod == 0 {
				k.exitTask(t, "halted", false)
			}
		case o.Op == "reap" && t != nil && t.State == "exited":
			for i := range k.tasks {
				if k.tasks[i] == t {
					k.tasks = append(k.tasks[:i:i], k.tasks[i+1:]...)
					break
				}
			}
		}
	}
}

func (k *Worker) exitTask(t *workerTask, why string, saved bool) {
	if g := k.env.Gangs(); g != nil {
		why = g.gangLeft(t, why)
	}
	t.State, t.Cause, t.Checkpointed = "exited", why, saved
	if why == "done" {
		k.env.Observer().TaskDone(t.Task, t.spec)
	}
	k.noteLeft(t)
	k.reportSoon()
}

// end ends a task from a timer.
func (k *Worker) exitFromTimer(t *workerTask, why string, saved bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.State != "exited" && k.findTask(t.Task, t.Attempt) == t {
		k.exitTask(t, why, saved)
	}
}

func (k *Worker) startTask(task string, attempt uint64) {
	job, index, _ := strings.Cut(task, "/")
	spec := k.env.Job(job)
	t := &workerTask{Task: task, Attempt: attempt, State: "exited", spec: spec}
	var cpus, gpus, mem float64
	busy := false
	for _, o := range k.tasks {
		if o.State != "exited" {
			cpus, gpus, mem = cpus+o.spec.CPUs, gpus+o.spec.GPUs, mem+o.spec.MemGB
			busy = busy || o.Task == task
		}
	}
	k.tasks = append(k.tasks, t)
	i, err := strconv.Atoi(index)
	switch {
	case spec == nil && err == nil && k.env.ServesJobFiles():
		// No user uploaded it: perhaps it came in as a job file.
		t.State, t.spec = "fetching", &Spec{}
		go k.fetchDescription(t, job)
	case spec == nil || err != nil || i >= spec.Tasks:
		t.Cause = "no_such"
	case busy:
		t.Cause = "in_use"
	case cpus+spec.CPUs > k.machineType.CPUs || gpus+spec.GPUs > k.machineType.GPUs || mem+spec.MemGB > k.machineType.MemGB:
		t.Cause = "no_room"
	default:
		t.State = "fetching"
		fetch := time.Duration(0)
		if !k.images[spec.Image] {
			fetch = time.Duration(spec.ImageGB / k.machineType.FetchGBps * float64(time.Second))
		}
		t.timer = time.AfterFunc(fetch, func() { k.imageFetched(t) })
	}
	k.reportSoon()
}

func (k *Worker) imageFetched(t *workerTask) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.State != "fetching" || k.dead || k.findTask(t.Task, t.Attempt) != t {
		return
	}
	k.images[t.spec.Image] = true
	t.onMachine = true
	k.env.Observer().TaskStarted(k.taskOnMachine(t))
	switch {
	case k.FailsTasks || t.spec.Broken:
		k.exitTask(t, "error", false)
	case t.spec.Shape == "ensemble":
		t.State = "gathering"
		t.timer = time.AfterFunc(k.env.Timing().GangWait, func() { k.exitFromTimer(t, "alone", false) })
		if g := k.env.Gangs(); g != nil {
			g.gangJoined(t, k)
		}
	default:
		k.runTask(t)
	}
	k.reportSoon()
}

// run lets a task run; k.mu is held.
func (k *Worker) runTask(t *workerTask) {
	t.State, t.runningAt = "running", time.Now()
	if t.spec.Shape == "standing" {
		return
	}
	run := t.spec.RunS
	if _, index, _ := strings.Cut(t.Task, "/"); t.spec.RunOf != nil {
		i, _ := strconv.Atoi(index)
		run = t.spec.RunOf[i]
	}
	t.timer = time.AfterFunc(time.Duration(run*float64(time.Second)), func() { k.exitFromTimer(t, "done", false) })
}

// Running lists the tasks on the machine.
func (k *Worker) RunningTasks() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, t := range k.tasks {
		if t.onMachine {
			out = append(out, t.Task)
		}
	}
	sort.Strings(out)
	return out
}

// Session is the number of its session, and the tasks that it has been given in it.
func (k *Worker) Session() (number uint64, tasks []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.tasks {
		tasks = append(tasks, t.Task)
	}
	return k.session, tasks
}

// Tasks counts the tasks that the machine has been given and has not ended.
func (k *Worker) ActiveTasks() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, t := range k.tasks {
		if t.State != "exited" {
			n++
		}
	}
	return n
}

// Addr is the worker's address.
func (k *Worker) Address() string { return k.address }

// Answered is when its last report that was answered was sent.
func (k *Worker) LastAcknowledged() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastAcknowledged
}
