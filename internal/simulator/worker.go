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

// The names of the worker protocol are written out here again, independently of package wire, so
// that the simulated worker does not repeat a mistake that is made there.

// workerTask is a task as a worker reports it.
type workerTask struct {
	Task         string `msgpack:"lot"`
	Attempt      uint64 `msgpack:"try"`
	State        string `msgpack:"phase"`
	Cause        string `msgpack:"cause,omitempty"`
	Checkpointed bool   `msgpack:"kept,omitempty"`

	spec      *Spec
	onMachine bool // the image is fetched, and the observer was told that the task started
	timer     *time.Timer
	runningAt time.Time
}

// statusReport is a worker's report.
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

// command is a controller's command about one task.
type command struct {
	Op          string  `msgpack:"verb"`
	Task        string  `msgpack:"lot"`
	Attempt     uint64  `msgpack:"try"`
	GracePeriod float64 `msgpack:"wind_down_s"`
}

// commandBatch holds commands as a controller sends them, directly or in the answer to a report.
type commandBatch struct {
	Token    uint64    `msgpack:"epoch"`
	Session  uint64    `msgpack:"tenure"`
	Commands []command `msgpack:"orders"`
}

// Environment is what a worker needs from the simulation in which it runs.
type Environment interface {
	// Context is cancelled when the simulation ends.
	Context() context.Context
	Logger() *slog.Logger
	// Serve serves direct commands at the worker's address until stop is called, which also closes
	// its connections.
	Serve(k *Worker) (stop func())
	// Client returns an HTTP client that connects from the worker's address.
	Client(address string) *http.Client
	// Freeze holds back all packets to and from an address, or releases them.
	Freeze(address string, frozen bool)
	Controllers() []Controller
	// Job returns a job as its user uploaded it, or nil if no user did.
	Job(id string) *Spec
	// JobFromFile reads the description of a job that was submitted as a job file from the
	// controllers. It returns nil if there is none.
	JobFromFile(id string) *Spec
	// ServesJobFiles reports whether the controllers accept job files.
	ServesJobFiles() bool
	Timing() Timing
	Observer() Observer
	// Gangs returns the coordinator of gangs' tasks, or nil if there are no gangs.
	Gangs() GangCoordinator
}

// GangCoordinator is notified when a gang's task begins to wait for the others (gangJoined) and
// when any task exits (gangLeft, which returns the cause to report). The worker's lock is held.
type GangCoordinator interface {
	gangJoined(t *workerTask, k *Worker)
	gangLeft(t *workerTask, cause string) string
}

// Controller is a controller to which workers report.
type Controller struct{ Name, Address string }

// Timing holds the durations that workers use.
type Timing struct {
	Lease, GangWait time.Duration
	ReportInterval  func() time.Duration // the time until the next report
}

// Observer is notified of what workers do with tasks; the worker's lock is held.
type Observer interface {
	TaskStarted(t TaskOnMachine)
	TaskLeft(t TaskOnMachine)
	TaskDone(task string, spec *Spec)
	StartExecuted(task string)
	// LeaseExpired is called when a session's lease runs out, with the tasks on the machine.
	LeaseExpired(m MachineInfo, session uint64, tasks []TaskOnMachine)
}

// TaskOnMachine is an attempt of a task on a machine.
type TaskOnMachine struct {
	Task    string
	Attempt uint64
	Cause   string // why it left the machine
	Spec    *Spec
	Host    MachineInfo
}

// MachineInfo describes a machine: its name, type and zone, and whether it is a spot machine.
type MachineInfo struct {
	Machine, Type, Zone string
	Spot                bool
}

// Worker is a simulated worker on a machine.
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
	lastAcknowledged time.Time // when the last report that was acknowledged was sent
	startedAt        time.Time
	dead             bool
	inboundLost      bool          // its reports arrive, but answers and direct commands to it are lost
	outboundLost     bool          // direct commands arrive and are answered, but its reports are lost
	hung             bool          // all packets to and from the machine are held back
	FailsTasks       bool          // every task that starts here fails
	wake             chan struct{} // a report is to be sent soon
	stop             context.CancelFunc
	stopServing      func()
}

