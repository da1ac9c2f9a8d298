package simulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	nomadapi "aspenstall/internal/nomad/httpapi"
)

// AgentToken is what the machines of the world read descriptions with.
const AgentToken = "token of the machines"

// NomadAddr is where a node serves Nomad's clients.
func (w *World) NomadAddr(i int) string { return w.Nodes[i].nomadAddr }

// description is what a machine reads of a job that came in as a job file. Its
// names stand here again, as those of the protocol do.
type description struct {
	Job struct {
		Namespace, ID, Type string
		TaskGroups          []struct {
			Name  string
			Count int
			Tasks []struct {
				Config    map[string]any
				Resources struct{ CPU, Cores, MemoryMB int }
			}
			Spreads []struct{ Attribute string }
		}
		Spreads []struct{ Attribute string }
	}
	Group string
	Meta  map[string]string
}

// spec is the description as if a user had uploaded it. A task runs as long as
// its owner thinks.
func (d *description) toSpec() *Spec {
	for _, g := range d.Job.TaskGroups {
		if g.Name != d.Group {
			continue
		}
		number := func(key string) float64 {
			f, _ := strconv.ParseFloat(d.Meta["aspenstall_"+key], 64)
			return f
		}
		r := g.Tasks[0].Resources
		s := &Spec{
			Team: d.Job.Namespace, Tasks: g.Count, Shape: "batch", CPUs: float64(r.Cores) + float64(r.CPU)/1000, MemGB: float64(r.MemoryMB) / 1024,
			ImageGB: number("image_gb"), RunS: number("expect_s"), CheckpointS: number("checkpoint_s"), SaveS: number("checkpoint_cost_s"),
			OneZone: d.Meta["aspenstall_one_zone"] == "true", Spot: d.Meta["aspenstall_spot"] == "true",
			Spread: len(g.Spreads)+len(d.Job.Spreads) > 0,
		}
		s.Image, _ = g.Tasks[0].Config["image"].(string)
		if d.Job.Type == "service" {
			s.Shape = "standing"
		}
		if d.Meta["aspenstall_gang"] == "true" {
			s.Shape = "ensemble"
		}
		return s
	}
	return nil
}

// describe reads a task's description of the controllers and lets it go on.
func (k *Worker) fetchDescription(t *workerTask, job string) {
	spec := k.env.JobFromFile(job)
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.State != "fetching" || k.dead || k.findTask(t.Task, t.Attempt) != t {
		return
	}
	var cpus, mem float64
	for _, o := range k.tasks {
		if o.State != "exited" && o != t {
			cpus, mem = cpus+o.spec.CPUs, mem+o.spec.MemGB
		}
	}
	switch {
	case spec == nil:
		k.exitTask(t, "no_such", false)
		return
	case cpus+spec.CPUs > k.machineType.CPUs || mem+spec.MemGB > k.machineType.MemGB:
		k.exitTask(t, "no_room", false)
		return
	}
	t.spec = spec
	fetch := time.Duration(0)
	if !k.images[spec.Image] {
		fetch = time.Duration(spec.ImageGB / k.machineType.FetchGBps * float64(time.Second))
	}
	t.timer = time.AfterFunc(fetch, func() { k.imageFetched(t) })
}

// readFile asks the controllers one after the other for a job's description, for a
// while.
func (w *World) fetchFileJob(job string) *Spec {
	for try := range 12 {
		if s := w.spec(job); s != nil {
			return s
		}
		req, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://"+w.NomadAddr(try%len(w.Nodes))+"/v1/aspenstall/task/"+job, nil)
		if err != nil {
			return nil
		}
		req.Close = true
		req.Header.Set("X-Nomad-Token", AgentToken)
		if resp, err := w.Net.Client("machine").Do(req); err == nil {
			var d description
			err = json.NewDecoder(resp.Body).Decode(&d)
			_ = resp.Body.Close()
			if s := d.toSpec(); resp.StatusCode == http.StatusOK && err == nil && s != nil {
				w.mu.Lock()
				if w.specs[job] == nil {
					w.specs[job] = s
					at := d.Job.Namespace + "/" + d.Job.ID
					w.nativeJobs[at] = append(w.nativeJobs[at], job)
				}
				w.mu.Unlock()
				return s
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// Natives lists the native jobs of a job file that a machine has begun.
func (w *World) NativeJobs(team, name string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.nativeJobs[team+"/"+name]...)
}

// Ended notes that a user was told that native jobs are cancelled.
func (w *World) NoteCancelled(ids []string) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	for _, id := range ids {
		if w.checker.cancelledAt[id].IsZero() {
			w.checker.cancelledAt[id] = time.Now()
		}
	}
}

// On counts the tasks of a native job that are on machines.
func (w *World) RunningTasks(id string) int {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	n := 0
	for task := range w.checker.placements {
		if strings.HasPrefix(task, id+"/") {
			n++
		}
	}
	return n
}

// NomadHandler is what a node serves Nomad's clients with, for a listener of
// the caller's own.
func (w *World) NomadHandler(i int) http.Handler {
	return nomadapi.Handler(w.Nodes[i].node, w.Settings.Nomad, w.Log)
}

// Waiting counts the blocking queries that wait at a node.
func (w *World) BlockingQueries(i int) int { return w.Nodes[i].node.BlockingQueries(w.ctx) }
