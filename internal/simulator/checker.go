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

// Limit is the most that a team may use at once; 0 means no limit.
type Limit struct{ CPUs, GPUs float64 }

// worldChecker is a Checker of a World. It adds the liveness checks, which need the state of the
// simulated machines.
type worldChecker struct {
	*Checker
	w *World
}

// Checker checks the protocol's invariants from outside. It uses only what users were told and
// which tasks are on which machine, and nothing from inside the controllers.
type Checker struct {
	Log            func() *slog.Logger
	Now            func() time.Time // the time of the event that is being reported
	Job            func(id string) *Spec
	Limit          func(team string) Limit
	CancelTimeout  time.Duration    // how long tasks may run after their job's cancellation was reported
	OnLastTaskDone func(job string) // if set, called when the last task of a job is done

	mu            sync.Mutex
	placements    map[string]MachineInfo  // the machine of each task that is on one
	usage         map[string][2]float64   // CPUs and GPUs in use, by team
	doneTasks     map[string]map[int]bool // indices of done tasks, by job
	accepted      map[string]bool         // jobs whose users were told that they are accepted
	finalStates   map[string]string       // the last final state that users were told, by job
	cancelledAt   map[string]time.Time    // when users were first told that a job is cancelled
	violations    []string
	longestStop   time.Duration   // the longest time from a reported cancellation to a task's exit
	stoppedJobs   map[string]bool // jobs that had tasks on machines when their cancellation was reported
	startCount    int
	leasesExpired int // leases that ran out on machines with tasks
	// Start commands that were executed although the job's user had been told that it is cancelled:
	// their number, and the longest time from that answer to the execution.
	startsAfterCancel      int
	latestStartAfterCancel time.Duration
	forgottenStartsRefused int // refused commands that start attempts which their machine has forgotten

	cancelRequested map[string]bool      // jobs whose users requested cancellation
	livenessFrom    time.Time            // liveness is checked from here on; zero: not checked
	waitingSince    map[string]time.Time // since when a job has waited although there is capacity for it
	unansweredSince map[string]time.Time // since when no request about a job was answered
	withheldSince   map[string]withheld  // since when and why a leader places nothing on a healthy machine
}

// NewChecker returns a checker that has observed nothing. The caller sets the exported fields.
func NewChecker() *Checker {
	return &Checker{
		Now: time.Now, placements: map[string]MachineInfo{}, usage: map[string][2]float64{},
		doneTasks: map[string]map[int]bool{}, accepted: map[string]bool{}, finalStates: map[string]string{},
		cancelledAt: map[string]time.Time{}, stoppedJobs: map[string]bool{},
		cancelRequested: map[string]bool{},
		waitingSince:    map[string]time.Time{}, unansweredSince: map[string]time.Time{},
		withheldSince: map[string]withheld{},
	}
}

// newWorldChecker returns a checker that uses the limits of the world's platform file.
func newWorldChecker(w *World) *worldChecker {
	c := NewChecker()
	c.Log = func() *slog.Logger { return w.Log }
	c.Job, c.CancelTimeout, c.OnLastTaskDone = w.spec, w.cancelTimeout, func(job string) { go w.notifyLastTaskDone(job) }
	c.Limit = func(name string) Limit {
		for _, t := range w.platform.Params.Teams {
			if t.Name == name {
				return Limit{t.CPUsMax, t.GPUsMax}
			}
		}
		return Limit{}
	}
	return &worldChecker{Checker: c, w: w}
}

// exceededBy reports whether a usage, in CPUs and GPUs, is over the limit.
func (previous Limit) exceededBy(usage [2]float64) bool {
	return previous.CPUs > 0 && usage[0] > previous.CPUs || previous.GPUs > 0 && usage[1] > previous.GPUs
}