// StartWorker starts the worker of a machine at an address.
func StartWorker(env Environment, at string, m MachineInfo, t *MachineType) *Worker {
	ctx, cancel := context.WithCancel(env.Context())
	k := &Worker{
		env: env, name: m.Machine, address: at, machineType: t, zone: m.Zone, spot: m.Spot, session: 1,
		images: map[string]bool{}, lastAcknowledged: time.Now(), startedAt: time.Now(), wake: make(chan struct{}, 1), stop: cancel,
	}
	k.stopServing = env.Serve(k)
	go k.reportLoop(ctx)
	go k.watchLease(ctx)
	return k
}

// Info returns the machine's description.
func (k *Worker) Info() MachineInfo {
	return MachineInfo{Machine: k.name, Type: k.machineType.Name, Zone: k.zone, Spot: k.spot}
}

// taskOnMachine returns a task as observers get it.
func (k *Worker) taskOnMachine(t *workerTask) TaskOnMachine {
	return TaskOnMachine{Task: t.Task, Attempt: t.Attempt, Cause: t.Cause, Spec: t.spec, Host: k.Info()}
}

// Name returns the machine's name.
func (k *Worker) Name() string { return k.name }

// Terminate stops the machine and all tasks on it.
func (k *Worker) Terminate() {
	k.mu.Lock()
	k.dead = true
	k.dropTasks()
	k.mu.Unlock()
	k.stop()
	k.stopServing()
}

// SetHung makes the machine stop answering and reporting, or go on.
func (k *Worker) SetHung(hung bool) {
	k.mu.Lock()
	k.hung = hung
	k.mu.Unlock()
	k.env.Freeze(k.address, hung)
}

// SetOutboundLost starts or ends a one-way partition in which the machine's reports are lost, while
// direct commands still arrive and are answered.
func (k *Worker) SetOutboundLost(lost bool) {
	k.mu.Lock()
	k.outboundLost = lost
	k.mu.Unlock()
}

func (k *Worker) isOutboundLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outboundLost
}

// SetInboundLost starts or ends a one-way partition in which answers and direct commands to the
// machine are lost, while its reports still arrive.
func (k *Worker) SetInboundLost(lost bool) {
	k.mu.Lock()
	k.inboundLost = lost
	k.mu.Unlock()
}

func (k *Worker) isInboundLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inboundLost
}

// Uptime returns how long the machine has been up.
func (k *Worker) Uptime() time.Duration { return time.Since(k.startedAt) }

// Zone returns the machine's zone.
func (k *Worker) Zone() string { return k.zone }

// SetSpotNotice makes the worker report that the cloud will reclaim the machine in so many seconds.
func (k *Worker) SetSpotNotice(seconds float64) {
	k.mu.Lock()
	k.spotNotice = &seconds
	k.mu.Unlock()
	k.reportSoon()
}

// SetFailsTasks makes every task that starts on the machine from now on fail.
func (k *Worker) SetFailsTasks() {
	k.mu.Lock()
	k.FailsTasks = true
	k.mu.Unlock()
}

// reportSoon makes the worker report before the usual interval is over.
func (k *Worker) reportSoon() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// dropTasks kills all tasks and forgets them; k.mu is held.
func (k *Worker) dropTasks() {
	for _, t := range k.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		k.noteLeft(t)
	}
	k.tasks = nil
}

// noteLeft tells the observer that a task is no longer on the machine; k.mu is held.
func (k *Worker) noteLeft(t *workerTask) {
	if t.onMachine {
		t.onMachine = false
		k.env.Observer().TaskLeft(k.taskOnMachine(t))
	}
}

// watchLease ends the worker's session exactly when its lease has passed since the last
// acknowledged report was sent. Controllers rely on that time.
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

// noteLeaseExpired tells the observer that the lease is over; k.mu is held.
func (k *Worker) noteLeaseExpired() {
	var on []TaskOnMachine
	for _, t := range k.tasks {
		if t.onMachine {
			on = append(on, k.taskOnMachine(t))
		}
	}
	k.env.Observer().LeaseExpired(k.Info(), k.session, on)
}

