package simulator

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"aspenstall/internal/wire"
)

// The names of the worker protocol are written out here again, independently of package wire, so
// that the simulated worker does not repeat a mistake that is made there.

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

// ForgottenStartObserver is an Observer that is also notified of commands which start attempts that their
// machine was told to forget before; the worker's lock is held.
type ForgottenStartObserver interface {
	// executed is false if the command's token or session is outdated.
	ForgottenStart(t TaskOnMachine, executed bool)
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
	forgotten        map[attemptID]bool // attempts that a command removed in this session
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
		forgotten: map[attemptID]bool{}, images: map[string]bool{}, lastAcknowledged: time.Now(), startedAt: time.Now(), wake: make(chan struct{}, 1), stop: cancel,
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
			k.noteRefusedStarts(o.Commands)
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

// Address returns the worker's address.
func (k *Worker) Address() string { return k.address }

// LastAcknowledged returns when the last report that was acknowledged was sent.
func (k *Worker) LastAcknowledged() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastAcknowledged
}
