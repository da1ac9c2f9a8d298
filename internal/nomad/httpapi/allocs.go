package httpapi

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/peer"
)

// maxAllocsPerPage is the largest number of allocations in one response; next_token gives the rest.
const maxAllocsPerPage = 5000

// groupAllocs is a group of a job whose tasks are listed as allocations.
type groupAllocs struct {
	job         registry.Job
	groupIndex  int // index into job.Groups
	record      core.JobRecord
	modifyIndex uint64
	firstTask   int // index of the first task to list
}

// nativeID returns the ID of the group's native job.
func (g *groupAllocs) nativeID() string { return g.job.Groups[g.groupIndex].Native }

// pageToken is the position in the list of allocations where a page begins.
type pageToken struct {
	job   string
	group int
	task  int
}

// String formats the token as it stands in next_token.
func (t pageToken) String() string { return fmt.Sprintf("%d.%d.%x", t.group, t.task, t.job) }

// parsePageToken parses the next_token of a request.
func parsePageToken(s string) (pageToken, error) {
	var t pageToken
	bad := statusErrorf(http.StatusBadRequest, "Invalid next_token")
	parts := strings.SplitN(s, ".", 3)
	if len(parts) != 3 {
		return t, bad
	}
	var err1, err2 error
	t.group, err1 = strconv.Atoi(parts[0])
	t.task, err2 = strconv.Atoi(parts[1])
	name, err3 := hex.DecodeString(parts[2])
	if err1 != nil || err2 != nil || err3 != nil || t.task < 0 {
		return t, bad
	}
	t.job = string(name)
	return t, nil
}

// listAllocs lists the allocations of groups. Those of finished native jobs follow from their
// records; the leader supplies all others in one response.
func (q *request) listAllocs(groups []groupAllocs) ([]allocView, error) {
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
		groups = skipToToken(groups, from)
	}
	shown, err := q.fetchJobViews(groups, limit)
	if err != nil {
		return nil, err
	}
	now := core.Micros(time.Now().UnixMicro())
	out := []allocView{}
	for _, g := range groups {
		room := limit - len(out)
		if room == 0 {
			q.w.Header().Set("X-Nomad-NextToken", pageToken{g.job.ID, g.groupIndex, g.firstTask}.String())
			return out, nil
		}
		tasks, more := g.taskViews(shown, room)
		for _, t := range tasks {
			out = append(out, newAllocView(&g.job, g.job.Groups[g.groupIndex], g.modifyIndex, now, t))
		}
		if more {
			q.w.Header().Set("X-Nomad-NextToken", pageToken{g.job.ID, g.groupIndex, tasks[len(tasks)-1].Index + 1}.String())
			return out, nil
		}
	}
	return out, nil
}

// skipToToken returns the groups from a page token on. The groups are sorted by job name.
func skipToToken(groups []groupAllocs, t pageToken) []groupAllocs {
	for len(groups) > 0 && (groups[0].job.ID < t.job || groups[0].job.ID == t.job && groups[0].groupIndex < t.group) {
		groups = groups[1:]
	}
	if len(groups) > 0 && groups[0].job.ID == t.job && groups[0].groupIndex == t.group {
		groups[0].firstTask = t.task
	}
	return groups
}

// fetchJobViews asks the leader for the tasks of the unfinished groups, and returns its answer by
// native job. The leader omits only tasks beyond the limit, where the list ends anyway.
func (q *request) fetchJobViews(groups []groupAllocs, limit int) (map[string]peer.JobView, error) {
	req := &peer.ViewRequest{Limit: limit}
	for _, g := range groups {
		if g.record.Phase == core.Pending {
			req.Jobs = append(req.Jobs, peer.JobViewRequest{Job: g.nativeID(), FirstTask: g.firstTask})
		}
	}
	if len(req.Jobs) == 0 {
		return nil, nil
	}
	ctx, cancel := q.withTimeout()
	defer cancel()
	resp, err := q.backend.QueryLeader(ctx, req)
	if err != nil {
		return nil, err
	}
	out := map[string]peer.JobView{}
	for _, j := range resp.Jobs {
		out[j.Job] = j
	}
	return out, nil
}

