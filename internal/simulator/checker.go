package simulator

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limit is what a team may use at most; 0 for none.
type Limit struct{ CPUs, GPUs float64 }

// checker watches the rules of the protocol in a world, with what only that knows.
type worldChecker struct {
	*Checker
	w *World
}

// Rules watches the rules of the protocol from outside: it knows only what
// users were told and what is on which machine.
type Checker struct {
	Log            func() *slog.Logger
	Now            func() time.Time // of what it is told
	Job            func(id string) *Spec
	Limit          func(team string) Limit
	CancelTimeout  time.Duration
	OnLastTaskDone func(job string) // called, if set, as the last task of a job is done

	mu            sync.Mutex
	placements    map[string]MachineInfo // tasks on machines
	usage         map[string][2]float64  // by team
	doneTasks     map[string]map[int]bool
	accepted      map[string]bool
	finalStates   map[string]string // the last final state a user was told
	cancelledAt   map[string]time.Time
	violations    []string
	longestStop   time.Duration   // the longest from a cancellation told until a task was gone
	stoppedJobs   map[string]bool // jobs with tasks then
	startCount    int
	leasesExpired int // leases that ran out on machines with tasks
	// Commands to start a task of a job whose user had been told that it is cancelled:
	// how many were executed, and the longest after that.
	startsAfterCancel      int
	latestStartAfterCancel time.Duration

	cancelRequested map[string]bool      // jobs whose users asked to cancel them
	livenessFrom    time.Time            // no trouble after this; zero: not known
	waitingSince    map[string]time.Time // since when a job waits beside room for it
	unansweredSince map[string]time.Time // since when no question about a job was answered
}

// NewRules returns rules that have seen nothing; its caller sets the exported fields.
func NewChecker() *Checker {
	return &Checker{
		Now: time.Now, placements: map[string]MachineInfo{}, usage: map[string][2]float64{},
		doneTasks: map[string]map[int]bool{}, accepted: map[string]bool{}, finalStates: map[string]string{},
		cancelledAt: map[string]time.Time{}, stoppedJobs: map[string]bool{},
		cancelRequested: map[string]bool{},
		waitingSince:    map[string]time.Time{}, unansweredSince: map[string]time.Time{},
	}
}

func newWorldChecker(w *World) *worldChecker {
	r := NewChecker()
	r.Log = func() *slog.Logger { return w.Log }
	r.Job, r.CancelTimeout, r.OnLastTaskDone = w.spec, w.cancelTimeout, func(job string) { go w.notifyLastTaskDone(job) }
	r.Limit = func(name string) Limit {
		for _, t := range w.platform.Params.Teams {
			if t.Name == name {
				return Limit{t.CPUsMax, t.GPUsMax}
			}
		}
		return Limit{}
	}
	return &worldChecker{Checker: r, w: w}
}

// passed reports whether a use is over the limit.
func (l Limit) exceededBy(use [2]float64) bool {
	return l.CPUs > 0 && use[0] > l.CPUs || l.GPUs > 0 && use[1] > l.GPUs
}

func (c *Checker) reportViolation(format string, args ...any) {
	c.Log().Error("rule broken: " + fmt.Sprintf(format, args...))
	if len(c.violations) < 20 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// List lists the rules that were broken.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Started is told that a task has its image, so that it is on its machine.
func (c *Checker) TaskStarted(t TaskOnMachine) {
	c.Log().Debug("on machine", "task", t.Task, "attempt", t.Attempt, "machine", t.Host.Machine)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	if o, ok := c.placements[t.Task]; ok {
		c.reportViolation("ran_twice: %s starts on %s while on %s", t.Task, t.Host.Machine, o.Machine)
	}
	c.checkPlace(t)
	job, _, _ := strings.Cut(t.Task, "/")
	if at, ok := c.cancelledAt[job]; ok && c.Now().Sub(at) > c.CancelTimeout {
		c.reportViolation("ran_cancelled: %s starts", t.Task)
	}
	c.placements[t.Task] = t.Host
	u := c.usage[t.Spec.Team]
	u[0], u[1] = u[0]+t.Spec.CPUs, u[1]+t.Spec.GPUs
	c.usage[t.Spec.Team] = u
	if c.Limit(t.Spec.Team).exceededBy(u) {
		c.reportViolation("quota: %s uses %v", t.Spec.Team, u)
	}
}

// checkPlace checks that a task's job allows where it starts; c.mu is held.
func (c *Checker) checkPlace(t TaskOnMachine) {
	job, _, _ := strings.Cut(t.Task, "/")
	s := t.Spec
	if s.OneZone || s.Spread {
		zone := 0
		for task, o := range c.placements {
			if !strings.HasPrefix(task, job+"/") || task == t.Task {
				continue
			}
			if s.OneZone && o.Zone != t.Host.Zone {
				c.reportViolation("wrong_place: %s in %s, %s in %s", t.Task, t.Host.Zone, task, o.Zone)
			}
			if o.Zone == t.Host.Zone {
				zone++
			}
		}
		if s.Spread && zone+1 > (s.Tasks+1)/2 {
			c.reportViolation("wrong_place: %s is one too many in %s", t.Task, t.Host.Zone)
		}
	}
	if z, ok := s.Zone.(string); ok && z != t.Host.Zone || t.Host.Spot && !s.Spot {
		c.reportViolation("wrong_place: %s on %s", t.Task, t.Host.Machine)
	}
	if types, ok := s.Types.([]string); ok && !slices.Contains(types, t.Host.Type) {
		c.reportViolation("wrong_place: %s on a %s", t.Task, t.Host.Type)
	}
}

// Left is told that a task is not on its machine any more.
func (c *Checker) TaskLeft(t TaskOnMachine) {
	c.Log().Debug("left machine", "task", t.Task, "attempt", t.Attempt, "machine", t.Host.Machine, "why", t.Cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placements[t.Task] == t.Host {
		delete(c.placements, t.Task)
		job, _, _ := strings.Cut(t.Task, "/")
		if at, ok := c.cancelledAt[job]; ok {
			c.longestStop = max(c.longestStop, c.Now().Sub(at))
			c.stoppedJobs[job] = true
		}
	}
	u := c.usage[t.Spec.Team]
	u[0], u[1] = u[0]-t.Spec.CPUs, u[1]-t.Spec.GPUs
	c.usage[t.Spec.Team] = u
}

// Done is told that a task of a job was done; of is nil if that is all that is known.
func (c *Checker) TaskDone(task string, of *Spec) {
	job, index, _ := strings.Cut(task, "/")
	i, _ := strconv.Atoi(index)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneTasks[job] == nil {
		c.doneTasks[job] = map[int]bool{}
	}
	if of != nil && !c.doneTasks[job][i] && len(c.doneTasks[job])+1 == of.Tasks && c.OnLastTaskDone != nil {
		c.OnLastTaskDone(job)
	}
	c.doneTasks[job][i] = true
}

// Ordered notes that a worker executes a command to start a task.
func (c *Checker) StartExecuted(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, "/")
	if at, ok := c.cancelledAt[job]; ok {
		c.startsAfterCancel++
		c.latestStartAfterCancel = max(c.latestStartAfterCancel, c.Now().Sub(at))
	}
}

// StartsAfter counts the commands to start a task that were executed after the job's user
// had been told that it is cancelled, and says the longest that one came after that.
func (w *World) StartsAfterCancel() (starts int, longest time.Duration) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.checker.startsAfterCancel, w.checker.latestStartAfterCancel
}

