package httpapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/nomad/registry"
)

// jobSnapshot is a copy of what an answer shows of a job. It is made on the goroutine that owns the
// registry, and costs no more than the copy: the stored sources are immutable, and are unpacked later.
type jobSnapshot struct {
	job         registry.Job
	status      registry.Status
	modifyIndex uint64
}

// snapshotJob returns a copy of a job, or nil if there is none.
func snapshotJob(r *registry.Registry, n registry.Name) *jobSnapshot {
	j := r.Get(n)
	if j == nil {
		return nil
	}
	return &jobSnapshot{*j, r.Status(j), r.ModifyIndex(j)}
}

// encodedAnswer is an encoded answer. release is called once it has been sent.
type encodedAnswer struct {
	body    []byte
	release func()
}

// renderSources encodes an answer that decode makes of a job's unpacked sources, in the pool. decode
// adds the number of bytes that it unpacks.
func (q *request) renderSources(share string, decode func(unpacked *int) (any, error)) (any, error) {
	ctx, cancel := q.withTimeout()
	defer cancel()
	body, release, err := q.pool.render(ctx, share, func() ([]byte, int, error) {
		unpacked := 0
		v, err := decode(&unpacked)
		if err != nil {
			return nil, unpacked, err
		}
		b, err := q.encodeJSON(v)
		return b, unpacked, err
	})
	if err != nil {
		return nil, err
	}
	return &encodedAnswer{body, release}, nil
}

// encodeJSON returns v as JSON, in the form that the request asks for.
func (q *request) encodeJSON(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if q.params.Has("pretty") {
		enc.SetIndent("", "    ")
	}
	err := enc.Encode(v)
	return b.Bytes(), err
}

// decodeSource unpacks and decodes a version of a job.
func (s *jobSnapshot) decodeSource(version uint64, unpacked *int) (src *jobfile.Job, index uint64, submitted int64, err error) {
	b, index, at, err := s.job.Source(version)
	*unpacked += len(b)
	if err != nil {
		return nil, 0, 0, err
	}
	src, err = jobfile.Decode(b)
	return src, index, unixNanos(at), err
}

// fullJob returns a version of the job as it was registered, with its status.
func (s *jobSnapshot) fullJob(version uint64, unpacked *int) (*fullJob, error) {
	src, index, submitted, err := s.decodeSource(version, unpacked)
	if err != nil {
		return nil, err
	}
	j := &s.job
	f := &fullJob{
		Job: src, Version: version, SubmitTime: submitted, CreateIndex: j.CreateIndex,
		JobModifyIndex: index, ModifyIndex: index, Stop: true, Status: string(registry.Dead),
	}
	if version == j.Version {
		f.Stop, f.Status = j.Stopped, string(s.status)
		f.JobModifyIndex, f.ModifyIndex = j.JobModifyIndex, s.modifyIndex
	}
	return f, nil
}

// versions returns all stored versions of the job, the newest first.
func (s *jobSnapshot) versions(unpacked *int) (*jobVersions, error) {
	out := &jobVersions{Versions: []*fullJob{}}
	for _, v := range s.job.Versions() {
		full, err := s.fullJob(v, unpacked)
		if err != nil {
			return nil, err
		}
		out.Versions = append(out.Versions, full)
	}
	return out, nil
}

// describeTask finds a group's task in the job's source.
func (s *jobSnapshot) describeTask(group string, unpacked *int) (*taskDescription, error) {
	src, _, _, err := s.decodeSource(s.job.Version, unpacked)
	if err != nil {
		return nil, err
	}
	for i := range src.TaskGroups {
		t := &src.TaskGroups[i]
		if t.Name != group || len(t.Tasks) != 1 {
			continue
		}
		d := &taskDescription{Job: src, Version: s.job.Version, Group: group, Meta: map[string]string{}}
		for _, m := range []map[string]string{src.Meta, t.Meta, t.Tasks[0].Meta} {
			maps.Copy(d.Meta, m)
		}
		return d, nil
	}
	return nil, fmt.Errorf("job %s has no group %q", s.job.ID, group)
}
