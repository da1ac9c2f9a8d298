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

type lot struct {
	Task    string `msgpack:"lot"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"phase"`
	Why     string `msgpack:"cause,omitempty"`
	Saved   bool   `msgpack:"kept,omitempty"`

	spec      *Spec
	placed    bool // has its image, so it is on its machine
	timer     *time.Timer
	runningAt time.Time
}

type beat struct {
	Machine string   `msgpack:"stall"`
	Address string   `msgpack:"address"`
	Type    string   `msgpack:"breed"`
	Zone    string   `msgpack:"paddock"`
	Spot    bool     `msgpack:"loaners"`
	Session uint64   `msgpack:"tenure"`
	Seq     uint64   `msgpack:"tick"`
	Token   uint64   `msgpack:"epoch"`
	Notice  *float64 `msgpack:"recall_s"`
	Tasks   []*lot   `msgpack:"lots"`
}

type order struct {
	Op      string  `msgpack:"verb"`
	Task    string  `msgpack:"lot"`
	Attempt uint64  `msgpack:"try"`
	Grace   float64 `msgpack:"wind_down_s"`
}

type orders struct {
	Token    uint64  `msgpack:"epoch"`
	Session  uint64  `msgpack:"tenure"`
	Commands []order `msgpack:"orders"`
}

// Site is what a worker finds round it.
type Site interface {
	// Context ends with the site.
	Context() context.Context
	Logger() *slog.Logger
	// Serve serves the worker's direct commands at its address until stop is called, which
	// also ends its connections.
	Serve(k *Worker) (stop func())
	// Client sends from the worker's address.
	Client(address string) *http.Client
	// Still has nothing go to or from an address, or lets it go on.
	Still(address string, still bool)
	Controllers() []Controller
	// Job is a job's description as its user uploaded it, nil if there is none.
	Job(id string) *Spec
	// FileJob reads a job's description of the controllers; served tells whether there are
	// any to be read.
	FileJob(id string) *Spec
	ServesFiles() bool
	Timing() Timing
	Observer() Observer
	// Gangs brings gangs' tasks together; nil: there are none.
	Gangs() Gangs
}

// Gangs is told as a gang's task waits for the others, and as it leaves, for which it gives
// the cause. The worker's lock is held.
type Gangs interface {
	gangJoined(t *lot, k *Worker)
	gangLeft(t *lot, why string) string
}

// Controller is a controller that workers report to.
type Controller struct{ Name, Address string }

// Timing is how workers go by time.
type Timing struct {
	Lease, GangWait time.Duration
	ReportGap       func() time.Duration // until the next report
}

// Observer is told what workers do with tasks; the worker's lock is held.
type Observer interface {
	Started(t TaskOn)
	Left(t TaskOn)
	Done(task string, of *Spec)
	Ordered(task string)
	// Expired is told that a lease runs out on a machine with so many tasks.
	Expired(m Place, session uint64, tasks []TaskOn)
}

// TaskOn is a task on a machine.
type TaskOn struct {
	Task    string
	Attempt uint64
	Why     string // it left
	Of      *Spec
	At      Place
}

// Place is a machine.
type Place struct {
	Machine, Type, Zone string
	Spot                bool
}

// Worker is a stand-in for a worker.
type Worker struct {
	site Site
	name string
	at   string
	typ  *MachineType
	zone string
	spot bool

	mu       sync.Mutex
	session  uint64
	seq      uint64
	token    uint64
	notice   *float64
	tasks    []*lot
	images   map[string]bool
	answered time.Time
	up       time.Time // when it was
	dead     bool
	deaf     bool // its reports arrive, answers and direct commands to it are lost
	mute     bool // direct commands arrive and are answered, its reports reach nobody
	hung     bool // it executes nothing; its tasks make no progress
	Sick     bool // every task it starts fails
	wake     chan struct{}
	stop     context.CancelFunc
	unserve  func()
}

// StartWorker starts a machine's worker at an address.
func StartWorker(site Site, at string, m Place, t *MachineType) *Worker {
	ctx, cancel := context.WithCancel(site.Context())
	k := &Worker{
		site: site, name: m.Machine, at: at, typ: t, zone: m.Zone, spot: m.Spot, session: 1,
		images: map[string]bool{}, answered: time.Now(), up: time.Now(), wake: make(chan struct{}, 1), stop: cancel,
	}
	k.unserve = site.Serve(k)
	go k.report(ctx)
	go k.keepLease(ctx)
	return k
}

// Place is the machine.
func (k *Worker) Place() Place {
	return Place{Machine: k.name, Type: k.typ.Name, Zone: k.zone, Spot: k.spot}
}

