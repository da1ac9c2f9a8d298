package core

import "strings"

type taskStatus uint8

const (
	taskPending taskStatus = iota
	taskPlaced
	taskDone
)

// job is an unfinished job and what is known of its tasks.
type job struct {
	spec         JobSpec
	record       JobRecord
	team         *team
	class        *jobClass
	imageID      int
	typesKey     string // the types that it allows, to be compared quickly
	deadline     Micros // steady clock; 0: none
	rank         int    // 0: on time, then the later the less it is worth; see rankJobs
	submitted    Micros // steady clock
	lastPlacedAt Micros // when a task was last given room
	starving     bool   // see judgeStarving

	status       []taskStatus
	live         map[int]*placement // placements that hold a task
	duplicates   []*placement       // others of the same tasks, which machines have shown, too: see adopt
	unrecorded   []*placement       // completed, and not recorded yet
	running      int
	placedByZone map[string]int // live placements by zone
	requeued     []int          // tasks that became pending again
	cursor       int            // tasks from here on were never placed
	pending      int
	done         int
	occupying    int // placements that hold, wanted or not

	mayHaveStarted bool   // recorded: tasks may have been started
	startedRetryAt Micros // not tried before this
	writingStarted bool   // the record is being written
	unaccounted    bool   // opened by a former leader: unseen tasks may be anywhere

	dirtyChunks        map[int]bool    // chunks whose ranges changed since they were written
	completionKeys     map[string]bool // keys that may have a record of ranges
	unacknowledged     map[int]int     // by chunk, how many writes of its ranges got no answer
	completionQueued   bool            // in Core.ended
	writingCompletions bool            // a write of ranges is out
	writingFinal       bool            // the final record is
	nextWriteAt        Micros          // not before this
	cancelled          bool
	cancelledAt        Micros // about when
	allStarted         bool   // all its tasks have been seen running or done

	gangAttempt           uint64 // of the gang's current start
	lastRunAttempt        uint64 // the attempt whose tasks were last seen running
	waitingSince          Micros // since when a gang waits for room; 0: it does not
	incompleteSince       Micros // since when a gang that has not started lacks a task; 0: it does not
	stopping              bool   // the gang is being stopped
	failedOn              map[string]bool
	firstStart, lastStart Micros // of tasks that were seen running
	longestRun            Micros

	notBefore Micros // back-off after failures
	backoffs  int    // how often it backed off
	proven    bool   // a task of it ran well: see failure_attribution.go
}

func newJob(rec JobRecord, submitted Micros) *job {
	j := &job{
		spec: rec.Spec, record: rec, submitted: submitted, typesKey: strings.Join(rec.Spec.Types, " "),
		status:         make([]taskStatus, rec.Spec.Tasks),
		live:           map[int]*placement{},
		placedByZone:   map[string]int{},
		dirtyChunks:    map[int]bool{},
		completionKeys: map[string]bool{},
		unacknowledged: map[int]int{},
		pending:        rec.Spec.Tasks,
	}
	if rec.Spec.Deadline > 0 {
		j.deadline = submitted + rec.Spec.Deadline
	}
	return j
}

// nextPending returns a pending task without taking it, or -1.
func (j *job) nextPending() int {
	for n := len(j.requeued); n > 0; n = len(j.requeued) {
		if i := j.requeued[n-1]; j.status[i] == taskPending {
			return i
		}
		j.requeued = j.requeued[:n-1]
	}
	for ; j.cursor < len(j.status); j.cursor++ {
		if j.status[j.cursor] == taskPending {
			return j.cursor
		}
	}
	return -1
}

// waitingTasks lists the tasks that are pending.
func (j *job) pendingTasks() []int {
	out := make([]int, 0, j.pending)
	for i, s := range j.status {
		if s == taskPending {
			out = append(out, i)
		}
	}
	return out
}

// set moves a task to a status and keeps the counts.
func (j *job) setStatus(i int, s taskStatus) {
	old := j.status[i]
	if old == s || old == taskDone {
		return
	}
	if old == taskPending {
		j.pending--
	}
	switch s {
	case taskPending:
		j.pending++
		j.requeued = append(j.requeued, i)
	case taskDone:
		j.done++
	}
	j.status[i] = s
}

// ranges lists the finished tasks of a chunk as pairs, relative to its start.
func (j *job) completedRanges(chunk, size int) []int {
	lo := chunk * size
	hi := min(lo+size, len(j.status))
	var out []int
	for i := lo; i < hi; i++ {
		if j.status[i] != taskDone {
			continue
		}
		if n := len(out); n > 0 && out[n-1] == i-lo-1 {
			out[n-1] = i - lo
		} else {
			out = append(out, i-lo, i-lo)
		}
	}
	return out
}

// zoneAllowed reports whether one more task may run in the zone, given where
// the job's other tasks are.
func (j *job) zoneAllowed(zone string) bool {
	if j.spec.Zone != "" && j.spec.Zone != zone {
		return false
	}
	if j.spec.OneZone {
		for z, n := range j.placedByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.spec.Spread && j.placedByZone[zone] >= (j.spec.Tasks+1)/2 {
		return false
	}
	return true
}

func (s *JobSpec) typeAllowed(name string) bool {
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == name {
			return true
		}
	}
	return false
}

// before is the order in which jobs are given room: by priority, then those
// that can be on time, the earliest deadline, and the order of submission.
func (j *job) before(o *job) bool {
	if j.spec.Priority != o.spec.Priority {
		return j.spec.Priority > o.spec.Priority
	}
	if j.rank != o.rank {
		return j.rank < o.rank
	}
	a, b := j.deadline, o.deadline
	if a != b && a > 0 && b > 0 {
		return a < b
	}
	if (a > 0) != (b > 0) {
		return a > 0
	}
	if j.submitted != o.submitted {
		return j.submitted < o.submitted
	}
	return j.spec.ID < o.spec.ID
}