// Accepted notes that a user was told that a job is accepted.
func (c *Checker) JobAccepted(id string) {
	c.mu.Lock()
	c.accepted[id] = true
	c.mu.Unlock()
}

// CallsOff notes that a job's user asks to cancel it.
func (c *Checker) CancelRequested(id string) {
	c.mu.Lock()
	c.cancelRequested[id] = true
	c.mu.Unlock()
}

// twice notes that a job that was accepted is accepted as new.
func (c *Checker) acceptedTwice(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation("forgotten: %s was accepted and is taken as new", id)
}

// Refused notes that a submission was refused for good.
func (c *Checker) JobRefused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted[id] {
		c.reportViolation("forgotten: %s was accepted and its retry answered %d", id, status)
	}
}

// Asked is what a user had been told of a job when it asked: answers to questions that
// were under way together may come in any order.
type ObservedState struct {
	accepted bool
	final    string
}

// Asks is what a user has been told of a job as it asks about it.
func (c *Checker) LastObserved(id string) ObservedState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ObservedState{c.accepted[id], c.finalStates[id]}
}

func (c *worldChecker) noteState(id, state string, before ObservedState) {
	if c.ObserveState(id, state, before) {
		c.w.notifyUserState(id)
	}
}

// Takes takes what a user was told and reports whether it is a final state told first.
func (c *Checker) ObserveState(id, state string, before ObservedState) (first bool) {
	spec := c.Job(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unansweredSince, id)
	first = c.finalStates[id] == "" && (state == "done" || state == "aborted")
	switch {
	case state == "unknown" && before.accepted:
		c.reportViolation("forgotten: %s", id)
	case state != "unknown" && spec == nil:
		c.reportViolation("invented: %s is %s", id, state)
	}
	l := before.final
	if state == "done" || state == "aborted" {
		l = c.finalStates[id] // it is for good
	}
	if l != "" && l != state {
		c.reportViolation("went_back: %s was %s, now %s", id, l, state)
	}
	switch state {
	case "done":
		if len(c.doneTasks[id]) < spec.Tasks {
			c.reportViolation("not_done: %s, %d of %d tasks", id, len(c.doneTasks[id]), spec.Tasks)
		}
		c.finalStates[id] = state
	case "aborted":
		if !c.cancelRequested[id] {
			c.reportViolation("went_back: %s is called cancelled, and its user did not ask for that", id)
		}
		if c.finalStates[id] == "" {
			c.cancelledAt[id] = c.Now()
		}
		c.finalStates[id] = state
	}
	return first
}

// Expired notes that a worker's lease runs out.
func (c *Checker) LeaseExpired(m MachineInfo, session uint64, tasks []TaskOnMachine) {
	c.Log().Debug("lease over", "machine", m.Machine, "session", session, "tasks", len(tasks))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(tasks) > 0 {
		c.leasesExpired++
	}
}

// Lapsed counts the leases that ran out on machines with tasks.
func (w *World) LeasesExpired() int {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.checker.leasesExpired
}

// Gone says of how many jobs tasks were on machines when their cancellation was told,
// and the longest that it took until the last of them was gone.
func (w *World) CancellationDelay() (jobs int, longest time.Duration) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return len(w.checker.stoppedJobs), w.checker.longestStop
}

// CheckCancelled looks for tasks of cancelled jobs that are still on machines.
func (c *Checker) CheckCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.placements {
		job, _, _ := strings.Cut(task, "/")
		if at, ok := c.cancelledAt[job]; ok && c.Now().Sub(at) > c.CancelTimeout {
			c.reportViolation("ran_cancelled: %s is still there", task)
		}
	}
}

// watch checks once a second what nobody tells.
func (c *worldChecker) checkPeriodically() {
	for c.w.ctx.Err() == nil {
		time.Sleep(time.Second)
		c.CheckCancelled()
		c.checkNeglected()
	}
}

// Starts counts the tasks that were started.
func (w *World) TaskStarts() int {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.checker.startCount
}