func (k *Worker) taskOn(t *lot) TaskOn {
	return TaskOn{Task: t.Task, Attempt: t.Attempt, Why: t.Why, Of: t.spec, At: k.Place()}
}

// Name is the machine's name.
func (k *Worker) Name() string { return k.name }

// Die ends the machine and everything on it.
func (k *Worker) Die() {
	k.mu.Lock()
	k.dead = true
	k.forgetAll()
	k.mu.Unlock()
	k.stop()
	k.unserve()
}

// Hang has the machine answer nothing and report nothing, or go on.
func (k *Worker) Hang(hang bool) {
	k.mu.Lock()
	k.hung = hang
	k.mu.Unlock()
	k.site.Still(k.at, hang)
}

// Mute cuts the way from the machine to the controllers, and not the way back, or mends
// it: a one-way partition.
func (k *Worker) Mute(mute bool) {
	k.mu.Lock()
	k.mute = mute
	k.mu.Unlock()
}

func (k *Worker) isMute() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mute
}

// Deaf has what is sent to the machine lost, and not what it sends, or lets it hear.
func (k *Worker) Deaf(deaf bool) {
	k.mu.Lock()
	k.deaf = deaf
	k.mu.Unlock()
}

func (k *Worker) isDeaf() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.deaf
}

// Up is for how long the machine has been up.
func (k *Worker) Up() time.Duration { return time.Since(k.up) }

// Zone is the machine's zone.
func (k *Worker) Zone() string { return k.zone }

// SetNotice lets the worker report that the cloud takes the machine away.
func (k *Worker) SetNotice(seconds float64) {
	k.mu.Lock()
	k.notice = &seconds
	k.mu.Unlock()
	k.poke()
}

// SetSick makes every task that starts here fail.
func (k *Worker) SetSick() {
	k.mu.Lock()
	k.Sick = true
	k.mu.Unlock()
}

func (k *Worker) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// forgetAll kills all tasks; k.mu is held.
func (k *Worker) forgetAll() {
	for _, t := range k.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		k.leave(t)
	}
	k.tasks = nil
}

// leave tells the checker that a task is not on the machine any more.
func (k *Worker) leave(t *lot) {
	if t.placed {
		t.placed = false
		k.site.Observer().Left(k.taskOn(t))
	}
}

// keepLease ends the worker's lease in the moment in which the last answered
// report was sent so long ago: controllers count on that moment.
func (k *Worker) keepLease(ctx context.Context) {
	t := time.NewTimer(k.site.Timing().Lease)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		k.mu.Lock()
		if time.Since(k.answered) >= k.site.Timing().Lease && !k.dead {
			k.expire()
			k.forgetAll()
			k.session++
			k.answered = time.Now()
			k.poke()
		}
		t.Reset(time.Until(k.answered.Add(k.site.Timing().Lease)))
		k.mu.Unlock()
	}
}

// expire tells the observer that the lease is over; k.mu is held.
func (k *Worker) expire() {
	var on []TaskOn
	for _, t := range k.tasks {
		if t.placed {
			on = append(on, k.taskOn(t))
		}
	}
	k.site.Observer().Expired(k.Place(), k.session, on)
}

// snapshot is the current report; k.mu is held.
func (k *Worker) snapshot() []byte {
	k.seq++
	b, _ := wire.Marshal(&beat{
		Machine: k.name, Address: k.at, Type: k.typ.Name, Zone: k.zone, Spot: k.spot,
		Session: k.session, Seq: k.seq, Token: k.token, Notice: k.notice, Tasks: k.tasks,
	})
	return b
}

