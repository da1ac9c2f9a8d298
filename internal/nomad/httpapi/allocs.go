package httpapi

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/peer"
)

// maxAllocs is how many tasks one answer lists; the next ones come with
// next_token.
const maxAllocs = 5000

// unit is a group of a job as allocations are listed.
type unit struct {
	job   registry.Job
	group int // which of the job's
	rec   core.JobRecord
	index uint64
	first int // the first task that is listed
}

func (u *unit) native() string { return u.job.Groups[u.group].Native }

// token says where a list of allocations begins.
type token struct {
	job   string
	group int
	task  int
}

func (t token) String() string { return fmt.Sprintf("%d.%d.%x", t.group, t.task, t.job) }

func parseToken(s string) (token, error) {
	var t token
	bad := fail(http.StatusBadRequest, "Invalid next_token")
	part := strings.SplitN(s, ".", 3)
	if len(part) != 3 {
		return t, bad
	}
	var err1, err2 error
	t.group, err1 = strconv.Atoi(part[0])
	t.task, err2 = strconv.Atoi(part[1])
	name, err3 := hex.DecodeString(part[2])
	if err1 != nil || err2 != nil || err3 != nil || t.task < 0 {
		return t, bad
	}
	t.job = string(name)
	return t, nil
}

// list lists the allocations of units: those of finished jobs are known, the
// others the leader tells, all in one answer.
func (q *request) list(units []unit) ([]allocView, error) {
	p, err := q.page()
	if err != nil {
		return nil, err
	}
	limit := maxAllocs
	if p.size > 0 {
		limit = min(p.size, limit)
	}
	if p.from != "" {
		from, err := parseToken(p.from)
		if err != nil {
			return nil, err
		}
		units = after(units, from)
	}
	shown, err := q.ask(units, limit)
	if err != nil {
		return nil, err
	}
	now := core.Micros(time.Now().UnixMicro())
	out := []allocView{}
	for _, u := range units {
		room := limit - len(out)
		if room == 0 {
			q.w.Header().Set("X-Nomad-NextToken", token{u.job.ID, u.group, u.first}.String())
			return out, nil
		}
		tasks, more := u.tasks(shown, room)
		for _, t := range tasks {
			out = append(out, allocOf(&u.job, u.job.Groups[u.group], u.index, now, t))
		}
		if more {
			q.w.Header().Set("X-Nomad-NextToken", token{u.job.ID, u.group, tasks[len(tasks)-1].Index + 1}.String())
			return out, nil
		}
	}
	return out, nil
}

// after are the units from a token on; they are in the order of names.
func after(units []unit, t token) []unit {
	for len(units) > 0 && (units[0].job.ID < t.job || units[0].job.ID == t.job && units[0].group < t.group) {
		units = units[1:]
	}
	if len(units) > 0 && units[0].job.ID == t.job && units[0].group == t.group {
		units[0].first = t.task
	}
	return units
}

// ask asks the leader about the units that are not over, by native job. What
// it leaves out is beyond the limit, where the list ends before.
func (q *request) ask(units []unit, limit int) (map[string]peer.JobView, error) {
	a := &peer.ViewRequest{Limit: limit}
	for _, u := range units {
		if u.rec.Phase == core.Pending {
			a.Jobs = append(a.Jobs, peer.JobViewRequest{Job: u.native(), FirstTask: u.first})
		}
	}
	if len(a.Jobs) == 0 {
		return nil, nil
	}
	ctx, cancel := q.work()
	defer cancel()
	s, err := q.b.ShowAll(ctx, a)
	if err != nil {
		return nil, err
	}
	out := map[string]peer.JobView{}
	for _, j := range s.Jobs {
		out[j.Job] = j
	}
	return out, nil
}

// tasks are a unit's tasks that are done or on a machine, at most room of them.
func (u *unit) tasks(shown map[string]peer.JobView, room int) (tasks []core.TaskView, more bool) {
	switch u.rec.Phase {
	case core.Done:
		for i := u.first; i < u.rec.Spec.Tasks; i++ {
			if len(tasks) == room {
				return tasks, true
			}
			tasks = append(tasks, core.TaskView{Index: i, Done: true})
		}
	case core.Pending:
		j := shown[u.native()]
		tasks, more = j.Tasks, j.More
		if len(tasks) > room {
			tasks, more = tasks[:room], true
		}
		more = more && len(tasks) > 0
	}
	return tasks, more
}

