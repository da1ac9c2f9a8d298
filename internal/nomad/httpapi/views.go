package httpapi

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/nomad/registry"
)

// The types below are encoded as the published JSON. Their fields have the published names.

type registerResponse struct {
	EvalID          string
	EvalCreateIndex uint64
	JobModifyIndex  uint64
	Warnings        string
	responseMeta
}

type jobStub struct {
	ID, ParentID, Name, Namespace            string
	Datacenters                              []string
	NodePool, Type                           string
	Priority                                 int
	Periodic, ParameterizedJob, Stop         bool
	Status, StatusDescription                string
	JobSummary                               *jobSummary
	CreateIndex, ModifyIndex, JobModifyIndex uint64
	SubmitTime                               int64
	Version                                  uint64
}

type groupSummary struct {
	Queued, Complete, Failed, Running, Starting, Lost, Unknown int
}

type jobSummary struct {
	JobID, Namespace         string
	Summary                  map[string]groupSummary
	Children                 struct{ Pending, Running, Dead int64 }
	CreateIndex, ModifyIndex uint64
}

type fullJob struct {
	*jobfile.Job
	ParentID                                 string
	Status, StatusDescription                string
	Stop, Stable                             bool
	Version                                  uint64
	SubmitTime                               int64
	CreateIndex, ModifyIndex, JobModifyIndex uint64
}

type jobVersions struct {
	Versions []*fullJob
	Diffs    []struct{}
}

// taskDescription holds what a machine runs: the job and the group within it.
type taskDescription struct {
	Job     *jobfile.Job
	Version uint64
	Group   string
	Meta    map[string]string // of the job, the group and the task; the task's values take precedence
}

func newJobSummary(r *registry.Registry, j *registry.Job) *jobSummary {
	s := &jobSummary{
		JobID: j.ID, Namespace: j.Team, Summary: map[string]groupSummary{},
		CreateIndex: j.CreateIndex, ModifyIndex: r.ModifyIndex(j),
	}
	for _, g := range j.Groups {
		t := r.TaskCounts(g)
		s.Summary[g.Name] = groupSummary{Queued: t.Queued, Complete: t.Complete, Running: t.Running}
	}
	return s
}

func newJobStub(r *registry.Registry, j *registry.Job) jobStub {
	return jobStub{
		ID: j.ID, Name: j.Title, Namespace: j.Team, Datacenters: j.Datacenters, NodePool: "default", Type: j.Type, Priority: j.Priority,
		Stop: j.Stopped, Status: string(r.Status(j)), JobSummary: newJobSummary(r, j),
		CreateIndex: j.CreateIndex, ModifyIndex: r.ModifyIndex(j), JobModifyIndex: j.JobModifyIndex,
		SubmitTime: unixNanos(j.Submitted), Version: j.Version,
	}
}

type desiredUpdates struct {
	Ignore, Place, Migrate, Stop, InPlaceUpdate, DestructiveUpdate, Canary, Preemptions uint64
}

type groupDiff struct {
	Type, Name string
	Fields     []struct{}
	Objects    []struct{}
	Tasks      []struct{}
	Updates    map[string]uint64
}

type jobDiff struct {
	Type       string
	Fields     []struct{}
	Objects    []struct{}
	TaskGroups []groupDiff
	ID         string
}

type jobPlan struct {
	Annotations struct {
		DesiredTGUpdates map[string]*desiredUpdates
		PreemptedAllocs  []struct{}
	}
	FailedTGAllocs     map[string]struct{}
	NextPeriodicLaunch *string
	JobModifyIndex     uint64
	CreatedEvals       []struct{}
	Diff               *jobDiff
	Warnings           string
}

// newJobPlan returns the effect of a change by group: which groups start, stop or keep running. It
// does not list the fields that differ.
func newJobPlan(reg registry.Registration, change *registry.Change, old *registry.Job, diff bool, warnings string) *jobPlan {
	p := &jobPlan{FailedTGAllocs: map[string]struct{}{}, Warnings: warnings}
	p.Annotations.DesiredTGUpdates = map[string]*desiredUpdates{}
	updatesOf := func(group string) *desiredUpdates {
		if p.Annotations.DesiredTGUpdates[group] == nil {
			p.Annotations.DesiredTGUpdates[group] = &desiredUpdates{}
		}
		return p.Annotations.DesiredTGUpdates[group]
	}
	kept, cancelledTasks := map[string]bool{}, map[string]int{}
	for _, id := range change.Keep {
		kept[id] = true
	}
	for _, rec := range change.Cancel {
		cancelledTasks[rec.Spec.ID] = rec.Spec.Tasks
	}
	groupKept := map[string]bool{}
	if old != nil {
		p.JobModifyIndex = old.JobModifyIndex
		for _, g := range old.Groups {
			groupKept[g.Name] = kept[g.Native]
			updatesOf(g.Name).Stop = uint64(cancelledTasks[g.Native])
		}
	}
	d := &jobDiff{ID: reg.ID, Type: "None"}
	if !change.Empty() {
		d.Type = "Edited"
	}
	if old == nil {
		d.Type = "Added"
	}
	for _, g := range reg.Groups {
		u := updatesOf(g.Name)
		gd := groupDiff{Name: g.Name, Type: "None", Updates: map[string]uint64{}}
		if groupKept[g.Name] || change.Empty() {
			u.Ignore = uint64(g.Spec.Tasks)
			gd.Updates["ignore"] = u.Ignore
		} else {
			u.Place = uint64(g.Spec.Tasks)
			gd.Type, gd.Updates["create"] = "Added", u.Place
			if _, existed := groupKept[g.Name]; existed {
				gd.Type = "Edited"
			}
		}
		d.TaskGroups = append(d.TaskGroups, gd)
	}
	if diff {
		p.Diff = d
	}
	return p
}

