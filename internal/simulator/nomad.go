package simulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	nomadapi "aspenstall/internal/nomad/httpapi"
)

// AgentToken is the token with which the world's machines read job descriptions.
const AgentToken = "token of the machines"

// NomadAddr returns the address at which a node serves Nomad clients.
func (w *World) NomadAddr(i int) string { return w.Nodes[i].nomadAddr }

// description is what a machine reads about a job that was submitted as a job file. Its names are
// written out here independently of the code that serves it, as those of the worker protocol are,
// so that the check does not repeat a mistake there.
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

// toSpec converts the description to a Spec, as if a user had uploaded it, or returns nil if the
// group is missing. The real run time equals the owner's estimate.
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

// fetchDescription reads the description of a task's job from the controllers, and then fetches the
// image, or lets the task fail if there is no description or no capacity.
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

// fetchFileJob reads a job's description from the controllers in turn, with up to 12 attempts 0.5 s
// apart. It returns nil if none of them returned it.
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

// NativeJobs returns the native jobs of a job file whose descriptions machines have read.
func (w *World) NativeJobs(team, name string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.nativeJobs[team+"/"+name]...)
}

// NoteCancelled records that a user was told that native jobs are cancelled.
func (w *World) NoteCancelled(ids []string) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	for _, id := range ids {
		if w.checker.cancelledAt[id].IsZero() {
			w.checker.cancelledAt[id] = time.Now()
		}
	}
}

// RunningTasks returns the number of a job's tasks that are on machines.
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

// NomadHandler returns a node's handler for Nomad clients, for use with a listener of the caller.
func (w *World) NomadHandler(i int) http.Handler {
	return nomadapi.Handler(w.Nodes[i].node, w.Settings.Nomad, nomadapi.NewRenderLimits(&w.platform), w.Log)
}

// BlockingQueries returns the number of blocking queries that are waiting at a node.
func (w *World) BlockingQueries(i int) int { return w.Nodes[i].node.BlockingQueries(w.ctx) }