func unitsOf(r *registry.Registry, j *registry.Job, index uint64) []unit {
	var out []unit
	for i, g := range j.Groups {
		rec, _ := r.NativeRecord(g.Native)
		out = append(out, unit{job: *j, group: i, rec: rec, index: index})
	}
	return out
}

// allocations lists all of the team's.
func allocations(q *request) (any, error) {
	var units []unit
	err := q.look(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range r.List(q.team, "") {
			units = append(units, unitsOf(r, j, r.ModifyIndex(j))...)
		}
	})
	if err != nil {
		return nil, err
	}
	list, err := q.list(units)
	if err != nil {
		return nil, err
	}
	// As published, the prefix is of the id.
	if prefix := q.q.Get("prefix"); prefix != "" {
		kept := []allocView{}
		for _, a := range list {
			if strings.HasPrefix(a.ID, prefix) {
				kept = append(kept, a)
			}
		}
		list = kept
	}
	return list, nil
}

func jobAllocations(q *request) (any, error) {
	var units []unit
	err := q.look(q.name(), true, func(r *registry.Registry) {
		if j := r.Get(q.name()); j != nil {
			units = unitsOf(r, j, r.ModifyIndex(j))
		}
	})
	if err != nil {
		return nil, err
	}
	return q.list(units)
}

// allocation finds one by its id, which names the native job and the task.
func allocation(q *request) (any, error) {
	b, err := hex.DecodeString(strings.ReplaceAll(q.id, "-", ""))
	missing := fail(http.StatusNotFound, "alloc not found")
	if err != nil || len(b) != 16 {
		return nil, missing
	}
	index := binary.BigEndian.Uint64(b[8:])
	var u *unit
	err = q.look(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		if index >= core.MaxTasks {
			return
		}
		for _, j := range r.List(q.team, "") {
			for _, k := range unitsOf(r, j, r.ModifyIndex(j)) {
				if allocationID(k.native(), int(index)) == q.id {
					k.first = int(index)
					u = &k
				}
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if u == nil {
		return nil, missing
	}
	shown, err := q.ask([]unit{*u}, 1)
	if err != nil {
		return nil, err
	}
	tasks, _ := u.tasks(shown, 1)
	if len(tasks) == 0 || tasks[0].Index != int(index) {
		return nil, missing // it waits: it has no place yet
	}
	return allocOf(&u.job, u.job.Groups[u.group], u.index, core.Micros(time.Now().UnixMicro()), tasks[0]), nil
}

// evaluations lists the last decision on each of the team's jobs.
func evaluations(q *request) (any, error) {
	p, err := q.page()
	if err != nil {
		return nil, err
	}
	out := []evalView{}
	err = q.look(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range cut(q, r.List(q.team, ""), p, func(j *registry.Job) string { return j.ID }) {
			out = append(out, evaluationOf(r, j))
		}
	})
	return out, err
}

func jobEvaluations(q *request) (any, error) {
	out := []evalView{}
	err := q.look(q.name(), false, func(r *registry.Registry) {
		if j := r.Get(q.name()); j != nil {
			out = append(out, evaluationOf(r, j))
		}
	})
	return out, err
}

// evaluated finds the job whose last decision has an id.
func (q *request) evaluated(see func(r *registry.Registry, j *registry.Job)) error {
	missing := true
	err := q.look(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range r.List(q.team, "") {
			if evaluationID(j.Name, j.JobModifyIndex) == q.id {
				see(r, j)
				missing = false
			}
		}
	})
	if err == nil && missing {
		err = fail(http.StatusNotFound, "eval not found")
	}
	return err
}

func evaluation(q *request) (any, error) {
	var out evalView
	err := q.evaluated(func(r *registry.Registry, j *registry.Job) { out = evaluationOf(r, j) })
	return out, err
}

func evaluationAllocations(q *request) (any, error) {
	var units []unit
	if err := q.evaluated(func(r *registry.Registry, j *registry.Job) { units = unitsOf(r, j, r.ModifyIndex(j)) }); err != nil {
		return nil, err
	}
	return q.list(units)
}
