//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// newToken makes a token with the program's own command.
func (c *cluster) newToken() (token, hash string, err error) {
	out, err := exec.Command(c.controllers[0].args[0], "nomad", "token", filepath.Join(c.dir, "token.key")).Output()
	f := strings.Fields(string(out))
	if err != nil || len(f) != 4 {
		return "", "", fmt.Errorf("nomad token: %q, %w", out, err)
	}
	return f[1], f[3], nil
}

// describe reads a native job's description from the controllers, as a machine does.
func (c *cluster) describe(id string) *simulator.Spec {
	for try := range 12 {
		k := c.controllers[try%len(c.controllers)]
		status, b := c.call(http.MethodGet, "http://"+k.nomad+"/v1/aspenstall/task/"+id, nil, map[string]string{"X-Nomad-Token": c.agentToken}, 5*time.Second)
		var d struct {
			Job struct {
				Namespace, ID, Type string
				TaskGroups          []struct {
					Name  string
					Count int
					Tasks []struct {
						Config    map[string]any
						Resources struct{ CPU, Cores, MemoryMB int }
					}
				}
			}
			Group string
			Meta  map[string]string
		}
		if status == http.StatusOK && json.Unmarshal(b, &d) == nil {
			for _, g := range d.Job.TaskGroups {
				if g.Name != d.Group {
					continue
				}
				number := func(key string) float64 {
					f, _ := strconv.ParseFloat(d.Meta["aspenstall_"+key], 64)
					return f
				}
				s := &simulator.Spec{ID: id, Team: d.Job.Namespace, Tasks: g.Count, Shape: "batch", CPUs: float64(g.Tasks[0].Resources.Cores),
					MemGB: float64(g.Tasks[0].Resources.MemoryMB) / 1024, ImageGB: number("image_gb"), RunS: number("expect_s")}
				s.Image, _ = g.Tasks[0].Config["image"].(string)
				c.rec.log("a machine reads the description of %s: job %q of %s", id, d.Job.ID, d.Job.Namespace)
				return s
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// jobFile is a job file in JSON: an array of the class ensemble-runs.
func jobFile(name string, tasks int, runS float64) []byte {
	b, _ := json.Marshal(map[string]any{"Job": map[string]any{
		"ID": name, "Type": "batch", "Datacenters": []string{"*"},
		"Meta": map[string]string{"aspenstall_class": "ensemble-runs", "aspenstall_expect_s": fmt.Sprint(runS), "aspenstall_image_gb": "1.8"},
		"TaskGroups": []any{map[string]any{"Name": "members", "Count": tasks, "Tasks": []any{map[string]any{
			"Name": "step", "Driver": "docker", "Config": map[string]any{"image": "frost-7"}, "Resources": map[string]any{"Cores": 4, "MemoryMB": 6144},
		}}}},
	}})
	return b
}

// serveJobFiles has the controllers serve job files, and returns a token of the team.
func (c *cluster) serveJobFiles(team string) (string, error) {
	token, hash, err := c.newToken()
	if err != nil {
		return "", err
	}
	agent, agentHash, err := c.newToken()
	if err != nil {
		return "", err
	}
	c.agentToken = agent
	for _, k := range c.controllers {
		if err := k.writeSettings(fmt.Sprintf(`{:nomad {:listen "NOMAD" :token-key-file "token.key" :tokens {"%s" ["%s"]} :agent-tokens ["%s"]}}`, team, hash, agentHash)); err != nil {
			return "", err
		}
	}
	return token, nil
}

// nomadClient is a client of Nomad's interface.
type nomadClient struct {
	c     *cluster
	token string
}

// do sends a request, and records it with its answer.
func (n *nomadClient) do(k *controller, method, path string, body []byte) (int, string) {
	status, b := n.c.call(method, "http://"+k.nomad+path, body, map[string]string{"X-Nomad-Token": n.token}, 20*time.Second)
	s := strings.TrimSpace(string(b))
	if len(s) > 300 {
		s = s[:300] + "..."
	}
	n.c.rec.log("client: %s %s at %s: %d %s", method, path, k.member, status, s)
	return status, string(b)
}

// repeat sends a request until it is answered 200: after 429 or 503 it comes back.
func (n *nomadClient) repeat(k *controller, method, path string, body []byte) bool {
	return await(60*time.Second, func() bool {
		status, _ := n.do(k, method, path, body)
		if status != http.StatusOK {
			time.Sleep(1100 * time.Millisecond)
		}
		return status == http.StatusOK
	})
}

// shows returns a function that asks for the summary of a job and reports whether it has the text.
func (n *nomadClient) shows(k *controller, name, text string) func() bool {
	return func() bool {
		time.Sleep(700 * time.Millisecond)
		_, b := n.do(k, http.MethodGet, "/v1/job/"+name+"/summary", nil)
		return strings.Contains(b, text)
	}
}

// nomadPurge: a registration whose transaction is carried out late; its retry succeeds, the job is
// purged, and then the first transaction is carried out.
func nomadPurge(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rila(), rec)
	if err != nil {
		return 2, err
	}
	defer c.stop()
	token, err := c.serveJobFiles("agro-desk")
	if err != nil {
		return 2, err
	}
	const lateBy = 11 * time.Second // of 2 to 12 s
	var armed atomic.Bool
	c.onState = func(node int, r *http.Request, body []byte) verdict {
		if r.URL.Path == wire.CommitPath && bytes.Contains(body, []byte("c/nomad/src/")) && armed.CompareAndSwap(true, false) {
			rec.log("state service: a transaction of stallhost-%d gets no answer, and is carried out %v later", node, lateBy)
			return verdict{late: lateBy}
		}
		return verdict{}
	}
	if err := c.startAll(); err != nil {
		return 2, err
	}
	client := &nomadClient{c, token}
	do, repeat := client.do, client.repeat
	k := c.controllers[1]
	runs := func(name string) func() bool { return client.shows(k, name, `"Running":1`) }
	if !repeat(k, http.MethodPut, "/v1/jobs", jobFile("warm-up", 1, 60)) || !await(40*time.Second, runs("warm-up")) {
		return 2, errors.New("the first job does not run")
	}
	armed.Store(trouble)
	started := time.Now()
	if !repeat(k, http.MethodPut, "/v1/jobs", jobFile("frost-ensemble", 1, 100)) || !await(20*time.Second, runs("frost-ensemble")) {
		return 2, errors.New("the job does not run")
	}
	if trouble && armed.Load() {
		return 2, errors.New("no transaction was held up")
	}
	status, _ := do(k, http.MethodDelete, "/v1/job/frost-ensemble?purge=true", nil)
	if status != http.StatusOK {
		return 2, fmt.Errorf("purge: %d", status)
	}
	told := time.Now()
	rec.log("the client has been told that the job is stopped and purged")
	if trouble && told.Sub(started) > lateBy-time.Second {
		return 2, errors.New("the purge came too late")
	}
	if status, _ := do(k, http.MethodGet, "/v1/job/frost-ensemble", nil); status != http.StatusNotFound {
		return 2, fmt.Errorf("after the purge: %d", status)
	}
	c.mu.Lock()
	before := map[string]bool{}
	for _, t := range c.tasks {
		before[t.Task] = true
	}
	c.mu.Unlock()
	var startedAfter atomic.Int32
	c.mu.Lock()
	c.onTask = func(what string, t simulator.TaskOnMachine) {
		if what == "starts" && !before[t.Task] {
			startedAfter.Add(1)
		}
	}
	c.mu.Unlock()
	limit := time.Duration(c.site.cancelS*float64(time.Second)) + 2*time.Second
	for time.Since(told) < limit {
		time.Sleep(4 * time.Second)
		do(c.controllers[int(time.Since(told)/(4*time.Second))%3], http.MethodGet, "/v1/job/frost-ensemble/summary", nil)
	}
	broken := false
	c.mu.Lock()
	for _, t := range c.tasks {
		if t.Spec != nil && t.Spec.RunS == 100 {
			broken = true
			rec.log("%.0f s after the answer the task %s is on %s (cancel_s is %.0f)", time.Since(told).Seconds(), t.Task, t.Host.Machine, c.site.cancelS)
		}
	}
	c.mu.Unlock()
	rec.log("tasks that started after the client was told: %d", startedAfter.Load())
	if broken {
		return 1, nil
	}
	return 0, nil
}

// nomadStale: one controller is refused by the state service alone while a job ends. A client that
// was told so by another controller asks the first one, with the index that it was given.
func nomadStale(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(rila(), rec)
	if err != nil {
		return 2, err
	}
	defer c.stop()
	token, err := c.serveJobFiles("agro-desk")
	if err != nil {
		return 2, err
	}
	var refused atomic.Int32
	refused.Store(-1)
	c.onState = func(node int, r *http.Request, _ []byte) verdict {
		return verdict{refuse: int32(node) == refused.Load()}
	}
	if err := c.startAll(); err != nil {
		return 2, err
	}
	leader := c.leader()
	cut, other := c.controllers[(leader.index+1)%3], c.controllers[(leader.index+2)%3]
	client := &nomadClient{c, token}
	if !client.repeat(other, http.MethodPut, "/v1/jobs", jobFile("frost-ensemble", 1, 12)) || !await(40*time.Second, client.shows(other, "frost-ensemble", `"Running":1`)) {
		return 2, errors.New("the job does not run")
	}
	if !client.shows(cut, "frost-ensemble", `"Running":1`)() {
		return 2, fmt.Errorf("%s does not know the job", cut.member)
	}
	if trouble {
		refused.Store(int32(cut.index))
		rec.log("state service: refuses %s alone from now on (503)", cut.member)
	}
	if !await(40*time.Second, client.shows(other, "frost-ensemble", `"Complete":1`)) {
		return 2, errors.New("the job does not end")
	}
	_, b := client.do(other, http.MethodGet, "/v1/job/frost-ensemble", nil)
	var job struct {
		Status      string
		ModifyIndex uint64
	}
	if json.Unmarshal([]byte(b), &job) != nil || job.Status != "dead" {
		return 2, fmt.Errorf("the job is %q", job.Status)
	}
	told := time.Now()
	rec.log("the client has been told by %s that the job is over, with the index %d", other.member, job.ModifyIndex)
	broken := false
	for try := range 3 {
		client.do(cut, http.MethodGet, "/v1/job/frost-ensemble", nil)
		status, b := client.do(cut, http.MethodGet, fmt.Sprintf("/v1/job/frost-ensemble?index=%d&wait=3s", job.ModifyIndex), nil)
		var again struct {
			Status      string
			ModifyIndex uint64
		}
		if status == http.StatusOK && json.Unmarshal([]byte(b), &again) == nil {
			rec.log("question %d, %.1f s after the answer: %s calls the job %q (modified at %d)", try+1, time.Since(told).Seconds(), cut.member, again.Status, again.ModifyIndex)
			broken = broken || again.Status != "dead"
		}
	}
	if broken {
		return 1, nil
	}
	return 0, nil
}