// taskViews returns a group's tasks that are done or on a machine, at most room of them, and whether
// there are more.
func (g *groupAllocs) taskViews(shown map[string]peer.JobView, room int) (tasks []core.TaskView, more bool) {
	switch g.record.Phase {
	case core.Done:
		for i := g.firstTask; i < g.record.Spec.Tasks; i++ {
			if len(tasks) == room {
				return tasks, true
			}
			tasks = append(tasks, core.TaskView{Index: i, Done: true})
		}
	case core.Pending:
		j := shown[g.nativeID()]
		tasks, more = j.Tasks, j.More
		if len(tasks) > room {
			tasks, more = tasks[:room], true
		}
		more = more && len(tasks) > 0
	}
	return tasks, more
}

// groupAllocsOf returns the groups of a job.
func groupAllocsOf(r *registry.Registry, j *registry.Job, index uint64) []groupAllocs {
	var out []groupAllocs
	for i, g := range j.Groups {
		rec, _ := r.NativeRecord(g.Native)
		out = append(out, groupAllocs{job: *j, groupIndex: i, record: rec, modifyIndex: index})
	}
	return out
}

// teamGroups returns the groups of all jobs of the team.
func (q *request) teamGroups() ([]groupAllocs, error) {
	var groups []groupAllocs
	err := q.readRegistry(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range r.List(q.team, "") {
			groups = append(groups, groupAllocsOf(r, j, r.ModifyIndex(j))...)
		}
	})
	return groups, err
}

// listAllocations lists the allocations of all jobs of the team.
func listAllocations(q *request) (any, error) {
	groups, err := q.teamGroups()
	if err != nil {
		return nil, err
	}
	list, err := q.listAllocs(groups)
	if err != nil {
		return nil, err
	}
	// As in the published API, the prefix applies to the allocation's ID.
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
	var groups []groupAllocs
	err := q.readRegistry(q.jobName(), true, func(r *registry.Registry) {
		if j := r.Get(q.jobName()); j != nil {
			groups = groupAllocsOf(r, j, r.ModifyIndex(j))
		}
	})
	if err != nil {
		return nil, err
	}
	return q.listAllocs(groups)
}

// getAllocation finds an allocation by its ID, which is derived from the native job and the task.
func getAllocation(q *request) (any, error) {
	b, err := hex.DecodeString(strings.ReplaceAll(q.id, "-", ""))
	missing := statusErrorf(http.StatusNotFound, "alloc not found")
	if err != nil || len(b) != 16 {
		return nil, missing
	}
	index := binary.BigEndian.Uint64(b[8:])
	groups, err := q.teamGroups()
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(groups, func(g groupAllocs) bool {
		return index < core.MaxTasks && allocationID(g.nativeID(), int(index)) == q.id
	})
	if i < 0 {
		return nil, missing
	}
	g := groups[i]
	g.firstTask = int(index)
	shown, err := q.fetchJobViews([]groupAllocs{g}, 1)
	if err != nil {
		return nil, err
	}
	tasks, _ := g.taskViews(shown, 1)
	if len(tasks) == 0 || tasks[0].Index != int(index) {
		return nil, missing // the task is pending: it is on no machine yet
	}
	return newAllocView(&g.job, g.job.Groups[g.groupIndex], g.modifyIndex, core.Micros(time.Now().UnixMicro()), tasks[0]), nil
}

// listEvaluations lists the last evaluation of each of the team's jobs.
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

// findEvaluation calls read with the job whose last evaluation has the ID in the path.
func (q *request) findEvaluation(read func(r *registry.Registry, j *registry.Job)) error {
	missing := true
	err := q.readRegistry(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		for _, j := range r.List(q.team, "") {
			if strings.HasSuffix(q.id, evaluationSuffix(j.JobModifyIndex)) && evaluationID(j.Name, j.JobModifyIndex) == q.id {
				read(r, j)
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
	var groups []groupAllocs
	if err := q.findEvaluation(func(r *registry.Registry, j *registry.Job) { groups = groupAllocsOf(r, j, r.ModifyIndex(j)) }); err != nil {
		return nil, err
	}
	return q.listAllocs(groups)
}
