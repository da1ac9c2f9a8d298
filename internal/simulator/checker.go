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
type checker struct {
	*Rules
	w *World
}

// Rules watches the rules of the protocol from outside: it knows only what
// users were told and what is on which machine.
type Rules struct {
	Log      func() *slog.Logger
	Now      func() time.Time // of what it is told
	Job      func(id string) *Spec
	Limit    func(team string) Limit
	CancelIn time.Duration
	LastDone func(job string) // called, if set, as the last task of a job is done

	mu     sync.Mutex
	on     map[string]Place      // tasks on machines
	use    map[string][2]float64 // by team
	doneT  map[string]map[int]bool
	known  map[string]bool
	last   map[string]string // the last final state a user was told
	cancel map[string]time.Time
	broken []string
	gone   time.Duration   // the longest from a cancellation told until a task was gone
	goneOf map[string]bool // jobs with tasks then
	starts int
	lapsed int // leases that ran out on machines with tasks
	// Commands to start a task of a job whose user had been told that it is cancelled:
	// how many were executed, and the longest after that.
	startsAfter  int
	startedAfter time.Duration

	off       map[string]bool      // jobs whose users asked to cancel them
	quietFrom time.Time            // no trouble after this; zero: not known
	waits     map[string]time.Time // since when a job waits beside room for it
	unheard   map[string]time.Time // since when no question about a job was answered
}

// NewRules returns rules that have seen nothing; its caller sets the exported fields.
func NewRules() *Rules {
	return &Rules{
		Now: time.Now, on: map[string]Place{}, use: map[string][2]float64{},
		doneT: map[string]map[int]bool{}, known: map[string]bool{}, last: map[string]string{},
		cancel: map[string]time.Time{}, goneOf: map[string]bool{},
		off:   map[string]bool{},
		waits: map[string]time.Time{}, unheard: map[string]time.Time{},
	}
}

func newChecker(w *World) *checker {
	r := NewRules()
	r.Log = func() *slog.Logger { return w.Log }
	r.Job, r.CancelIn, r.LastDone = w.spec, w.cancelIn, func(job string) { go w.lastDone(job) }
	r.Limit = func(name string) Limit {
		for _, t := range w.platform.Params.Teams {
			if t.Name == name {
				return Limit{t.CPUsMax, t.GPUsMax}
			}
		}
		return Limit{}
	}
	return &checker{Rules: r, w: w}
}

// passed reports whether a use is over the limit.
func (l Limit) passed(use [2]float64) bool {
	return l.CPUs > 0 && use[0] > l.CPUs || l.GPUs > 0 && use[1] > l.GPUs
}

func (c *Rules) fail(format string, args ...any) {
	c.Log().Error("rule broken: " + fmt.Sprintf(format, args...))
	if len(c.broken) < 20 {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}

// List lists the rules that were broken.
func (c *Rules) List() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// Started is told that a task has its image, so that it is on its machine.
func (c *Rules) Started(t TaskOn) {
	c.Log().Debug("on machine", "task", t.Task, "attempt", t.Attempt, "machine", t.At.Machine)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if o, ok := c.on[t.Task]; ok {
		c.fail("ran_twice: %s starts on %s while on %s", t.Task, t.At.Machine, o.Machine)
	}
	c.checkPlace(t)
	job, _, _ := strings.Cut(t.Task, "/")
	if at, ok := c.cancel[job]; ok && c.Now().Sub(at) > c.CancelIn {
		c.fail("ran_cancelled: %s starts", t.Task)
	}
	c.on[t.Task] = t.At
	u := c.use[t.Of.Team]
	u[0], u[1] = u[0]+t.Of.CPUs, u[1]+t.Of.GPUs
	c.use[t.Of.Team] = u
	if c.Limit(t.Of.Team).passed(u) {
		c.fail("quota: %s uses %v", t.Of.Team, u)
	}
}

// checkPlace checks that a task's job allows where it starts; c.mu is held.
func (c *Rules) checkPlace(t TaskOn) {
	job, _, _ := strings.Cut(t.Task, "/")
	s := t.Of
	if s.OneZone || s.Spread {
		zone := 0
		for task, o := range c.on {
			if !strings.HasPrefix(task, job+"/") || task == t.Task {
				continue
			}
			if s.OneZone && o.Zone != t.At.Zone {
				c.fail("wrong_place: %s in %s, %s in %s", t.Task, t.At.Zone, task, o.Zone)
			}
			if o.Zone == t.At.Zone {
				zone++
			}
		}
		if s.Spread && zone+1 > (s.Tasks+1)/2 {
			c.fail("wrong_place: %s is one too many in %s", t.Task, t.At.Zone)
		}
	}
	if z, ok := s.Zone.(string); ok && z != t.At.Zone || t.At.Spot && !s.Spot {
		c.fail("wrong_place: %s on %s", t.Task, t.At.Machine)
	}
	if types, ok := s.Types.([]string); ok && !slices.Contains(types, t.At.Type) {
		c.fail("wrong_place: %s on a %s", t.Task, t.At.Type)
	}
}

// Left is told that a task is not on its machine any more.
func (c *Rules) Left(t TaskOn) {
	c.Log().Debug("left machine", "task", t.Task, "attempt", t.Attempt, "machine", t.At.Machine, "why", t.Why)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.on[t.Task] == t.At {
		delete(c.on, t.Task)
		job, _, _ := strings.Cut(t.Task, "/")
		if at, ok := c.cancel[job]; ok {
			c.gone = max(c.gone, c.Now().Sub(at))
			c.goneOf[job] = true
		}
	}
	u := c.use[t.Of.Team]
	u[0], u[1] = u[0]-t.Of.CPUs, u[1]-t.Of.GPUs
	c.use[t.Of.Team] = u
}

// Done is told that a task of a job was done; of is nil if that is all that is known.
func (c *Rules) Done(task string, of *Spec) {
	job, index, _ := strings.Cut(task, "/")
	i, _ := strconv.Atoi(index)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneT[job] == nil {
		c.doneT[job] = map[int]bool{}
	}
	if of != nil && !c.doneT[job][i] && len(c.doneT[job])+1 == of.Tasks && c.LastDone != nil {
		c.LastDone(job)
	}
	c.doneT[job][i] = true
}

// Ordered notes that a worker executes a command to start a task.
func (c *Rules) Ordered(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, "/")
	if at, ok := c.cancel[job]; ok {
		c.startsAfter++
		c.startedAfter = max(c.startedAfter, c.Now().Sub(at))
	}
}

