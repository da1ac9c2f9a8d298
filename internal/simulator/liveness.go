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
	answerOwed = 75 * time.Second
	roomOwed   = 90 * time.Second
)

// Quiet says that no trouble comes after now: from here on liveness is owed.
func (w *World) Quiet() {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.quietFrom = time.Now()
	clear(w.check.unheard)
	clear(w.check.waits)
}

// unanswered notes that a question about a job had no answer.
func (c *checker) unanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quietFrom.IsZero() || !c.known[id] {
		return
	}
	from, ok := c.unheard[id]
	if !ok {
		c.unheard[id] = time.Now()
	} else if time.Since(from) > answerOwed {
		c.fail("forgotten: no question about %s was answered for %v", id, time.Since(from).Round(time.Second))
		c.unheard[id] = time.Now()
	}
}

// room is a machine that could be given tasks.
type room struct {
	k               *Worker
	cpus, gpus, mem float64
}

func (r *room) fits(s *Spec) bool {
	return s.CPUs <= r.cpus+1e-9 && s.GPUs <= r.gpus+1e-9 && s.MemGB <= r.mem+1e-9
}

func (r *room) allowed(s *Spec) bool {
	if z, ok := s.Zone.(string); ok && z != r.k.zone || r.k.spot && !s.Spot {
		return false
	}
	types, ok := s.Types.([]string)
	if !ok {
		return true
	}
	for _, n := range types {
		if n == r.k.typ.Name {
			return true
		}
	}
	return false
}

// rooms lists the machines that are well, with what is free on them.
func (c *checker) rooms() []*room {
	var out []*room
	for _, k := range c.w.Cloud.Workers() {
		k.mu.Lock()
		r := &room{k, k.typ.CPUs, k.typ.GPUs, k.typ.MemGB}
		well := !k.dead && !k.deaf && !k.mute && !k.hung && !k.Sick && k.notice == nil
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
func (c *checker) neglected() {
	c.mu.Lock()
	quiet := !c.quietFrom.IsZero() && c.w.ctx.Err() == nil
	c.mu.Unlock()
	if !quiet {
		return
	}
	rooms := c.rooms() // takes the workers' locks, under which they take the checker's
	specs := c.w.allSpecs()
	c.mu.Lock()
	defer c.mu.Unlock()
	on := map[string]int{}
	zones := map[string]map[string]int{}
	for task, k := range c.on {
		job, _, _ := strings.Cut(task, "/")
		if on[job]++; zones[job] == nil {
			zones[job] = map[string]int{}
		}
		zones[job][k.Zone]++
	}
	ids := make([]string, 0, len(c.known))
	for id := range c.known {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s := specs[id]
		if s == nil || s.Broken || c.last[id] != "" || on[id]+len(c.doneT[id]) >= s.Tasks || !c.hasRoom(s, on[id], zones[id], rooms) {
			delete(c.waits, id)
			continue
		}
		from, ok := c.waits[id]
		if !ok {
			c.waits[id] = time.Now()
		} else if time.Since(from) > roomOwed {
			c.fail("neglected: %s has %d of %d tasks done, %d on machines, and room beside it", id, len(c.doneT[id]), s.Tasks, on[id])
			c.waits[id] = time.Now()
		}
	}
}

// hasRoom reports whether one more task of a job could start, or all of a gang.
func (c *checker) hasRoom(s *Spec, on int, zones map[string]int, rooms []*room) bool {
	want := 1
	if s.Shape == "ensemble" {
		if on > 0 {
			return false // it is being put together, or taken apart
		}
		want = s.Tasks
	}
	use := c.use[s.Team]
	use[0], use[1] = use[0]+s.CPUs*float64(want), use[1]+s.GPUs*float64(want)
	if c.Limit(s.Team).passed(use) {
		return false
	}
	byZone := map[string]int{}
	for _, r := range rooms {
		if !r.allowed(s) || !r.fits(s) {
			continue
		}
		if s.Spread && zones[r.k.zone]+1 > (s.Tasks+1)/2 {
			continue
		}
		if s.OneZone && len(zones) > 0 && zones[r.k.zone] == 0 {
			continue
		}
		n := math.Min(r.cpus/max(s.CPUs, 1e-9), r.mem/max(s.MemGB, 1e-9))
		if s.GPUs > 0 {
			n = math.Min(n, r.gpus/s.GPUs)
		}
		zone := ""
		if s.OneZone {
			zone = r.k.zone
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
