package simulator

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

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

// attemptID identifies an attempt of a task.
type attemptID struct {
	task    string
	attempt uint64
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
	forgottenHere := map[attemptID]bool{} // by an earlier command of the same message
	for _, o := range cmds {
		id := attemptID{o.Task, o.Attempt}
		k.env.Logger().Debug("executed", "machine", k.name, "op", o.Op, "task", o.Task, "attempt", o.Attempt, "token", k.token, "session", k.session)
		t := k.findTask(o.Task, o.Attempt)
		switch {
		case o.Op == "start" && t == nil:
			k.env.Observer().StartExecuted(o.Task)
			if k.forgotten[id] && !forgottenHere[id] {
				k.noteForgottenStart(o, true)
			}
			delete(k.forgotten, id)
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
			k.forgotten[id], forgottenHere[id] = true, true
			for i := range k.tasks {
				if k.tasks[i] == t {
					k.tasks = append(k.tasks[:i:i], k.tasks[i+1:]...)
					break
				}
			}
		}
	}
}

// noteRefusedStarts tells the observer of refused commands that start attempts which the machine was
// told to forget before; k.mu is held.
func (k *Worker) noteRefusedStarts(cmds []command) {
	for _, o := range cmds {
		if o.Op == "start" && k.forgotten[attemptID{o.Task, o.Attempt}] {
			k.noteForgottenStart(o, false)
		}
	}
}

// noteForgottenStart tells the observer of a command that starts an attempt which the machine was told to
// forget before; k.mu is held.
func (k *Worker) noteForgottenStart(o command, executed bool) {
	if observer, ok := k.env.Observer().(ForgottenStartObserver); ok {
		observer.ForgottenStart(TaskOnMachine{Task: o.Task, Attempt: o.Attempt, Host: k.Info()}, executed)
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
