package core

import "strings"

type taskStatus uint8

const (
	taskPending taskStatus = iota
	taskPlaced
	taskDone
)

// job is an unfinished job and the state of its tasks.
type job struct {
	spec         JobSpec
	record       JobRecord
	team         *team
	class        *jobClass
	imageID      int
	typesKey     string // the allowed machine types as one string, which is fast to compare
	deadline     Micros // monotonic clock; 0: none
	rank         int    // 0: can meet its deadline or has none; higher ranks come later; see rankJobs
	submitted    Micros // monotonic clock
	readyAt      Micros // monotonic clock: from when on its tasks could start
	lastPlacedAt Micros // when a task was last placed
	starving     bool   // see updateStarving

	status       []taskStatus
	live         map[int]*placement // by task index, the placement that counts for the task
	duplicates   []*placement       // other placements of the same tasks that machines have reported; see adopt
	unrecorded   []*placement       // completed placements whose completion is not recorded yet
	running      int
	placedByZone map[string]int // number of placements that occupy resources, by zone
	requeued     []int          // tasks that became pending again
	cursor       int            // where nextPending's scan continues; pending tasks before it are in requeued
	pending      int
	done         int
	occupying    int // number of placements that occupy resources, including those to be stopped

	mayHaveStarted bool   // it is recorded that tasks may have been started
	startedRetryAt Micros // the started record is not written before this time
	writingStarted bool   // a write of the started record is in flight
	unaccounted    bool   // an earlier leader may have started tasks that no machine has reported yet

	dirtyChunks        map[int]bool    // chunks with completions since their last write
	completionKeys     map[string]bool // keys that may hold a completion record
	unacknowledged     map[int]int     // by chunk, the number of writes of its completions without an answer
	completionQueued   bool            // the job is in Core.completionQueue
	writingCompletions bool            // a write of completion records is in flight
	writingFinal       bool            // a write of the final record is in flight
	nextWriteAt        Micros          // no completions or final record are written before this time
	cancelled          bool
	cancelledAt        Micros // approximate
	allStarted         bool   // each task has been reported as running or done

	gangAttempt           uint64 // attempt number of the gang's current start
	lastRunAttempt        uint64 // attempt whose tasks were last reported as running
	waitingSince          Micros // since when a gang waits for capacity; 0: not waiting
	incompleteSince       Micros // since when a gang that has not started lacks a task; 0: it lacks none
	stopping              bool   // the gang is being stopped
	failedOn              map[string]bool
	firstStart, lastStart Micros // times at which the first and the last start of a task were reported
	longestRun            Micros

	notBefore Micros // end of the back-off after failures
	backoffs  int    // number of back-offs
	proven    bool   // a task of the job ran well; see failure_attribution.go
}

// newJob returns a job whose tasks are all pending. submitted is the time of its submission by the
// monotonic clock.
func newJob(rec JobRecord, submitted Micros) *job {
	j := &job{
		spec: rec.Spec, record: rec, submitted: submitted, readyAt: submitted + rec.ReadyAt() - rec.SubmittedAt, typesKey: strings.Join(rec.Spec.Types, " "),
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

// nextPending returns the index of the pending task to place next, or -1 if none is pending. The
// task stays pending.
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

// pendingTasks returns the indexes of the pending tasks.
func (j *job) pendingTasks() []int {
	out := make([]int, 0, j.pending)
	for i, s := range j.status {
		if s == taskPending {
			out = append(out, i)
		}
	}
	return out
}

// setStatus changes the status of a task and updates the counts. A task that is done stays done.
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

// completedRanges returns the completed tasks of a chunk of size tasks, as pairs of the first and
// the last index of each range.
func (j *job) completedRanges(chunk, size int) []int {
	first := chunk * size
	end := min(first+size, len(j.status))
	var out []int
	for i := first; i < end; i++ {
		if j.status[i] != taskDone {
			continue
		}
		if n := len(out); n > 0 && out[n-1] == i-1 {
			out[n-1] = i
		} else {
			out = append(out, i, i)
		}
	}
	return out
}

// zoneAllowed reports whether the job's zone constraints allow one more task in the zone, given the
// zones of its other tasks.
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

// typeAllowed reports whether the job may run on the machine type with the name.
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

// before reports whether j comes before o in scheduling order: by priority, by rank (jobs that can
// meet their deadline first), by deadline, and by time of submission.
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
