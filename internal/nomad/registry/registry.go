// Package registry keeps the jobs that came in as Nomad's job files: names,
// versions, and the native job of each group. It is pure: records of the state
// service and of native jobs go in, and a registration comes out as the change
// to be written, in one transaction with the native jobs that it makes and ends.
//
// An index is a revision of the state service. It is of a record, so it is the
// same on every node and never goes back.
//
// Records come in the order of their revisions, each once or more; what this
// node wrote itself may come before others' older changes to other jobs.
package registry

import (
	"cmp"
	"slices"
	"strings"

	"aspenstall/internal/core"
)

// Name is a job's name within its team, the namespace.
type Name struct{ Team, ID string }

// Group is a group of a job and its native job.
type Group struct {
	//lint:ignore U1000 the encoder reads its tag
	_msgpack struct{} `msgpack:",as_array"` // as it is kept
	Name     string
	Native   string // the native job's id
	Digest   string
}

// Stub is what lists show of a job's content.
type Stub struct {
	Title       string   `msgpack:"n"` // the name that is shown
	Type        string   `msgpack:"t"`
	Priority    int      `msgpack:"p"`
	Datacenters []string `msgpack:"d"`
}

// Job is a job as it stands.
type Job struct {
	Name
	Stub
	Version   uint64
	Groups    []Group
	Stopped   bool
	Submitted core.Micros // wall clock; of the version
	// JobModifyIndex is of the last registration or deregistration, and
	// CreateIndex of the first.
	JobModifyIndex, CreateIndex uint64

	previousModifyIndex uint64 // JobModifyIndex that the last registration replaced
	versions            []version
}

// version is a version's source.
type version struct {
	number    uint64
	source    string
	revision  uint64
	submitted core.Micros
}

// Gone is a job that was purged.
type PurgedJob struct {
	Name
	Index uint64
}

// Natives tells of native jobs.
type NativeJobs interface {
	// Record is a native job's record; ok is false if there is none.
	Record(id string) (core.JobRecord, bool)
	// Counts says how far an unfinished native job has come.
	TaskCounts(id string) (done, running int)
}

// Registry is all that is known. Its methods must not be called at once.
type Registry struct {
	natives         NativeJobs
	limits          Limits
	jobs            map[Name]*Job
	orphanedSources map[string][]version // sources by their job's key, whose head has not come
	namesByKey      map[string]Name
	byNative        map[string]*Job
	teamIndex       map[string]uint64 // last change by team
	purged          []PurgedJob       // the last purged, the oldest first
}

// maxGone is how many purged jobs event streams that resume are still told of.
const maxPurged = 1000

// Limits are the state service's, for one transaction.
type Limits struct {
	MaxOps        int // puts and deletes
	MaxValueBytes int // bytes of a value, as JSON
}

// New returns an empty registry.
func New(l Limits, n NativeJobs) *Registry {
	return &Registry{
		natives: n, limits: l, jobs: map[Name]*Job{}, orphanedSources: map[string][]version{}, namesByKey: map[string]Name{},
		byNative: map[string]*Job{}, teamIndex: map[string]uint64{},
	}
}

// MaxGroups is the largest number of groups in a job: a new version has to end
// the old groups and begin the new ones in one transaction, with the job's
// record, its source, and a source that is no longer kept.
func (l Limits) MaxGroups() int { return max((l.MaxOps-3)/2, 1) }

// kept is how many versions of a job are kept, so that a purge fits too.
func (l Limits) maxVersions() int { return max(min(6, l.MaxOps-2-l.MaxGroups()), 1) }

// Get returns a job, nil if there is none.
func (r *Registry) Get(n Name) *Job { return r.jobs[n] }

// ByNative returns the job and the group of a native job.
func (r *Registry) ByNative(id string) (*Job, *Group) {
	j := r.byNative[id]
	if j == nil {
		return nil, nil
	}
	for i := range j.Groups {
		if j.Groups[i].Native == id {
			return j, &j.Groups[i]
		}
	}
	return nil, nil
}

// Native is a native job's record.
func (r *Registry) NativeRecord(id string) (core.JobRecord, bool) { return r.natives.Record(id) }

// List lists a team's jobs whose names begin with prefix, by name.
func (r *Registry) List(team, prefix string) []*Job {
	var out []*Job
	for n, j := range r.jobs {
		if n.Team == team && strings.HasPrefix(n.ID, prefix) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TeamIndex is the index of the last change to any job of a team.
func (r *Registry) TeamIndex(team string) uint64 { return r.teamIndex[team] }

// Index is the index of the last change to a job; for one that is not there, of
// the last change to its team, since that may have been its purge.
func (r *Registry) Index(n Name) uint64 {
	if j := r.jobs[n]; j != nil {
		return r.ModifyIndex(j)
	}
	return r.teamIndex[n.Team]
}

// ModifyIndex is the index of the last change to a job or its native jobs.
func (r *Registry) ModifyIndex(j *Job) uint64 {
	at := j.JobModifyIndex
	for _, g := range j.Groups {
		if rec, ok := r.natives.Record(g.Native); ok {
			at = max(at, rec.Revision)
		}
	}
	return at
}

// Purged lists a team's jobs that were purged after an index, the oldest first.
func (r *Registry) Purged(team string, after uint64) []PurgedJob {
	var out []PurgedJob
	for _, g := range r.purged {
		if g.Team == team && g.Index > after {
			out = append(out, g)
		}
	}
	return out
}

// Status is a job's state in the published words.
type Status string

// The states.
const (
	Pending Status = "pending"
	Running Status = "running"
	Dead    Status = "dead"
)

// Tally is how far a group has come.
type TaskCounts struct{ Queued, Running, Complete, Stopped int }

// Tally counts a group's tasks.
func (r *Registry) TaskCounts(g Group) TaskCounts {
	rec, ok := r.natives.Record(g.Native)
	if !ok {
		return TaskCounts{}
	}
	switch rec.Phase {
	case core.Done:
		return TaskCounts{Complete: rec.Spec.Tasks}
	case core.Cancelled:
		return TaskCounts{Stopped: rec.Spec.Tasks}
	}
	done, running := r.natives.TaskCounts(g.Native)
	return TaskCounts{Queued: max(rec.Spec.Tasks-done-running, 0), Running: running, Complete: done}
}

// Status is a job's state: dead once all its native jobs are over.
func (r *Registry) Status(j *Job) Status {
	unfinished, running := false, false
	for _, g := range j.Groups {
		if rec, ok := r.natives.Record(g.Native); ok && rec.Phase == core.Pending {
			_, n := r.natives.TaskCounts(g.Native)
			unfinished, running = true, running || n > 0
		}
	}
	switch {
	case !unfinished:
		return Dead
	case running:
		return Running
	}
	return Pending
}

// NativeChanged notes that a native job's record changed, and tells whose it is.
func (r *Registry) HandleNativeChange(id string, revision uint64) (Name, bool) {
	j := r.byNative[id]
	if j == nil {
		return Name{}, false
	}
	r.teamIndex[j.Team] = max(r.teamIndex[j.Team], revision)
	return j.Name, true
}
