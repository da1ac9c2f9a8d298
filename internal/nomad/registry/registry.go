// Package registry tracks the jobs that were registered as Nomad job files: their names, versions,
// and the native job of each group. It is pure: records of the state service and of native jobs
// are passed in, and a registration is returned as a change. The caller writes the change in one
// transaction, together with the native jobs that it creates and cancels.
//
// An index is a revision of the state service. It comes from a record, so it is the same on all
// nodes and never decreases.
//
// Records are passed in the order of their revisions, each at least once. A record that this node
// wrote itself may come before older changes that other nodes made to other jobs.
package registry

import (
	"cmp"
	"slices"
	"strings"

	"aspenstall/internal/core"
)

// Name identifies a job: its ID within its team, which is the namespace.
type Name struct{ Team, ID string }

// Group is a task group of a job, with the native job that runs it.
type Group struct {
	//lint:ignore U1000 the encoder reads its tag
	_msgpack struct{} `msgpack:",as_array"` // the format of the stored record
	Name     string
	Native   string // the ID of the native job
	Digest   string // of the group's content: an unchanged group keeps its native job
}

// Stub is the part of a job's content that lists of jobs show.
type Stub struct {
	Title       string   `msgpack:"n"` // the displayed name
	Type        string   `msgpack:"t"`
	Priority    int      `msgpack:"p"`
	Datacenters []string `msgpack:"d"`
}

// Job is the current state of a job.
type Job struct {
	Name
	Stub
	Version   uint64
	Groups    []Group
	Stopped   bool
	Submitted core.Micros // wall clock, when the version was submitted
	// JobModifyIndex is the index of the last registration or deregistration, CreateIndex that of
	// the first registration.
	JobModifyIndex, CreateIndex uint64

	previousModifyIndex uint64    // the JobModifyIndex that the last change replaced
	versions            []version // the stored ones, by number
}

// version is the stored source of a version of a job.
type version struct {
	number    uint64
	source    string      // packed
	revision  uint64      // of the record
	submitted core.Micros // wall clock
}

// PurgedJob is a job that was purged, with the index of the purge.
type PurgedJob struct {
	Name
	Index uint64
}

// NativeJobs gives access to native jobs.
type NativeJobs interface {
	// Record returns a native job's record, and whether there is one.
	Record(id string) (core.JobRecord, bool)
	// TaskCounts returns the numbers of completed and running tasks of an unfinished native job.
	TaskCounts(id string) (done, running int)
}

// Registry holds the registered jobs. Its methods must not be called concurrently.
type Registry struct {
	natives         NativeJobs
	limits          Limits
	jobs            map[Name]*Job
	jobsByTeam      map[string]map[string]*Job // by team and ID
	orphanedSources map[string][]version       // by jobKey, of jobs whose record has not arrived
	namesByKey      map[string]Name
	byNative        map[string]*Job
	teamIndex       map[string]uint64 // index of the last change by team
	purgeRevisions  map[string]uint64 // of the purge records, by key
	purged          []PurgedJob       // the last purged jobs, the oldest first
}

// maxPurged is the number of purged jobs that are kept for event streams that resume.
const maxPurged = 1000

// Limits are the limits of the state service for one transaction.
type Limits struct {
	MaxOps        int // puts and deletes
	MaxValueBytes int // bytes of a value as JSON
}

// New returns an empty registry.
func New(l Limits, n NativeJobs) *Registry {
	return &Registry{
		natives: n, limits: l, jobs: map[Name]*Job{}, jobsByTeam: map[string]map[string]*Job{}, orphanedSources: map[string][]version{}, namesByKey: map[string]Name{},
		byNative: map[string]*Job{}, teamIndex: map[string]uint64{}, purgeRevisions: map[string]uint64{},
	}
}

// MaxGroups returns the largest number of groups in a job. The transaction of a new version cancels
// the native jobs of the old groups and creates those of the new ones. Its other three operations
// write the job's record and its source, and delete the oldest source.
func (l Limits) MaxGroups() int { return max((l.MaxOps-3)/2, 1) }

// maxVersions returns how many versions of a job are stored, so that a purge of the job also fits
// into a transaction.
func (l Limits) maxVersions() int { return max(min(6, l.MaxOps-2-l.MaxGroups()), 1) }

// setJob sets a job's current state.
func (r *Registry) setJob(j *Job) {
	r.jobs[j.Name] = j
	if r.jobsByTeam[j.Team] == nil {
		r.jobsByTeam[j.Team] = map[string]*Job{}
	}
	r.jobsByTeam[j.Team][j.ID] = j
}

// dropJob removes a job.
func (r *Registry) dropJob(n Name) {
	delete(r.jobs, n)
	delete(r.jobsByTeam[n.Team], n.ID)
	if len(r.jobsByTeam[n.Team]) == 0 {
		delete(r.jobsByTeam, n.Team)
	}
}

// Get returns a job, or nil if there is none.
func (r *Registry) Get(n Name) *Job { return r.jobs[n] }

// ByNative returns the job and the group that a native job runs, or nil.
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

// NativeRecord returns a native job's record, and whether there is one.
func (r *Registry) NativeRecord(id string) (core.JobRecord, bool) { return r.natives.Record(id) }

// List returns a team's jobs whose IDs begin with prefix, sorted by ID.
func (r *Registry) List(team, prefix string) []*Job {
	var out []*Job
	for id, j := range r.jobsByTeam[team] {
		if strings.HasPrefix(id, prefix) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TeamIndex returns the index of the last change to any job of a team.
func (r *Registry) TeamIndex(team string) uint64 { return r.teamIndex[team] }

// Index returns the index of the last change to a job. For a job that does not exist, it returns
// the index of its team, since the last change may have been the purge of the job.
func (r *Registry) Index(n Name) uint64 {
	if j := r.jobs[n]; j != nil {
		return r.ModifyIndex(j)
	}
	return r.teamIndex[n.Team]
}

// ModifyIndex returns the index of the last change to a job or its native jobs.
func (r *Registry) ModifyIndex(j *Job) uint64 {
	at := j.JobModifyIndex
	for _, g := range j.Groups {
		if rec, ok := r.natives.Record(g.Native); ok {
			at = max(at, rec.Revision)
		}
	}
	return at
}

// Purged returns a team's jobs that were purged after an index, the oldest purge first.
func (r *Registry) Purged(team string, after uint64) []PurgedJob {
	var out []PurgedJob
	for _, g := range r.purged {
		if g.Team == team && g.Index > after {
			out = append(out, g)
		}
	}
	return out
}

// Status is a job's status as published by Nomad's API.
type Status string

// The statuses.
const (
	Pending Status = "pending"
	Running Status = "running"
	Dead    Status = "dead"
)

// TaskCounts holds the numbers of a group's tasks by state.
type TaskCounts struct{ Queued, Running, Complete, Stopped int }

// TaskCounts returns the numbers of a group's tasks by state.
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

// Status returns a job's status. It is Dead once all native jobs of the job have ended.
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

// HandleNativeChange records that a native job's record changed at a revision. It returns the name
// of the job that it belongs to, and false if there is none.
func (r *Registry) HandleNativeChange(id string, revision uint64) (Name, bool) {
	j := r.byNative[id]
	if j == nil {
		return Name{}, false
	}
	r.teamIndex[j.Team] = max(r.teamIndex[j.Team], revision)
	return j.Name, true
}
