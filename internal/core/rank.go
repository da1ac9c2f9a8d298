package core

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"
)

// correctedEstimate returns the expected run time of a task of the job: the owner's estimate,
// scaled by the ratio of actual to estimated run times that was observed for the job's class.
func (j *job) correctedEstimate() Micros {
	if r := j.class.runRatio; r > 0 {
		return Micros(float64(j.spec.EstimatedRun) * r)
	}
	return j.spec.EstimatedRun
}

// observeRunTime updates the class's ratio of actual to estimated run times after a task ran to
// completion. Tasks that save checkpoints do not count.
func (c *Core) observeRunTime(p *placement, now Micros) {
	if p.runningAt == 0 || p.job.spec.EstimatedRun <= 0 || p.job.spec.CheckpointInterval > 0 {
		return
	}
	p.job.longestRun = max(p.job.longestRun, now-p.runningAt)
	const weight = 0.05
	r := min(max(float64(now-p.runningAt)/float64(p.job.spec.EstimatedRun), 0.2), 5)
	if old := p.job.class.runRatio; old > 0 {
		r = old + weight*(r-old)
	}
	p.job.class.runRatio = r
}

// rankJobs decides which jobs with a deadline can be on time. With more work than capacity,
// earliest deadline first alone makes every job late, because each one runs just too late.
// Therefore, as in the Moore-Hodgson algorithm, whenever a job in deadline order would be late,
// the largest job accepted so far is deferred. The deferred jobs are then ranked in the same way
// against the later limit of the objectives.
func (c *Core) rankJobs(now Micros) {
	var capacity int64
	var jobs []*job
	for _, m := range c.sortedMachines {
		if m.incoming(now) {
			capacity += m.typ.Capacity.CPU // comes up soon
		}
		if c.schedulable(m, now) {
			capacity += m.typ.Capacity.CPU
			for _, p := range m.placements {
				if p.job != nil && p.occupies() && p.job.deadline == 0 {
					capacity -= p.need.CPU
				}
			}
		}
	}
	for _, j := range c.queue {
		if j.deadline > 0 {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 || capacity <= 0 {
		return
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].deadline < jobs[b].deadline })
	changed := false
	setRank := func(j *job, rank int) {
		changed = changed || j.rank != rank
		j.rank = rank
	}
	work := 0.0
	for rank, factor := range []float64{1, max(c.cfg.LateFactor, 1)} {
		var onTime workHeap
		var deferred []*job
		for _, j := range jobs {
			latestEnd := j.submitted + Micros(float64(j.spec.Deadline)*factor)
			if now+j.correctedEstimate() > latestEnd {
				deferred = append(deferred, j) // late whatever else is deferred
				continue
			}
			w := j.remainingWork()
			work += w
			heap.Push(&onTime, jobWork{j, w})
			if now+Micros(work/float64(capacity))+j.correctedEstimate() > latestEnd {
				largest := heap.Pop(&onTime).(jobWork)
				work -= largest.work
				deferred = append(deferred, largest.job)
			}
		}
		for _, o := range onTime {
			setRank(o.job, rank)
		}
		sort.SliceStable(deferred, func(a, b int) bool { return deferred[a].deadline < deferred[b].deadline })
		jobs = deferred
	}
	for i, j := range orderLateJobs(jobs) {
		setRank(j, 2+i)
	}
	if changed {
		sort.SliceStable(c.queue, func(a, b int) bool { return c.queue[a].before(c.queue[b]) })
		c.needsPlacement = true
	}
}

// orderLateJobs returns the jobs that miss every objective and are still wanted, in the order in
// which they run. Shortest remaining work first completes the most jobs and prefers jobs that have
// started, but the largest jobs would wait until all others are done, and in a lasting overload
// for ever. Therefore the same amount of work is taken in order of age, whatever the size.
func orderLateJobs(jobs []*job) []*job {
	byWork := make([]jobWork, len(jobs))
	for i, j := range jobs {
		byWork[i] = jobWork{j, j.remainingWork()}
	}
	byAge := slices.Clone(byWork)
	slices.SortStableFunc(byWork, func(a, b jobWork) int { return cmp.Compare(a.work, b.work) })
	slices.SortStableFunc(byAge, func(a, b jobWork) int { return cmp.Compare(a.job.submitted, b.job.submitted) })
	ordered := make([]*job, 0, len(jobs))
	taken := make(map[*job]bool, len(jobs))
	takeNext := func(queue *[]jobWork) float64 {
		for len(*queue) > 0 {
			o := (*queue)[0]
			*queue = (*queue)[1:]
			if !taken[o.job] {
				taken[o.job] = true
				ordered = append(ordered, o.job)
				return o.work
			}
		}
		return 0
	}
	for balance := 0.0; len(ordered) < len(jobs); {
		if balance <= 0 {
			balance += takeNext(&byWork)
		} else {
			balance -= takeNext(&byAge)
		}
	}
	return ordered
}

const (
	// sizeWindow is how many of a class's latest arrays are kept to judge their sizes.
	sizeWindow = 256
	// largeQuantile is the quantile of these sizes from which an array is among the largest.
	largeQuantile = 0.75
)

// observeSize records the number of tasks of an array of the class.
func (k *jobClass) observeSize(tasks int) {
	if len(k.recentSizes) < sizeWindow {
		k.recentSizes = append(k.recentSizes, tasks)
	} else {
		k.recentSizes[k.nextSize] = tasks
	}
	if k.nextSize = (k.nextSize + 1) % sizeWindow; k.nextSize%16 == 0 || len(k.recentSizes) < 16 {
		sorted := slices.Sorted(slices.Values(k.recentSizes))
		k.largeSize, k.medianSize = sorted[int(float64(len(sorted))*largeQuantile)], sorted[len(sorted)/2]
	}
}

// jobWork is a job with its remaining work.
type jobWork struct {
	job  *job
	work float64
}

// workHeap is a heap of jobs, the one with the most remaining work first.
type workHeap []jobWork

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(a, b int) bool { return h[a].work > h[b].work }
func (h workHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(jobWork)) }
func (h *workHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// remainingWork returns the CPU time that the job still needs, in thousandths of a CPU times
// microseconds. A task that is placed counts as half done.
func (j *job) remainingWork() float64 {
	tasks := float64(j.pending) + float64(len(j.live))/2
	if j.suspect() {
		tasks = min(tasks, 1) // a suspect job has one task at a time
	}
	return tasks * float64(j.spec.Resources.CPU) * float64(j.correctedEstimate())
}
