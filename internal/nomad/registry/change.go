package registry

import (
	"fmt"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/wire"
)

// Registration is a job file to be taken.
type Registration struct {
	Name
	Stub   Stub
	Source []byte            // the job's JSON, the same for the same content
	Groups []translate.Group // what it becomes
	// Enforce makes it valid only if the job's JobModifyIndex is Index; 0 for a
	// job that is not there.
	EnforceIndex  bool
	ExpectedIndex uint64
}

// ConflictError says that a job is not as its registration expects.
type ConflictError struct{ Expected, Actual uint64 }

func (e *ConflictError) Error() string {
	switch {
	case e.Expected == 0:
		return "Enforcing job modify index 0: job already exists"
	case e.Actual == 0:
		return fmt.Sprintf("Enforcing job modify index %d: job does not exist", e.Expected)
	}
	return fmt.Sprintf("Enforcing job modify index %d: job exists with conflicting job modify index: %d", e.Expected, e.Actual)
}

// TooLargeError says that a job does not fit into the state service's limits.
type TooLargeError struct{ Reason string }

func (e *TooLargeError) Error() string { return e.Reason }

// Change is what a registration or deregistration writes, all or nothing.
type Change struct {
	Conditions []wire.Cond
	Writes     []wire.Write
	Start      []core.JobSpec   // native jobs to be made
	Cancel     []core.JobRecord // native jobs to be cancelled, each if it is still as here
	// Keep are native jobs that go on, unchanged.
	Keep []string
}

// Empty reports whether nothing is to be written.
func (c *Change) Empty() bool { return len(c.Writes) == 0 }

func encodePut(key string, v any) (wire.Write, error) {
	b, err := wire.Marshal(v)
	return wire.Write{Put: key, Value: b}, err
}

func (rec *jobRecord) encodePut(key string) (wire.Write, error) { return encodePut(jobPrefix+key, rec) }

// Register works out the change that a registration makes. The same content as
// the current version changes nothing, which is also what a retry finds whose
// first answer was lost. newID makes ids for native jobs; now is wall clock.
func (r *Registry) Register(reg Registration, newID func() string, now core.Micros) (*Change, error) {
	if n := r.limits.MaxGroups(); len(reg.Groups) > n {
		return nil, &TooLargeError{fmt.Sprintf("the job has %d groups; this deployment's state service changes at most %d of a job at once: split it", len(reg.Groups), n)}
	}
	packed, err := Pack(reg.Source)
	if err != nil {
		return nil, err
	}
	old := r.jobs[reg.Name]
	same := old != nil && !old.Stopped && old.currentSource() == packed
	if err := reg.checkIndex(old, same); err != nil {
		return nil, err
	}
	change := &Change{}
	if same {
		for _, g := range old.Groups {
			change.Keep = append(change.Keep, g.Native)
		}
		return change, nil
	}
	key := jobKey(reg.Name)
	rec := &jobRecord{Stub: reg.Stub, Team: reg.Team, ID: reg.ID, At: int64(now)}
	cond := wire.Cond{Key: jobPrefix + key}
	if old != nil {
		rec.Version, rec.Create, rec.Before = old.Version+1, old.CreateIndex, old.JobModifyIndex
		cond.ModRevision = old.JobModifyIndex
	}
	change.Conditions = append(change.Conditions, cond)
	kept := map[string]bool{}
	for _, g := range reg.Groups {
		native := r.reusableNative(old, g)
		if native != "" {
			kept[native] = true
			change.Keep = append(change.Keep, native)
		} else {
			spec := g.Spec
			spec.ID = newID()
			native = spec.ID
			change.Start = append(change.Start, spec)
		}
		rec.Groups = append(rec.Groups, Group{Name: g.Name, Native: native, Digest: g.Digest})
	}
	r.cancelNatives(change, old, kept)
	sourceWrite, err := encodePut(sourceKey(key, rec.Version), &sourceRecord{Packed: packed, At: int64(now)})
	if err != nil {
		return nil, err
	}
	jobWrite, err := rec.encodePut(key)
	if err != nil {
		return nil, err
	}
	for _, w := range []wire.Write{sourceWrite, jobWrite} {
		if n := len(w.Value) + 100; n > r.limits.MaxValueBytes {
			return nil, &TooLargeError{fmt.Sprintf("the job takes %d bytes when packed; this deployment's state service holds %d", n, r.limits.MaxValueBytes)}
		}
	}
	change.Writes = append(change.Writes, jobWrite, sourceWrite)
	if old != nil && len(old.versions) >= r.limits.maxVersions() {
		change.Writes = append(change.Writes, wire.Write{Delete: sourceKey(key, old.versions[0].number)})
	}
	return change, r.checkLimits(change)
}

