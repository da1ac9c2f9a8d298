package simulator

import (
	"math"
	"sort"
	"strings"
	"time"
)

// What is owed once all troubles are over: each question about a job is answered before
// long, and no job waits beside room for it.
const (
	answerDeadline    = 75 * time.Second
	placementDeadline = 90 * time.Second
)

// Quiet says that no trouble comes after now: from here on liveness is owed.
func (w *World) ExpectLiveness() {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.livenessFrom = time.Now()
	clear(w.checker.unansweredSince)
	clear(w.checker.waitingSince)
}

// unanswered notes that a question about a job had no answer.
func (c *worldChecker) noteUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.livenessFrom.IsZero() || !c.accepted[id] {
		return
	}
	from, ok := c.unansweredSince[id]
	if !ok {
		c.unansweredSince[id] = time.Now()
	} else if time.Since(from) > answerDeadline {
		c.reportViolation("forgotten: no question about %s was answered for %v", id, time.Since(from).Round(time.Second))
		c.unansweredSince[id] = time.Now()
	}
}

// room is a machine that could be given tasks.
type freeMachine struct {
	worker          *Worker
	cpus, gpus, mem float64
}

func (r *freeMachine) fits(s *Spec) bool {
	return s.CPUs <= r.cpus+1e-9 && s.GPUs <= r.gpus+1e-9 && s.MemGB <= r.mem+1e-9
}

func (r *freeMachine) allowed(s *Spec) bool {
	if z, ok := s.Zone.(string); ok && z != r.worker.zone || r.worker.spot && !s.Spot {
		return false
	}
	types, ok := s.Types.([]string)
	if !ok {
		return true
	}
	for _, n := range types {
		if n == r.worker.machineType.Name {
			return true
		}
	}
	return false
}

// rooms lists the machines that are well, with what is free on them.
func (c *worldChecker) freeMachines() []*freeMachine {
	var out []*freeMachine
	for _, k := range c.w.Cloud.Workers() {
		k.mu.Lock()
		r := &freeMachine{k, k.machineType.CPUs, k.machineType.GPUs, k.machineType.MemGB}
		well := !k.dead && !k.inboundLost && !k.outboundLost && !k.hung && !k.FailsTasks && k.spotNotice == nil
		for _, t := range k.tasks {
			if t.State != "exited" && t.spec != nil {
				r.cpus, r.gpus, r.mem = r.cpus-t.spec.CPUs, r.gpus-t.spec.GPUs, r.mem-t.spec.MemGB
			}
		}
		k.mu.Unlock()
		if well {
			out = append(out, r)
		}
	}
	return out
}

// neglected looks for jobs that wait beside room for them: a task of an array or of a
// service beside a machine, a gang beside machines for all its tasks.
func (c *worldChecker) checkNeglected() {
	c.mu.Lock()
	quiet := !c.livenessFrom.IsZero() && c.w.ctx.Err() == nil
	c.mu.Unlock()
	if !quiet {
		return
	}
	rooms := c.freeMachines() // takes the workers' locks, under which they take the checker's
	specs := c.w.allSpecs()
	c.mu.Lock()
	defer c.mu.Unlock()
	on := map[string]int{}
	zones := map[string]map[string]int{}
	for task, k := range c.placements {
		job, _, _ := strings.Cut(task, "/")
		if on[job]++; zones[job] == nil {
			zones[job] = map[string]int{}
		}
		zones[job][k.Zone]++
	}
	ids := make([]string, 0, len(c.accepted))
	for id := range c.accepted {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s := specs[id]
		if s == nil || s.Broken || c.finalStates[id] != "" || on[id]+len(c.doneTasks[id]) >= s.Tasks || !c.couldStart(s, on[id], zones[id], rooms) {
			delete(c.waitingSince, id)
			continue
		}
		from, ok := c.waitingSince[id]
		if !ok {
			c.waitingSince[id] = time.Now()
		} else if time.Since(from) > placementDeadline {
			c.reportViolation("neglected: %s has %d of %d tasks done, %d on machines, and room beside it", id, len(c.doneTasks[id]), s.Tasks, on[id])
			c.waitingSince[id] = time.Now()
		}
	}
}

// hasRoom reports whether one more task of a job could start, or all of a gang.
func (c *worldChecker) couldStart(s *Spec, on int, zones map[string]int, rooms []*freeMachine) bool {
	want := 1
	if s.Shape == "ensemble" {
		if on > 0 {
			return false // it is being put together, or taken apart
		}
		want = s.Tasks
	}
	use := c.usage[s.Team]
	use[0], use[1] = use[0]+s.CPUs*float64(want), use[1]+s.GPUs*float64(want)
	if c.Limit(s.Team).exceededBy(use) {
		return false
	}
	byZone := map[string]int{}
	for _, r := range rooms {
		if !r.allowed(s) || !r.fits(s) {
			continue
		}
		if s.Spread && zones[r.worker.zone]+1 > (s.Tasks+1)/2 {
			continue
		}
		if s.OneZone && len(zones) > 0 && zones[r.worker.zone] == 0 {
			continue
		}
		n := math.Min(r.cpus/max(s.CPUs, 1e-9), r.mem/max(s.MemGB, 1e-9))
		if s.GPUs > 0 {
			n = math.Min(n, r.gpus/s.GPUs)
		}
		zone := ""
		if s.OneZone {
			zone = r.worker.zone
		}
		byZone[zone] += int(math.Min(n+1e-9, 1e6))
	}
	for _, n := range byZone {
		if n >= want {
			return true
		}
	}
	return false
}