// reportViolation logs a violation and records it, up to 20 of them; c.mu is held. The format
// begins with the name of the invariant and a colon.
func (c *Checker) reportViolation(format string, args ...any) {
	c.Log().Error("invariant violated: " + fmt.Sprintf(format, args...))
	if len(c.violations) < 20 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// Violations returns the recorded violations, at most 20.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// TaskStarted records that a task has its image, and so counts as being on its machine. It checks
// that the task is nowhere else, that its job allows the machine, and the team's limit.
func (c *Checker) TaskStarted(t TaskOnMachine) {
	c.Log().Debug("on machine", "task", t.Task, "attempt", t.Attempt, "machine", t.Host.Machine)
	dependencies := c.dependencyTasks(t.Spec)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	if id := c.unfinished(dependencies); id != "" {
		c.reportViolation("too_early: %s starts before %s is done", t.Task, id)
	}
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

// checkPlace checks that a task's job allows the machine on which it starts; c.mu is held.
func (c *Checker) checkPlace(t TaskOnMachine) {
	job, _, _ := strings.Cut(t.Task, "/")
	s := t.Spec
	if s.OneZone || s.Spread {
		inZone := 0
		for task, o := range c.placements {
			if !strings.HasPrefix(task, job+"/") || task == t.Task {
				continue
			}
			if s.OneZone && o.Zone != t.Host.Zone {
				c.reportViolation("wrong_place: %s in %s, %s in %s", t.Task, t.Host.Zone, task, o.Zone)
			}
			if o.Zone == t.Host.Zone {
				inZone++
			}
		}
		if s.Spread && inZone+1 > (s.Tasks+1)/2 {
			c.reportViolation("wrong_place: %s exceeds the spread limit in %s", t.Task, t.Host.Zone)
		}
	}
	if z, ok := s.Zone.(string); ok && z != t.Host.Zone || t.Host.Spot && !s.Spot {
		c.reportViolation("wrong_place: %s on %s", t.Task, t.Host.Machine)
	}
	if types, ok := s.Types.([]string); ok && !slices.Contains(types, t.Host.Type) {
		c.reportViolation("wrong_place: %s on a %s", t.Task, t.Host.Type)
	}
}

// TaskLeft records that a task is no longer on its machine.
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

// TaskDone records that a task was done. spec may be nil; then the call does not count as the job's
// last task for OnLastTaskDone.
func (c *Checker) TaskDone(task string, spec *Spec) {
	job, index, _ := strings.Cut(task, "/")
	i, _ := strconv.Atoi(index)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneTasks[job] == nil {
		c.doneTasks[job] = map[int]bool{}
	}
	if spec != nil && !c.doneTasks[job][i] && len(c.doneTasks[job])+1 == spec.Tasks && c.OnLastTaskDone != nil {
		c.OnLastTaskDone(job)
	}
	c.doneTasks[job][i] = true
}

// StartExecuted records that a worker executes a command to start a task.
func (c *Checker) StartExecuted(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, "/")
	if at, ok := c.cancelledAt[job]; ok {
		c.startsAfterCancel++
		c.latestStartAfterCancel = max(c.latestStartAfterCancel, c.Now().Sub(at))
	}
}

// ForgottenStart records that a command arrived which starts an attempt that the machine was told to
// forget, and checks that it was refused: no controller sends one, so it is a copy.
func (c *Checker) ForgottenStart(t TaskOnMachine, executed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if executed {
		c.reportViolation("restarted: %s attempt %d starts on %s after it was forgotten", t.Task, t.Attempt, t.Host.Machine)
		return
	}
	c.forgottenStartsRefused++
}

// ForgottenStartsRefused returns the number of refused commands that would have started attempts
// which their machine had forgotten.
func (w *World) ForgottenStartsRefused() int {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.checker.forgottenStartsRefused
}

// StartsAfterCancel returns the number of start commands that were executed after the job's user
// had been told that it is cancelled, and the longest time from that answer to the execution.
func (w *World) StartsAfterCancel() (starts int, longest time.Duration) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.checker.startsAfterCancel, w.checker.latestStartAfterCancel
}

// JobAccepted records that a user was told that a job is accepted.
func (c *Checker) JobAccepted(id string) {
	c.mu.Lock()
	c.accepted[id] = true
	c.mu.Unlock()
}

// CancelRequested records that a job's user requests its cancellation.
func (c *Checker) CancelRequested(id string) {
	c.mu.Lock()
	c.cancelRequested[id] = true
	c.mu.Unlock()
}