// report sends reports to one node after the other until one takes them.
func (k *Worker) report(ctx context.Context) {
	client := k.site.Client(k.at)
	cur := 0
	for ctx.Err() == nil {
		nodes := k.site.Controllers()
		k.mu.Lock()
		body := k.snapshot()
		session := k.session
		k.mu.Unlock()
		sent := time.Now()
		status, answer := k.post(ctx, client, nodes[cur%len(nodes)].Address, body)
		pause := k.site.Timing().ReportGap()
		switch status {
		case http.StatusOK:
			var o orders
			if wire.Unmarshal(answer, &o) == nil {
				k.mu.Lock()
				if session == k.session && o.Token >= k.token && o.Token > 0 {
					k.token = o.Token
					k.answered = sent
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

func (k *Worker) post(ctx context.Context, c *http.Client, at string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	if k.isMute() {
		<-ctx.Done()
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+wire.ReportPath, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	status, b := Exchange(c, req)
	if status != 0 && k.isDeaf() {
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
	if k.isDeaf() {
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
		var o orders
		if wire.Unmarshal(b, &o) != nil || o.Token == 0 || o.Session == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if o.Token < k.token || o.Session != k.session {
			status = http.StatusConflict
		} else {
			if o.Token > k.token {
				k.token = o.Token
				k.poke()
			}
			k.execute(o.Commands)
		}
	}
	w.WriteHeader(status)
	_, _ = w.Write(k.snapshot())
}

func (k *Worker) find(task string, attempt uint64) *lot {
	for _, t := range k.tasks {
		if t.Task == task && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// execute carries out commands in their order; k.mu is held.
func (k *Worker) execute(cmds []order) {
	for _, o := range cmds {
		k.site.Logger().Debug("executed", "machine", k.name, "op", o.Op, "task", o.Task, "attempt", o.Attempt, "token", k.token, "session", k.session)
		t := k.find(o.Task, o.Attempt)
		switch {
		case o.Op == "start" && t == nil:
			k.site.Observer().Ordered(o.Task)
			k.begin(o.Task, o.Attempt)
		case o.Op == "halt" && t != nil && t.State != "exited":
			if t.timer != nil {
				t.timer.Stop()
			}
			if t.State == "running" && t.spec.CheckpointS > 0 && o.Grace >= t.spec.SaveS {
				t.State = "flushing"
				t.timer = time.AfterFunc(time.Duration(t.spec.SaveS*float64(time.Second)), func() { k.end(t, "halted", true) })
			} else if t.State != "flushing" || o.Grace == 0 {
				k.exit(t, "halted", false)
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

func (k *Worker) exit(t *lot, why string, saved bool) {
	if g := k.site.Gangs(); g != nil {
		why = g.gangLeft(t, why)
	}
	t.State, t.Why, t.Saved = "exited", why, saved
	if why == "done" {
		k.site.Observer().Done(t.Task, t.spec)
	}
	k.leave(t)
	k.poke()
}

// end ends a task from a timer.
func (k *Worker) end(t *lot, why string, saved bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.State != "exited" && k.find(t.Task, t.Attempt) == t {
		k.exit(t, why, saved)
	}
}

func (k *Worker) begin(task string, attempt uint64) {
	job, index, _ := strings.Cut(task, "/")
	spec := k.site.Job(job)
	t := &lot{Task: task, Attempt: attempt, State: "exited", spec: spec}
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
	case spec == nil && err == nil && k.site.ServesFiles():
		// No user uploaded it: perhaps it came in as a job file.
		t.State, t.spec = "fetching", &Spec{}
		go k.describe(t, job)
	case spec == nil || err != nil || i >= spec.Tasks:
		t.Why = "no_such"
	case busy:
		t.Why = "in_use"
	case cpus+spec.CPUs > k.typ.CPUs || gpus+spec.GPUs > k.typ.GPUs || mem+spec.MemGB > k.typ.MemGB:
		t.Why = "no_room"
	default:
		t.State = "fetching"
		fetch := time.Duration(0)
		if !k.images[spec.Image] {
			fetch = time.Duration(spec.ImageGB / k.typ.FetchGBps * float64(time.Second))
		}
		t.timer = time.AfterFunc(fetch, func() { k.fetched(t) })
	}
	k.poke()
}

func (k *Worker) fetched(t *lot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.State != "fetching" || k.dead || k.find(t.Task, t.Attempt) != t {
		return
	}
	k.images[t.spec.Image] = true
	t.placed = true
	k.site.Observer().Started(k.taskOn(t))
	switch {
	case k.Sick || t.spec.Broken:
		k.exit(t, "error", false)
	case t.spec.Shape == "ensemble":
		t.State = "gathering"
		t.timer = time.AfterFunc(k.site.Timing().GangWait, func() { k.end(t, "alone", false) })
		if g := k.site.Gangs(); g != nil {
			g.gangJoined(t, k)
		}
	default:
		k.run(t)
	}
	k.poke()
}

// run lets a task run; k.mu is held.
func (k *Worker) run(t *lot) {
	t.State, t.runningAt = "running", time.Now()
	if t.spec.Shape == "standing" {
		return
	}
	run := t.spec.RunS
	if _, index, _ := strings.Cut(t.Task, "/"); t.spec.RunOf != nil {
		i, _ := strconv.Atoi(index)
		run = t.spec.RunOf[i]
	}
	t.timer = time.AfterFunc(time.Duration(run*float64(time.Second)), func() { k.end(t, "done", false) })
}

// Running lists the tasks on the machine.
func (k *Worker) Running() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, t := range k.tasks {
		if t.placed {
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
func (k *Worker) Tasks() int {
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
func (k *Worker) Addr() string { return k.at }

// Answered is when its last report that was answered was sent.
func (k *Worker) Answered() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answered
}
