package simulator

import (
	"math"
	"sort"
	"strings"
	"time"
)

// Liveness bounds once all faults are over.
const (
	answerDeadline    = 75 * time.Second // a request about a job is answered within this time
	placementDeadline = 90 * time.Second // no job waits longer than this while there is capacity for it
)

// ExpectLiveness declares that no fault happens from now on, and starts the liveness checks.
func (w *World) ExpectLiveness() {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.livenessFrom = time.Now()
	clear(w.checker.unansweredSince)
	clear(w.checker.waitingSince)
	clear(w.checker.withheldSince)
}

// noteUnanswered records that a request about a job was not answered, and reports a violation if
// none was answered for answerDeadline.
func (c *worldChecker) noteUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.livenessFrom.IsZero() || !c.accepted[id] {
		return
	}
	since, ok := c.unansweredSince[id]
	if !ok {
		c.unansweredSince[id] = time.Now()
	} else if time.Since(since) > answerDeadline {
		c.reportViolation("forgotten: no question about %s was answered for %v", id, time.Since(since).Round(time.Second))
		c.unansweredSince[id] = time.Now()
	}
}

// freeMachine is a healthy machine with its free resources.
type freeMachine struct {
	worker          *Worker
	cpus, gpus, mem float64
}

// fits reports whether one task of the job fits into the free resources.
func (m *freeMachine) fits(s *Spec) bool {
	return s.CPUs <= m.cpus+1e-9 && s.GPUs <= m.gpus+1e-9 && s.MemGB <= m.mem+1e-9
}

// allowed reports whether the job's constraints (zone, spot, types) allow the machine.
func (m *freeMachine) allowed(s *Spec) bool {
	if z, ok := s.Zone.(string); ok && z != m.worker.zone || m.worker.spot && !s.Spot {
		return false
	}
	types, ok := s.Types.([]string)
	if !ok {
		return true
	}
	for _, n := range types {
		if n == m.worker.machineType.Name {
			return true
		}
	}
	return false
}

// freeMachines returns the machines without a fault or a spot notice, with their free resources.
func (c *worldChecker) freeMachines() []*freeMachine {
	var out []*freeMachine
	for _, k := range c.w.Cloud.Workers() {
		k.mu.Lock()
		m := &freeMachine{k, k.machineType.CPUs, k.machineType.GPUs, k.machineType.MemGB}
		healthy := !k.dead && !k.inboundLost && !k.outboundLost && !k.hung && !k.FailsTasks && k.spotNotice == nil
		for _, t := range k.tasks {
			if t.State != "exited" && t.spec != nil {
				m.cpus, m.gpus, m.mem = m.cpus-t.spec.CPUs, m.gpus-t.spec.GPUs, m.mem-t.spec.MemGB
			}
		}
		k.mu.Unlock()
		if healthy {
			out = append(out, m)
		}
	}
	return out
}

// checkNeglected reports jobs that have waited for placementDeadline although there is capacity for
// them: for arrays and services a machine for one more task, for gangs machines for all tasks.
func (c *worldChecker) checkNeglected() {
	c.mu.Lock()
	livenessExpected := !c.livenessFrom.IsZero() && c.w.ctx.Err() == nil
	c.mu.Unlock()
	if !livenessExpected {
		return
	}
	machines := c.freeMachines() // before c.mu: workers take the checker's lock while they hold their own
	specs := c.w.allSpecs()
	c.mu.Lock()
	defer c.mu.Unlock()
	placed := map[string]int{}
	zones := map[string]map[string]int{}
	for task, k := range c.placements {
		job, _, _ := strings.Cut(task, "/")
		if placed[job]++; zones[job] == nil {
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
		if s != nil && c.waitsForOthers(s, specs) {
			delete(c.waitingSince, id)
			continue
		}
		if s == nil || s.Broken || c.finalStates[id] != "" || placed[id]+len(c.doneTasks[id]) >= s.Tasks || !c.couldStart(s, placed[id], zones[id], machines) {
			delete(c.waitingSince, id)
			continue
		}
		since, ok := c.waitingSince[id]
		if !ok {
			c.waitingSince[id] = time.Now()
		} else if time.Since(since) > placementDeadline {
			c.reportViolation("neglected: %s has %d of %d tasks done, %d on machines, and free capacity for more", id, len(c.doneTasks[id]), s.Tasks, placed[id])
			c.waitingSince[id] = time.Now()
		}
	}
}

// waitsForOthers reports whether a job that the job depends on is not done; c.mu is held.
func (c *worldChecker) waitsForOthers(s *Spec, specs map[string]*Spec) bool {
	for _, id := range s.Awaits {
		if dependency := specs[id]; dependency != nil && len(c.doneTasks[id]) < dependency.Tasks {
			return true
		}
	}
	return false
}

// couldStart reports whether one more task of a job could start, or all tasks of a gang, within the
// team's limit. placed and zones count the job's tasks on machines, in all and by zone.
func (c *worldChecker) couldStart(s *Spec, placed int, zones map[string]int, machines []*freeMachine) bool {
	want := 1
	if s.Shape == "ensemble" {
		if placed > 0 {
			return false // the gang is starting or stopping
		}
		want = s.Tasks
	}
	usage := c.usage[s.Team]
	usage[0], usage[1] = usage[0]+s.CPUs*float64(want), usage[1]+s.GPUs*float64(want)
	if c.Limit(s.Team).exceededBy(usage) {
		return false
	}
	byZone := map[string]int{}
	for _, m := range machines {
		if !m.allowed(s) || !m.fits(s) {
			continue
		}
		if s.Spread && zones[m.worker.zone]+1 > (s.Tasks+1)/2 {
			continue
		}
		if s.OneZone && len(zones) > 0 && zones[m.worker.zone] == 0 {
			continue
		}
		n := math.Min(m.cpus/max(s.CPUs, 1e-9), m.mem/max(s.MemGB, 1e-9))
		if s.GPUs > 0 {
			n = math.Min(n, m.gpus/s.GPUs)
		}
		zone := ""
		if s.OneZone {
			zone = m.worker.zone
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
