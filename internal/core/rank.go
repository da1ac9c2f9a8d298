package core

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"
)

// estimate is how long a task of the job will run: the owner's estimate, put
// right by how such estimates of its class have turned out.
func (j *job) correctedEstimate() Micros {
	if r := j.class.runRatio; r > 0 {
		return Micros(float64(j.spec.EstimatedRun) * r)
	}
	return j.spec.EstimatedRun
}

// observe learns from a task that ran to its end.
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

// rankJobs decides which jobs with a deadline can be on time. The earliest
// deadline first alone would, once there is more work than room, make every
// job late: each gets its turn just too late. So, as in Moore and Hodgson's
// rule, whenever a job in that order would be late, the largest so far is put
// behind; and the same again with the later limit of the objectives.
func (c *Core) rankJobs(now Micros) {
	var room int64
	var jobs []*job
	for _, m := range c.sortedMachines {
		if m.incoming(now) {
			room += m.typ.Capacity.CPU // about to come
		}
		if c.schedulable(m, now) {
			room += m.typ.Capacity.CPU
			for _, p := range m.placements {
				if p.job != nil && p.occupies() && p.job.deadline == 0 {
					room -= p.need.CPU
				}
			}
		}
	}
	for _, j := range c.queue {
		if j.deadline > 0 {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 || room <= 0 {
		return
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].deadline < jobs[b].deadline })
	changed := false
	set := func(j *job, rank int) {
		changed = changed || j.rank != rank
		j.rank = rank
	}
	work := 0.0
	for rank, times := range []float64{1, max(c.cfg.LateFactor, 1)} {
		var onTime workHeap
		var late []*job
		for _, j := range jobs {
			due := j.submitted + Micros(float64(j.spec.Deadline)*times)
			if now+j.correctedEstimate() > due {
				late = append(late, j) // it cannot be helped whatever goes
				continue
			}
			w := j.remainingWork()
			work += w
			heap.Push(&onTime, jobWork{j, w})
			if now+Micros(work/float64(room))+j.correctedEstimate() > due {
				worst := heap.Pop(&onTime).(jobWork)
				work -= worst.work
				late = append(late, worst.job)
			}
		}
		for _, o := range onTime {
			set(o.job, rank)
		}
		sort.SliceStable(late, func(a, b int) bool { return late[a].deadline < late[b].deadline })
		jobs = late
	}
	for i, j := range orderLateJobs(jobs) {
		set(j, 2+i)
	}
	if changed {
		sort.SliceStable(c.queue, func(a, b int) bool { return c.queue[a].before(c.queue[b]) })
		c.needsPlacement = true
	}
}

// lateOrder is the order of jobs that are late for every aim and still wanted. The least
// work first gets most of them done, and a job that has begun goes before one that has
// not; but the largest would wait until all others are done, and on a day of overload for
// ever. So as much work is taken by age, whatever its size.
func orderLateJobs(jobs []*job) []*job {
	least := make([]jobWork, len(jobs))
	for i, j := range jobs {
		least[i] = jobWork{j, j.remainingWork()}
	}
	oldest := slices.Clone(least)
	slices.SortStableFunc(least, func(a, b jobWork) int { return cmp.Compare(a.work, b.work) })
	slices.SortStableFunc(oldest, func(a, b jobWork) int { return cmp.Compare(a.job.submitted, b.job.submitted) })
	out := make([]*job, 0, len(jobs))
	taken := make(map[*job]bool, len(jobs))
	next := func(from *[]jobWork) float64 {
		for len(*from) > 0 {
			o := (*from)[0]
			*from = (*from)[1:]
			if !taken[o.job] {
				taken[o.job] = true
				out = append(out, o.job)
				return o.work
			}
		}
		return 0
	}
	for balance := 0.0; len(out) < len(jobs); {
		if balance <= 0 {
			balance += next(&least)
		} else {
			balance -= next(&oldest)
		}
	}
	return out
}

// sizesKept is by how many of its latest arrays a class's sizes are known, and largeFrom
// the share of them that are smaller than its largest.
const (
	sizeWindow    = 256
	largeQuantile = 0.75
)

// seenSize notes the tasks of an array of the class.
func (k *jobClass) observeSize(tasks int) {
	if len(k.recentSizes) < sizeWindow {
		k.recentSizes = append(k.recentSizes, tasks)
	} else {
		k.recentSizes[k.nextSize] = tasks
	}
	if k.nextSize = (k.nextSize + 1) % sizeWindow; k.nextSize%16 == 0 || len(k.recentSizes) < 16 {
		in := slices.Sorted(slices.Values(k.recentSizes))
		k.largeSize, k.medianSize = in[int(float64(len(in))*largeQuantile)], in[len(in)/2]
	}
}

// sized is a job with the work it still needs.
type jobWork struct {
	job  *job
	work float64
}

// largest is a heap with the job that needs the most work on top.
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

// work is the processor time that the job still needs.
func (j *job) remainingWork() float64 {
	tasks := float64(j.pending) + float64(len(j.live))/2
	if j.suspect() {
		tasks = min(tasks, 1) // no more is tried
	}
	return tasks * float64(j.spec.Request.CPU) * float64(j.correctedEstimate())
}