// StartsAfter counts the commands to start a task that were executed after the job's user
// had been told that it is cancelled, and says the longest that one came after that.
func (w *World) StartsAfter() (starts int, longest time.Duration) {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return w.check.startsAfter, w.check.startedAfter
}

// Accepted notes that a user was told that a job is accepted.
func (c *Rules) Accepted(id string) {
	c.mu.Lock()
	c.known[id] = true
	c.mu.Unlock()
}

// CallsOff notes that a job's user asks to cancel it.
func (c *Rules) CallsOff(id string) {
	c.mu.Lock()
	c.off[id] = true
	c.mu.Unlock()
}

// twice notes that a job that was accepted is accepted as new.
func (c *Rules) twice(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail("forgotten: %s was accepted and is taken as new", id)
}

// Refused notes that a submission was refused for good.
func (c *Rules) Refused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[id] {
		c.fail("forgotten: %s was accepted and its retry answered %d", id, status)
	}
}

// Asked is what a user had been told of a job when it asked: answers to questions that
// were under way together may come in any order.
type Asked struct {
	known bool
	last  string
}

// Asks is what a user has been told of a job as it asks about it.
func (c *Rules) Asks(id string) Asked {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Asked{c.known[id], c.last[id]}
}

func (c *checker) told(id, state string, before Asked) {
	if c.Takes(id, state, before) {
		c.w.look(id)
	}
}

// Takes takes what a user was told and reports whether it is a final state told first.
func (c *Rules) Takes(id, state string, before Asked) (first bool) {
	spec := c.Job(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unheard, id)
	first = c.last[id] == "" && (state == "done" || state == "aborted")
	switch {
	case state == "unknown" && before.known:
		c.fail("forgotten: %s", id)
	case state != "unknown" && spec == nil:
		c.fail("invented: %s is %s", id, state)
	}
	l := before.last
	if state == "done" || state == "aborted" {
		l = c.last[id] // it is for good
	}
	if l != "" && l != state {
		c.fail("went_back: %s was %s, now %s", id, l, state)
	}
	switch state {
	case "done":
		if len(c.doneT[id]) < spec.Tasks {
			c.fail("not_done: %s, %d of %d tasks", id, len(c.doneT[id]), spec.Tasks)
		}
		c.last[id] = state
	case "aborted":
		if !c.off[id] {
			c.fail("went_back: %s is called cancelled, and its user did not ask for that", id)
		}
		if c.last[id] == "" {
			c.cancel[id] = c.Now()
		}
		c.last[id] = state
	}
	return first
}

// Expired notes that a worker's lease runs out.
func (c *Rules) Expired(m Place, session uint64, tasks []TaskOn) {
	c.Log().Debug("lease over", "machine", m.Machine, "session", session, "tasks", len(tasks))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(tasks) > 0 {
		c.lapsed++
	}
}

// Lapsed counts the leases that ran out on machines with tasks.
func (w *World) Lapsed() int {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return w.check.lapsed
}

// Gone says of how many jobs tasks were on machines when their cancellation was told,
// and the longest that it took until the last of them was gone.
func (w *World) Gone() (jobs int, longest time.Duration) {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return len(w.check.goneOf), w.check.gone
}

// CheckCancelled looks for tasks of cancelled jobs that are still on machines.
func (c *Rules) CheckCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.on {
		job, _, _ := strings.Cut(task, "/")
		if at, ok := c.cancel[job]; ok && c.Now().Sub(at) > c.CancelIn {
			c.fail("ran_cancelled: %s is still there", task)
		}
	}
}

// watch checks once a second what nobody tells.
func (c *checker) watch() {
	for c.w.ctx.Err() == nil {
		time.Sleep(time.Second)
		c.CheckCancelled()
		c.neglected()
	}
}

// Starts counts the tasks that were started.
func (w *World) Starts() int {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return w.check.starts
}
