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
const maxAllocsPerPage = 5000

// unit is a group of a job as allocations are listed.
type groupAllocs struct {
	job         registry.Job
	groupIndex  int // which of the job's
	record      core.JobRecord
	modifyIndex uint64
	firstTask   int // the first task that is listed
}

func (u *groupAllocs) nativeID() string { return u.job.Groups[u.groupIndex].Native }

// token says where a list of allocations begins.
type pageToken struct {
	job   string
	group int
	task  int
}

func (t pageToken) String() string { return fmt.Sprintf("%d.%d.%x", t.group, t.task, t.job) }

func parsePageToken(s string) (pageToken, error) {
	var t pageToken
	bad := statusErrorf(http.StatusBadRequest, "Invalid next_token")
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
func (q *request) listAllocs(units []groupAllocs) ([]allocView, error) {
	p, err := q.parsePage()
	if err != nil {
		return nil, err
	}
	limit := maxAllocsPerPage
	if p.perPage > 0 {
		limit = min(p.perPage, limit)
	}
	if p.startToken != "" {
		from, err := parsePageToken(p.startToken)
		if err != nil {
			return nil, err
		}
		units = skipToToken(units, from)
	}
	shown, err := q.fetchJobViews(units, limit)
	if err != nil {
		return nil, err
	}
	now := core.Micros(time.Now().UnixMicro())
	out := []allocView{}
	for _, u := range units {
		room := limit - len(out)
		if room == 0 {
			q.w.Header().Set("X-Nomad-NextToken", pageToken{u.job.ID, u.groupIndex, u.firstTask}.String())
			return out, nil
		}
		tasks, more := u.taskViews(shown, room)
		for _, t := range tasks {
			out = append(out, newAllocView(&u.job, u.job.Groups[u.groupIndex], u.modifyIndex, now, t))
		}
		if more {
			q.w.Header().Set("X-Nomad-NextToken", pageToken{u.job.ID, u.groupIndex, tasks[len(tasks)-1].Index + 1}.String())
			return out, nil
		}
	}
	return out, nil
}

// after are the units from a token on; they are in the order of names.
func skipToToken(units []groupAllocs, t pageToken) []groupAllocs {
	for len(units) > 0 && (units[0].job.ID < t.job || units[0].job.ID == t.job && units[0].groupIndex < t.group) {
		units = units[1:]
	}
	if len(units) > 0 && units[0].job.ID == t.job && units[0].groupIndex == t.group {
		units[0].firstTask = t.task
	}
	return units
}

// ask asks the leader about the units that are not over, by native job. What
// it leaves out is beyond the limit, where the list ends before.
func (q *request) fetchJobViews(units []groupAllocs, limit int) (map[string]peer.JobView, error) {
	a := &peer.ViewRequest{Limit: limit}
	for _, u := range units {
		if u.record.Phase == core.Pending {
			a.Jobs = append(a.Jobs, peer.JobViewRequest{Job: u.nativeID(), FirstTask: u.firstTask})
		}
	}
	if len(a.Jobs) == 0 {
		return nil, nil
	}
	ctx, cancel := q.withTimeout()
	defer cancel()
	s, err := q.backend.QueryLeader(ctx, a)
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
func (u *groupAllocs) taskViews(shown map[string]peer.JobView, room int) (tasks []core.TaskView, more bool) {
	switch u.record.Phase {
	case core.Done:
		for i := u.firstTask; i < u.record.Spec.Tasks; i++ {
			if len(tasks) == room {
				return tasks, true
			}
			tasks = append(tasks, core.TaskView{Index: i, Done: true})
		}
	case core.Pending:
		j := shown[u.nativeID()]
		tasks, more = j.Tasks, j.More
		if len(tasks) > room {
			tasks, more = tasks[:room], true
		}
		more = more && len(tasks) > 0
	}
	return tasks, more
}

func groupAllocsOf(r *registry.Registry, j *registry.Job, index uint64) []groupAllocs {
	var out []groupAllocs
	for i, g := range j.Groups {
		rec, _ := r.NativeRecord(g.Native)
		out = append(out, groupAllocs{job: *j, groupIndex: i, record: rec, modifyIndex: index})
	}
	return out
}

// allocations lists all of the team's.
func listAllocations(q *request) (any, error) {
	var units []groupAllocs
	err := q.readRegistry(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range r.List(q.team, "") {
			units = append(units, groupAllocsOf(r, j, r.ModifyIndex(j))...)
		}
	})
	if err != nil {
		return nil, err
	}
	list, err := q.listAllocs(units)
	if err != nil {
		return nil, err
	}
	// As published, the prefix is of the id.
	if prefix := q.params.Get("prefix"); prefix != "" {
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

func listJobAllocations(q *request) (any, error) {
	var units []groupAllocs
	err := q.readRegistry(q.jobName(), true, func(r *registry.Registry) {
		if j := r.Get(q.jobName()); j != nil {
			units = groupAllocsOf(r, j, r.ModifyIndex(j))
		}
	})
	if err != nil {
		return nil, err
	}
	return q.listAllocs(units)
}

// allocation finds one by its id, which names the native job and the task.
func getAllocation(q *request) (any, error) {
	b, err := hex.DecodeString(strings.ReplaceAll(q.id, "-", ""))
	missing := statusErrorf(http.StatusNotFound, "alloc not found")
	if err != nil || len(b) != 16 {
		return nil, missing
	}
	index := binary.BigEndian.Uint64(b[8:])
	var u *groupAllocs
	err = q.readRegistry(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		if index >= core.MaxTasks {
			return
		}
		for _, j := range r.List(q.team, "") {
			for _, k := range groupAllocsOf(r, j, r.ModifyIndex(j)) {
				if allocationID(k.nativeID(), int(index)) == q.id {
					k.firstTask = int(index)
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
	shown, err := q.fetchJobViews([]groupAllocs{*u}, 1)
	if err != nil {
		return nil, err
	}
	tasks, _ := u.taskViews(shown, 1)
	if len(tasks) == 0 || tasks[0].Index != int(index) {
		return nil, missing // it waits: it has no place yet
	}
	return newAllocView(&u.job, u.job.Groups[u.groupIndex], u.modifyIndex, core.Micros(time.Now().UnixMicro()), tasks[0]), nil
}

// evaluations lists the last decision on each of the team's jobs.
func listEvaluations(q *request) (any, error) {
	p, err := q.parsePage()
	if err != nil {
		return nil, err
	}
	out := []evalView{}
	err = q.readRegistry(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range paginate(q, r.List(q.team, ""), p, func(j *registry.Job) string { return j.ID }) {
			out = append(out, newEvalView(r, j))
		}
	})
	return out, err
}

func listJobEvaluations(q *request) (any, error) {
	out := []evalView{}
	err := q.readRegistry(q.jobName(), false, func(r *registry.Registry) {
		if j := r.Get(q.jobName()); j != nil {
			out = append(out, newEvalView(r, j))
		}
	})
	return out, err
}

// evaluated finds the job whose last decision has an id.
func (q *request) findEvaluation(see func(r *registry.Registry, j *registry.Job)) error {
	missing := true
	err := q.readRegistry(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range r.List(q.team, "") {
			if evaluationID(j.Name, j.JobModifyIndex) == q.id {
				see(r, j)
				missing = false
			}
		}
	})
	if err == nil && missing {
		err = statusErrorf(http.StatusNotFound, "eval not found")
	}
	return err
}

func getEvaluation(q *request) (any, error) {
	var out evalView
	err := q.findEvaluation(func(r *registry.Registry, j *registry.Job) { out = newEvalView(r, j) })
	return out, err
}

func listEvaluationAllocations(q *request) (any, error) {
	var units []groupAllocs
	if err := q.findEvaluation(func(r *registry.Registry, j *registry.Job) { units = groupAllocsOf(r, j, r.ModifyIndex(j)) }); err != nil {
		return nil, err
	}
	return q.listAllocs(units)
}
