package core

import "sort"

// estimate is how long a task of the job will run: the owner's estimate, put
// right by how such estimates of its class have turned out.
func (c *Core) estimate(j *job) Micros {
	if r := c.ratio[j.spec.Class]; r > 0 {
		return Micros(float64(j.spec.Estimate) * r)
	}
	return j.spec.Estimate
}

// observe learns from a task that ran to its end.
func (c *Core) observe(p *placement, now Micros) {
	if p.runningAt == 0 || p.j.spec.Estimate <= 0 || p.j.spec.Checkpoint > 0 {
		return
	}
	p.j.ranLongest = max(p.j.ranLongest, now-p.runningAt)
	const weight = 0.05
	r := min(max(float64(now-p.runningAt)/float64(p.j.spec.Estimate), 0.2), 5)
	if old := c.ratio[p.j.spec.Class]; old > 0 {
		r = old + weight*(r-old)
	}
	c.ratio[p.j.spec.Class] = r
}

// rankJobs decides which jobs with a deadline can be on time. The earliest
// deadline first alone would, once there is more work than room, make every
// job late: each gets its turn just too late. So, as in Moore and Hodgson's
// rule, whenever a job in that order would be late, the largest so far is put
// behind; and the same again with the later limit of the objectives.
func (c *Core) rankJobs(now Micros) {
	var room int64
	var jobs []*job
	for _, m := range c.order {
		if m.booting && !m.returning && m.typ != nil && now-m.seen < 2*m.typ.Boot {
			room += m.typ.Cap.CPU // about to come
		}
		if c.usable(m, now) {
			room += m.typ.Cap.CPU
			for _, p := range m.tasks {
				if p.j != nil && p.holds() && p.j.due == 0 {
					room -= p.need.CPU
				}
			}
		}
	}
	for _, j := range c.queue {
		if j.due > 0 {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 || room <= 0 {
		return
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].due < jobs[b].due })
	changed := false
	work := 0.0
	for rank, times := range []float64{1, max(c.cfg.LateTimes, 1)} {
		var onTime, late []*job
		for _, j := range jobs {
			onTime = append(onTime, j)
			work += c.work(j)
			due := j.submitted + Micros(float64(j.spec.Due)*times)
			if now+Micros(work/float64(room))+c.estimate(j) <= due {
				continue
			}
			worst := len(onTime) - 1
			for i, o := range onTime {
				if c.work(o) > c.work(onTime[worst]) {
					worst = i
				}
			}
			if now+c.estimate(j) > due {
				worst = len(onTime) - 1 // it cannot be helped whatever goes
			}
			work -= c.work(onTime[worst])
			late = append(late, onTime[worst])
			onTime = append(onTime[:worst], onTime[worst+1:]...)
		}
		for _, j := range onTime {
			changed = changed || j.rank != rank
			j.rank = rank
		}
		sort.SliceStable(late, func(a, b int) bool { return late[a].due < late[b].due })
		jobs = late
	}
	for _, j := range jobs {
		changed = changed || j.rank != 2
		j.rank = 2
	}
	if changed {
		sort.SliceStable(c.queue, func(a, b int) bool { return c.queue[a].before(c.queue[b]) })
		c.dirty = true
	}
}

// work is the processor time that a job still needs.
func (c *Core) work(j *job) float64 {
	tasks := float64(j.pending) + float64(len(j.live))/2
	return tasks * float64(j.spec.Need.CPU) * float64(c.estimate(j))
}