// encodeReport returns the current report, encoded, with the next sequence number; k.mu is held.
func (k *Worker) encodeReport() []byte {
	k.seq++
	b, _ := wire.Marshal(&statusReport{
		Machine: k.name, Address: k.address, Type: k.machineType.Name, Zone: k.zone, Spot: k.spot,
		Session: k.session, Seq: k.seq, Token: k.token, SpotNotice: k.spotNotice, Tasks: k.tasks,
	})
	return b
}

// reportLoop sends reports. It tries the nodes in turn, or the one that a node names as the leader,
// until one accepts the report.
func (k *Worker) reportLoop(ctx context.Context) {
	client := k.env.Client(k.address)
	current := 0
	for ctx.Err() == nil {
		nodes := k.env.Controllers()
		k.mu.Lock()
		body := k.encodeReport()
		session := k.session
		k.mu.Unlock()
		sent := time.Now()
		status, answer := k.postReport(ctx, client, nodes[current%len(nodes)].Address, body)
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
			current++
			pause = time.Second
			for i := range nodes {
				if nodes[i].Name == r.Node && i != (current-1)%len(nodes) {
					current, pause = i, 100*time.Millisecond
				}
			}
		default:
			current++
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

// postReport sends a report to a node and returns the response's status and body; the status is 0
// if there was no response.
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

// Exchange sends a request and reads the whole response; the status is 0 if there is none.
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
		select { // the sender times out; a late copy has no sender, so the wait is limited
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

// findTask returns an attempt of a task, or nil; k.mu is held.
func (k *Worker) findTask(task string, attempt uint64) *workerTask {
	for _, t := range k.tasks {
		if t.Task == task && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// execute executes commands in order; k.mu is held.
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

// exitTask ends a task with a cause; k.mu is held. checkpointed reports whether it saved its state.
func (k *Worker) exitTask(t *workerTask, cause string, checkpointed bool) {
	if g := k.env.Gangs(); g != nil {
		cause = g.gangLeft(t, cause)
	}
	t.State, t.Cause, t.Checkpointed = "exited", cause, checkpointed
	if cause == "done" {
		k.env.Observer().TaskDone(t.Task, t.spec)
	}
	k.noteLeft(t)
	k.reportSoon()
}

// exitFromTimer ends a task when its timer fires, unless it has ended before.
func (k *Worker) exitFromTimer(t *workerTask, cause string, checkpointed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.State != "exited" && k.findTask(t.Task, t.Attempt) == t {
		k.exitTask(t, cause, checkpointed)
	}
}

// startTask starts an attempt of a task: it fetches the image, or reports at once why the task
// cannot start; k.mu is held.
func (k *Worker) startTask(task string, attempt uint64) {
	job, index, _ := strings.Cut(task, "/")
	spec := k.env.Job(job)
	t := &workerTask{Task: task, Attempt: attempt, State: "exited", spec: spec}
	var cpus, gpus, mem float64
	duplicate := false
	for _, o := range k.tasks {
		if o.State != "exited" {
			cpus, gpus, mem = cpus+o.spec.CPUs, gpus+o.spec.GPUs, mem+o.spec.MemGB
			duplicate = duplicate || o.Task == task
		}
	}
	k.tasks = append(k.tasks, t)
	i, err := strconv.Atoi(index)
	switch {
	case spec == nil && err == nil && k.env.ServesJobFiles():
		// No user uploaded the job, so it may have been submitted as a job file.
		t.State, t.spec = "fetching", &Spec{}
		go k.fetchDescription(t, job)
	case spec == nil || err != nil || i >= spec.Tasks:
		t.Cause = "no_such"
	case duplicate:
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

// imageFetched continues a task whose image has been fetched: a gang's task waits for the others,
// all other tasks run.
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

// runTask lets a task run until its run time is over, or without end if it is a service's; k.mu is
// held.
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

// RunningTasks returns the names of the tasks on the machine, sorted.
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

// Session returns the number of the worker's session and the names of the tasks that it reports in
// it, also of those that have exited.
func (k *Worker) Session() (number uint64, tasks []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.tasks {
		tasks = append(tasks, t.Task)
	}
	return k.session, tasks
}

// ActiveTasks returns the number of tasks that have not exited.
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

// Address returns the worker's address.
func (k *Worker) Address() string { return k.address }

// LastAcknowledged returns when the last report that was acknowledged was sent.
func (k *Worker) LastAcknowledged() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastAcknowledged
}