// formatUUID writes 16 bytes in the form of a UUID, which clients expect.
func formatUUID(b [16]byte) string {
	h := hex.EncodeToString(b[:])
	return fmt.Sprintf("%s-%s-%s-%s-%s", h[:8], h[8:12], h[12:16], h[16:20], h[20:])
}

func shortHash(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return h.Sum(nil)[:8]
}

// evaluationID returns the ID of the evaluation that stands for a registration. It is derived from the
// job and the index, so it is the same on every node.
func evaluationID(n registry.Name, index uint64) string {
	var b [16]byte
	copy(b[:], shortHash("evaluation", n.Team, n.ID))
	binary.BigEndian.PutUint64(b[8:], index)
	return formatUUID(b)
}

// evaluationSuffix returns the last part of the IDs of all evaluations with an index.
func evaluationSuffix(index uint64) string {
	const digits = 12
	return fmt.Sprintf("%0*x", digits, index&(1<<(4*digits)-1))
}

// allocationID returns the ID of a task, which does not change when the task moves to another machine.
func allocationID(native string, index int) string {
	var b [16]byte
	copy(b[:], shortHash("allocation", native))
	binary.BigEndian.PutUint64(b[8:], uint64(index))
	return formatUUID(b)
}

func nodeID(name string) string {
	var b [16]byte
	copy(b[:], shortHash("machine", name))
	copy(b[8:], shortHash("machine's", name))
	return formatUUID(b)
}

type evalView struct {
	ID, Namespace, Type, TriggeredBy, JobID, Status, StatusDescription string
	Priority                                                           int
	JobModifyIndex, CreateIndex, ModifyIndex                           uint64
	CreateTime, ModifyTime                                             int64
	QueuedAllocations                                                  map[string]int
}

// newEvalView returns the evaluation of a job's last registration or deregistration. It is always
// complete: no decision is pending once the registration is written.
func newEvalView(r *registry.Registry, j *registry.Job) evalView {
	e := evalView{
		ID: evaluationID(j.Name, j.JobModifyIndex), Namespace: j.Team, Type: j.Type, TriggeredBy: "job-register", JobID: j.ID,
		Status: "complete", Priority: j.Priority, JobModifyIndex: j.JobModifyIndex, CreateIndex: j.JobModifyIndex, ModifyIndex: j.JobModifyIndex,
		CreateTime: unixNanos(j.Submitted), ModifyTime: unixNanos(j.Submitted), QueuedAllocations: map[string]int{},
	}
	if j.Stopped {
		e.TriggeredBy = "job-deregister"
	}
	for _, g := range j.Groups {
		e.QueuedAllocations[g.Name] = r.TaskCounts(g).Queued
	}
	return e
}

type taskState struct {
	State                 string
	Failed                bool
	Restarts              uint64
	StartedAt, FinishedAt *string
	Events                []struct{}
}

type allocView struct {
	ID, EvalID, Name, Namespace, NodeID, NodeName, JobID, JobType string
	JobVersion                                                    uint64
	TaskGroup                                                     string
	DesiredStatus, DesiredDescription                             string
	ClientStatus, ClientDescription                               string
	TaskStates                                                    map[string]taskState
	CreateIndex, ModifyIndex                                      uint64
	CreateTime, ModifyTime                                        int64
}

// newAllocView returns the allocation of a task that is done or on a machine.
func newAllocView(j *registry.Job, g registry.Group, index uint64, now core.Micros, t core.TaskView) allocView {
	a := allocView{
		ID: allocationID(g.Native, t.Index), EvalID: evaluationID(j.Name, j.JobModifyIndex), Name: fmt.Sprintf("%s.%s[%d]", j.ID, g.Name, t.Index),
		Namespace: j.Team, JobID: j.ID, JobType: j.Type, JobVersion: j.Version, TaskGroup: g.Name,
		DesiredStatus: "run", CreateIndex: j.JobModifyIndex, ModifyIndex: index, TaskStates: map[string]taskState{},
		CreateTime: unixNanos(j.Submitted), ModifyTime: unixNanos(j.Submitted),
	}
	state := taskState{State: "pending"}
	switch {
	case t.Done:
		a.ClientStatus, state.State = "complete", "dead"
	case t.State == core.Running || t.State == core.Checkpointing:
		a.ClientStatus, state.State = "running", "running"
	default:
		a.ClientStatus = "pending"
	}
	if t.Machine != "" {
		a.NodeID, a.NodeName = nodeID(t.Machine), t.Machine
		a.CreateTime, a.ModifyTime = unixNanos(now-t.Age), unixNanos(now-t.Age)
	}
	a.TaskStates[g.Name] = state
	return a
}

type nodeView struct {
	ID, Name, Datacenter, NodeClass, NodePool, Status, StatusDescription, SchedulingEligibility, Address, Version string
	Drain                                                                                                         bool
	Attributes                                                                                                    map[string]string
	Drivers                                                                                                       map[string]struct{}
	CreateIndex, ModifyIndex                                                                                      uint64
}

func newNodeView(m core.MachineView) nodeView {
	n := nodeView{
		ID: nodeID(m.Name), Name: m.Name, Datacenter: m.Zone, NodeClass: m.Type, NodePool: "default", Status: "ready",
		SchedulingEligibility: "eligible", Attributes: map[string]string{"aspenstall.spot": fmt.Sprint(m.Spot)}, Drivers: map[string]struct{}{},
	}
	if !m.Ready {
		n.Status, n.StatusDescription = "down", "the worker does not report"
	}
	return n
}
