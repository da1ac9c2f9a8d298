package standin

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// checker watches the rules of the protocol from outside: it knows only what
// users were told and what is on which machine.
type checker struct {
	w      *World
	mu     sync.Mutex
	on     map[string]*Worker // tasks on machines
	at     map[string]*Spec
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

func newChecker(w *World) *checker {
	return &checker{
		w: w, on: map[string]*Worker{}, at: map[string]*Spec{}, use: map[string][2]float64{},
		doneT: map[string]map[int]bool{}, known: map[string]bool{}, last: map[string]string{},
		cancel: map[string]time.Time{}, goneOf: map[string]bool{},
		off:   map[string]bool{},
		waits: map[string]time.Time{}, unheard: map[string]time.Time{},
	}
}

func (c *checker) fail(format string, args ...any) {
	c.w.Log.Error("rule broken: " + fmt.Sprintf(format, args...))
	if len(c.broken) < 20 {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}

func (c *checker) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

func (c *checker) started(t *lot, k *Worker) {
	c.w.Log.Debug("on machine", "task", t.Task, "attempt", t.Attempt, "machine", k.name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, _, _ := strings.Cut(t.Task, "/")
	s := t.spec
	if o := c.on[t.Task]; o != nil {
		c.fail("ran_twice: %s starts on %s while on %s", t.Task, k.name, o.name)
	}
	zone := 0
	for task, o := range c.on {
		if strings.HasPrefix(task, job+"/") && task != t.Task {
			if s.OneZone && o.zone != k.zone {
				c.fail("wrong_place: %s in %s, %s in %s", t.Task, k.zone, task, o.zone)
			}
			if o.zone == k.zone {
				zone++
			}
		}
	}
	if s.Spread && zone+1 > (s.Tasks+1)/2 {
		c.fail("wrong_place: %s is one too many in %s", t.Task, k.zone)
	}
	if z, ok := s.Zone.(string); ok && z != k.zone || k.spot && !s.Spot {
		c.fail("wrong_place: %s on %s", t.Task, k.name)
	}
	if types, ok := s.Types.([]string); ok {
		good := false
		for _, n := range types {
			good = good || n == k.typ.Name
		}
		if !good {
			c.fail("wrong_place: %s on a %s", t.Task, k.typ.Name)
		}
	}
	if at, ok := c.cancel[job]; ok && time.Since(at) > c.w.cancelIn {
		c.fail("ran_cancelled: %s starts", t.Task)
	}
	c.on[t.Task], c.at[t.Task] = k, s
	u := c.use[s.Team]
	u[0], u[1] = u[0]+s.CPUs, u[1]+s.GPUs
	c.use[s.Team] = u
	for _, team := range c.w.platform.Params.Teams {
		if team.Name == s.Team && (team.CPUsMax > 0 && u[0] > team.CPUsMax || team.GPUsMax > 0 && u[1] > team.GPUsMax) {
			c.fail("quota: %s uses %v", s.Team, u)
		}
	}
}

func (c *checker) left(t *lot, k *Worker) {
	c.w.Log.Debug("left machine", "task", t.Task, "attempt", t.Attempt, "machine", k.name, "why", t.Why)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.on[t.Task] == k {
		delete(c.on, t.Task)
		job, _, _ := strings.Cut(t.Task, "/")
		if at, ok := c.cancel[job]; ok {
			c.gone = max(c.gone, time.Since(at))
			c.goneOf[job] = true
		}
	}
	u := c.use[t.spec.Team]
	u[0], u[1] = u[0]-t.spec.CPUs, u[1]-t.spec.GPUs
	c.use[t.spec.Team] = u
}

func (c *checker) done(t *lot) {
	job, index, _ := strings.Cut(t.Task, "/")
	i, _ := strconv.Atoi(index)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneT[job] == nil {
		c.doneT[job] = map[int]bool{}
	}
	if t.spec != nil && !c.doneT[job][i] && len(c.doneT[job])+1 == t.spec.Tasks {
		go c.w.lastDone(job)
	}
	c.doneT[job][i] = true
}

// ordered notes that a worker executes a command to start a task.
func (c *checker) ordered(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, "/")
	if at, ok := c.cancel[job]; ok {
		c.startsAfter++
		c.startedAfter = max(c.startedAfter, time.Since(at))
	}
}

// StartsAfter counts the commands to start a task that were executed after the job's user
// had been told that it is cancelled, and says the longest that one came after that.
func (w *World) StartsAfter() (starts int, longest time.Duration) {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return w.check.startsAfter, w.check.startedAfter
}

func (c *checker) accepted(id string) {
	c.mu.Lock()
	c.known[id] = true
	c.mu.Unlock()
}

// callsOff notes that a job's user asks to cancel it.
func (c *checker) callsOff(id string) {
	c.mu.Lock()
	c.off[id] = true
	c.mu.Unlock()
}

// twice notes that a job that was accepted is accepted as new.
func (c *checker) twice(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail("forgotten: %s was accepted and is taken as new", id)
}

func (c *checker) refused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[id] {
		c.fail("forgotten: %s was accepted and its retry answered %d", id, status)
	}
}

// asks is what a user had been told of a job when it asked: answers to questions that
// were under way together may come in any order.
type asks struct {
	known bool
	last  string
}

func (c *checker) asks(id string) asks {
	c.mu.Lock()
	defer c.mu.Unlock()
	return asks{c.known[id], c.last[id]}
}

func (c *checker) told(id, state string, before asks) {
	if c.takes(id, state, before) {
		c.w.look(id)
	}
}

// takes takes what a user was told and reports whether it is a final state told first.
func (c *checker) takes(id, state string, before asks) (first bool) {
	spec := c.w.spec(id)
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
			c.cancel[id] = time.Now()
		}
		c.last[id] = state
	}
	return first
}

// expired notes that a worker's lease runs out; its lock is held.
func (c *checker) expired(k *Worker) {
	c.w.Log.Debug("lease over", "machine", k.name, "session", k.session, "tasks", len(k.tasks))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range k.tasks {
		if t.placed {
			c.lapsed++
			return
		}
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

// watch looks for tasks of cancelled jobs that are still on machines.
func (c *checker) watch() {
	for c.w.ctx.Err() == nil {
		time.Sleep(time.Second)
		c.mu.Lock()
		for task := range c.on {
			job, _, _ := strings.Cut(task, "/")
			if at, ok := c.cancel[job]; ok && time.Since(at) > c.w.cancelIn {
				c.fail("ran_cancelled: %s is still there", task)
			}
		}
		c.mu.Unlock()
		c.neglected()
	}
}

// Starts counts the tasks that were started.
func (w *World) Starts() int {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	return w.check.starts
}