// fits reports whether a change is within the limits. Jobs are held to them
// when they are registered, so only lowered limits can be in its way.
func (r *Registry) checkLimits(change *Change) error {
	if n := len(change.Writes) + len(change.Start) + len(change.Cancel); n > r.limits.MaxOps {
		return &TooLargeError{fmt.Sprintf("the change has %d parts; this deployment's state service takes %d at once", n, r.limits.MaxOps)}
	}
	return nil
}

// enforce checks a registration's index. What a retry of it sees is its own
// work, if the content is the same and it replaced what it expected.
func (reg *Registration) checkIndex(old *Job, same bool) error {
	if !reg.EnforceIndex {
		return nil
	}
	have := uint64(0)
	if old != nil {
		have = old.JobModifyIndex
	}
	if have == reg.ExpectedIndex || same && old.previousModifyIndex == reg.ExpectedIndex {
		return nil
	}
	return &ConflictError{reg.ExpectedIndex, have}
}

// unchanged is the native job that serves a group already, "" for none.
func (r *Registry) reusableNative(old *Job, g translate.Group) string {
	if old == nil || old.Stopped {
		return ""
	}
	for _, o := range old.Groups {
		rec, ok := r.natives.Record(o.Native)
		if o.Name == g.Name && o.Digest == g.Digest && ok && rec.Phase != core.Cancelled {
			return o.Native
		}
	}
	return ""
}

// end adds that the old job's native jobs end, but for those that are kept.
func (r *Registry) cancelNatives(change *Change, old *Job, kept map[string]bool) {
	if old == nil {
		return
	}
	for _, g := range old.Groups {
		if rec, ok := r.natives.Record(g.Native); ok && rec.Phase == core.Pending && !kept[g.Native] {
			change.Cancel = append(change.Cancel, rec)
		}
	}
}

// Deregister works out the change that stops a job, or purges it; nil if there
// is no such job.
func (r *Registry) Deregister(n Name, purge bool) (*Change, error) {
	old := r.jobs[n]
	if old == nil {
		return nil, nil
	}
	change := &Change{}
	if old.Stopped && !purge {
		return change, nil
	}
	key := jobKey(n)
	change.Conditions = append(change.Conditions, wire.Cond{Key: jobPrefix + key, ModRevision: old.JobModifyIndex})
	r.cancelNatives(change, old, nil)
	if purge {
		change.Writes = append(change.Writes, wire.Write{Delete: jobPrefix + key})
		for _, v := range old.versions {
			change.Writes = append(change.Writes, wire.Write{Delete: sourceKey(key, v.number)})
		}
		g, err := encodePut(purgeKey(n.Team), &purgeRecord{n.Team})
		if err != nil {
			return nil, err
		}
		change.Writes = append(change.Writes, g)
		return change, r.checkLimits(change)
	}
	rec := &jobRecord{
		Stub: old.Stub, Team: n.Team, ID: n.ID, Version: old.Version, Stopped: true, At: int64(old.Submitted),
		Groups: old.Groups, Create: old.CreateIndex, Before: old.JobModifyIndex,
	}
	jobWrite, err := rec.encodePut(key)
	if err != nil {
		return nil, err
	}
	change.Writes = append(change.Writes, jobWrite)
	return change, r.checkLimits(change)
}

// current is the packed source of the current version, "" if it is not kept.
func (j *Job) currentSource() string {
	for _, v := range j.versions {
		if v.number == j.Version {
			return v.source
		}
	}
	return ""
}
