package registry

import (
	"fmt"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// Registration is a job file to be registered.
type Registration struct {
	Name
	Stub   Stub
	Source string            // the job's JSON in canonical form, packed: equal content has equal bytes
	Groups []translate.Group // the translated task groups
	// EnforceIndex makes the registration fail unless the job's JobModifyIndex is ExpectedIndex.
	// 0 stands for a job that does not exist.
	EnforceIndex  bool
	ExpectedIndex uint64
}

// ConflictError is returned if a job's JobModifyIndex is not the one that its registration expects.
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

// TooLargeError is returned if a job exceeds the limits of the state service.
type TooLargeError struct{ Reason string }

func (e *TooLargeError) Error() string { return e.Reason }

// Change is the transaction of a registration or deregistration.
type Change struct {
	Conditions []wire.Cond
	Writes     []wire.Write
	Start      []core.JobSpec   // native jobs to be created
	Cancel     []core.JobRecord // native jobs to be cancelled, if their records have not changed
	// Keep has the IDs of the native jobs that continue unchanged.
	Keep []string
	// Cleanup holds deletions of sources for which the transaction has no room. They are executed
	// afterwards, each by itself, and may be lost: the next change of the job deletes what is left.
	Cleanup []Deletion
}

// Deletion deletes a record if it still has the given revision. A deletion that is executed late does
// not delete a record that was written under the same key since.
type Deletion struct {
	Key         string
	ModRevision uint64
}

// deleteSources adds the deletion of versions' sources to a change, in the transaction as far as
// that has room.
func (r *Registry) deleteSources(change *Change, key string, versions []version) {
	room := r.limits.MaxOps - change.operations()
	for i, v := range versions {
		source := sourceKey(key, v.number)
		if i < room {
			change.Writes = append(change.Writes, wire.Write{Kind: txn.RegistryChange, Delete: source})
		} else {
			change.Cleanup = append(change.Cleanup, Deletion{source, v.revision})
		}
	}
}

// operations returns the number of puts and deletes in the transaction.
func (c *Change) operations() int { return len(c.Writes) + len(c.Start) + len(c.Cancel) }

// Empty reports whether the change writes nothing.
func (c *Change) Empty() bool { return len(c.Writes) == 0 }

// encodePut returns the write of a value, encoded, to a key.
func encodePut(key string, v any) (wire.Write, error) {
	b, err := wire.Marshal(v)
	return wire.Write{Kind: txn.RegistryChange, Put: key, Value: b}, err
}

// encodePut returns the write of a job's record; key is the jobKey of the job.
func (rec *jobRecord) encodePut(key string) (wire.Write, error) { return encodePut(jobPrefix+key, rec) }

// Register returns the change that a registration makes. Content equal to the current version
// changes nothing; this is also the case for a retry after a lost response. newID returns IDs for
// native jobs, and now is the wall-clock time. Register returns a ConflictError or a TooLargeError
// if the registration is refused.
func (r *Registry) Register(reg Registration, newID func() string, now core.Micros) (*Change, error) {
	if n := r.limits.MaxGroups(); len(reg.Groups) > n {
		return nil, &TooLargeError{fmt.Sprintf("the job has %d groups; this deployment's state service changes at most %d of a job at once: split it", len(reg.Groups), n)}
	}
	old := r.jobs[reg.Name]
	same := old != nil && !old.Stopped && old.currentSource() == reg.Source
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
	if old != nil {
		rec.Version, rec.Create, rec.Before = old.Version+1, old.CreateIndex, old.JobModifyIndex
	}
	change.Conditions = append(change.Conditions, r.unchangedConditions(reg.Name, old)...)
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
	sourceWrite, err := encodePut(sourceKey(key, rec.Version), &sourceRecord{Packed: reg.Source, At: int64(now)})
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
	if old != nil {
		r.deleteSources(change, key, old.versions[:max(len(old.versions)-r.limits.maxVersions()+1, 0)])
	}
	return change, r.checkLimits(change)
}

// unchangedConditions returns the conditions under which a job is still as the registry has it: old,
// or nil if there is no such job. They can't hold again after they failed once, so a registration
// that is executed late, after other changes of the job, is refused. That a record does not exist is
// also true after a purge; the revisions of the purge records tell the two apart.
func (r *Registry) unchangedConditions(n Name, old *Job) []wire.Cond {
	record := jobPrefix + jobKey(n)
	if old != nil {
		return []wire.Cond{{Key: record, ModRevision: old.JobModifyIndex}}
	}
	conditions := []wire.Cond{{Key: record}}
	for _, key := range []string{purgeKey(n), teamPurgeKey(n.Team)} {
		conditions = append(conditions, wire.Cond{Key: key, ModRevision: r.purgeRevisions[key]})
	}
	return conditions
}

// checkLimits returns a TooLargeError if a change has too many operations. Jobs are checked against
// the limits when they are registered, so this happens only after the limits were lowered.
func (r *Registry) checkLimits(change *Change) error {
	if n := change.operations(); n > r.limits.MaxOps {
		return &TooLargeError{fmt.Sprintf("the change has %d operations; this deployment's state service takes %d at once", n, r.limits.MaxOps)}
	}
	return nil
}

// checkIndex checks the expected index of a registration. A retry finds the job as its first
// attempt changed it. It succeeds if the content is the same and the last change replaced the
// expected index.
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

// reusableNative returns the ID of the native job that already runs an unchanged group, or "".
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

// cancelNatives adds the cancellation of the old job's unfinished native jobs to a change, except
// for those in kept.
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

// Deregister returns the change that stops or purges a job, or nil if there is no such job. The
// change is empty if the job is already stopped and is not purged.
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
		g, err := encodePut(purgeKey(n), &purgeRecord{n.Team})
		if err != nil {
			return nil, err
		}
		change.Writes = append(change.Writes, wire.Write{Kind: txn.RegistryChange, Delete: jobPrefix + key}, g)
		r.deleteSources(change, key, old.versions)
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

// currentSource returns the packed source of the current version, or "" if it is not stored.
func (j *Job) currentSource() string {
	for _, v := range j.versions {
		if v.number == j.Version {
			return v.source
		}
	}
	return ""
}