// acceptedTwice reports the violation that an accepted job was accepted again as a new one.
func (c *Checker) acceptedTwice(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation("forgotten: %s was accepted and is accepted again as new", id)
}

// JobRefused records that a submission was refused for good. That is a violation if the job was
// accepted.
func (c *Checker) JobRefused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted[id] {
		c.reportViolation("forgotten: %s was accepted and its retry was answered with %d", id, status)
	}
}

// ObservedState is what a user had been told about a job when it sent a request. An answer is
// compared with that, because answers to concurrent requests may arrive in any order.
type ObservedState struct {
	accepted bool
	final    string // "" if no final state was told
}

// LastObserved returns what users have been told about a job so far.
func (c *Checker) LastObserved(id string) ObservedState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ObservedState{c.accepted[id], c.finalStates[id]}
}

// noteState records a state that a user was told, and calls the OnUserState callback if it is the
// job's first final state.
func (c *worldChecker) noteState(id, state string, before ObservedState) {
	if c.ObserveState(id, state, before) {
		c.w.notifyUserState(id)
	}
}

// ObserveState checks a state that a user was told against what was told before, and reports
// whether it is the job's first final state.
func (c *Checker) ObserveState(id, state string, before ObservedState) (first bool) {
	spec, ancestors := c.Job(id), c.ancestors(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unansweredSince, id)
	c.checkOrphaned(id, state, ancestors)
	first = c.finalStates[id] == "" && (state == "done" || state == "aborted")
	switch {
	case state == "unknown" && before.accepted:
		c.reportViolation("forgotten: %s", id)
	case state != "unknown" && spec == nil:
		c.reportViolation("invented: %s is %s", id, state)
	}
	previous := before.final
	if state == "done" || state == "aborted" {
		previous = c.finalStates[id] // a final state never changes, whatever the order of the answers
	}
	if previous != "" && previous != state {
		c.reportViolation("went_back: %s was %s, now %s", id, previous, state)
	}
	switch state {
	case "done":
		if len(c.doneTasks[id]) < spec.Tasks {
			c.reportViolation("not_done: %s, %d of %d tasks", id, len(c.doneTasks[id]), spec.Tasks)
		}
		c.finalStates[id] = state
	case "aborted":
		if !c.mayBeCancelled(id, ancestors) {
			c.reportViolation("went_back: %s is reported as cancelled, but its user did not request that", id)
		}
		if c.finalStates[id] == "" {
			c.cancelledAt[id] = c.Now()
		}
		c.finalStates[id] = state
	}
	return first
}

// LeaseExpired records that the lease of a worker's session runs out.
func (c *Checker) LeaseExpired(m MachineInfo, session uint64, tasks []TaskOnMachine) {
	c.Log().Debug("lease over", "machine", m.Machine, "session", session, "tasks", len(tasks))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(tasks) > 0 {
		c.leasesExpired++
	}
}

// LeasesExpired returns the number of leases that ran out on machines with tasks.
func (w *World) LeasesExpired() int {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.checker.leasesExpired
}

// CancellationDelay returns the number of jobs that had tasks on machines when their cancellation
// was reported, and the longest time until the last of these tasks left its machine.
func (w *World) CancellationDelay() (jobs int, longest time.Duration) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return len(w.checker.stoppedJobs), w.checker.longestStop
}

// CheckCancelled reports tasks that are still on machines CancelTimeout after their job's
// cancellation was reported.
func (c *Checker) CheckCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.placements {
		job, _, _ := strings.Cut(task, "/")
		if at, ok := c.cancelledAt[job]; ok && c.Now().Sub(at) > c.CancelTimeout {
			c.reportViolation("ran_cancelled: %s is still on its machine", task)
		}
	}
}

// checkPeriodically runs once a second the checks that no event triggers, until the world is
// closed.
func (c *worldChecker) checkPeriodically() {
	for c.w.ctx.Err() == nil {
		time.Sleep(time.Second)
		c.CheckCancelled()
		c.checkNeglected()
		c.checkWithheld()
		c.checkLateTransactions()
	}
}

// TaskStarts returns the number of tasks that were started.
func (w *World) TaskStarts() int {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.checker.startCount
}
