package httpapi

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/nomad/translate"
)

// jobs lists the team's jobs, or registers one.
func jobs(q *request) (any, error) {
	if q.r.Method != http.MethodGet {
		return register(q)
	}
	page, err := q.page()
	if err != nil {
		return nil, err
	}
	out := []jobStub{}
	err = q.look(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		list := r.List(q.team, q.q.Get("prefix"))
		for _, j := range cut(q, list, page, func(j *registry.Job) string { return j.ID }) {
			out = append(out, stubOf(r, j))
		}
	})
	return out, err
}

// page is which part of a list is wanted.
type page struct {
	size int    // 0: all
	from string // the token of the first
}

func (q *request) page() (page, error) {
	p := page{from: q.q.Get("next_token")}
	if s := q.q.Get("per_page"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return p, fail(http.StatusBadRequest, "Invalid per_page")
		}
		p.size = n
	}
	if q.q.Get("reverse") == "true" {
		return p, fail(http.StatusBadRequest, "reverse is not served: lists are in the order of names")
	}
	return p, nil
}

// cut takes a page of a list that is sorted by token, and says where the next
// begins.
func cut[T any](q *request, list []T, p page, token func(T) string) []T {
	for len(list) > 0 && p.from != "" && token(list[0]) < p.from {
		list = list[1:]
	}
	if p.size > 0 && len(list) > p.size {
		q.w.Header().Set("X-Nomad-NextToken", token(list[p.size]))
		list = list[:p.size]
	}
	return list
}

// registration is what stands beside the job in a request.
type registration struct {
	EnforceIndex   bool
	JobModifyIndex uint64
	PreserveCounts bool
	Diff           bool
}

// read reads the job of a request and translates it for the caller's team.
func (q *request) read() (*registration, *jobfile.File, []translate.Group, error) {
	b, err := q.body()
	if err != nil {
		return nil, nil, nil, err
	}
	f, err := jobfile.Parse("job", b, jobfile.Options{Request: true})
	if err != nil {
		return nil, nil, nil, problems(err)
	}
	var reg registration
	if err := json.Unmarshal(b, &reg); err != nil {
		return nil, nil, nil, fail(http.StatusBadRequest, "%v", err)
	}
	if reg.PreserveCounts {
		return nil, nil, nil, fail(http.StatusBadRequest, "PreserveCounts is not served: the number of tasks is the job's")
	}
	if !q.visible() {
		return nil, nil, nil, errDenied
	}
	groups, ps := translate.Job(f, q.b.Terms(q.team))
	if ps != nil {
		return &reg, f, nil, ps
	}
	return &reg, f, groups, nil
}

// problems is the answer to a file with problems.
func problems(err error) error {
	var ps jobfile.Problems
	if errors.As(err, &ps) {
		return fail(http.StatusBadRequest, "%v", ps)
	}
	return err
}

// toRegister is a registration of a job that was read.
func (q *request) toRegister(reg *registration, f *jobfile.File, groups []translate.Group) (registry.Registration, error) {
	job := *f.Job
	job.Namespace = q.team
	src, err := json.Marshal(&job)
	return registry.Registration{
		Name:   registry.Name{Team: q.team, ID: job.ID},
		Stub:   registry.Stub{Title: job.Name, Type: job.Type, Priority: job.Priority, Datacenters: job.Datacenters},
		Source: src, Groups: groups, EnforceIndex: reg.EnforceIndex, ExpectedIndex: reg.JobModifyIndex,
	}, err
}

func register(q *request) (any, error) {
	reg, f, groups, err := q.read()
	if err != nil {
		return nil, problems(err)
	}
	if q.id != "" && q.id != f.Job.ID {
		return nil, fail(http.StatusBadRequest, "Job ID does not match name")
	}
	r, err := q.toRegister(reg, f, groups)
	if err != nil {
		return nil, err
	}
	ctx, cancel := q.work()
	defer cancel()
	done, err := q.b.Register(ctx, r)
	if err != nil {
		return nil, err
	}
	return &registered{
		EvalID: evaluationID(r.Name, done.Index), EvalCreateIndex: done.Index, JobModifyIndex: done.Index,
		Warnings: warnings(f), meta: q.meta(done.Index),
	}, nil
}

// warnings tells what of a file is ignored.
func warnings(f *jobfile.File) string {
	ps := translate.Warnings(f)
	if len(ps) == 0 {
		return ""
	}
	return fmt.Sprintf("%d warning(s):\n%v", len(ps), ps)
}

// meta are the fields that answers to writes have.
type meta struct {
	Index       uint64
	LastContact int64
	KnownLeader bool
}

func (q *request) meta(index uint64) meta {
	q.w.Header().Set("X-Nomad-Index", strconv.FormatUint(index, 10))
	return meta{Index: index, KnownLeader: true}
}

// parseJob reads HCL and answers with its JSON form.
func parseJob(q *request) (any, error) {
	b, err := q.body()
	if err != nil {
		return nil, err
	}
	var in struct {
		JobHCL       string
		HCLv1        bool
		Canonicalize bool
		Variables    string
	}
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, fail(http.StatusBadRequest, "%v", err)
	}
	if in.HCLv1 {
		return nil, fail(http.StatusBadRequest, "HCL's first version is not served")
	}
	if in.JobHCL == "" {
		return nil, fail(http.StatusBadRequest, "Job spec is empty")
	}
	o := jobfile.Options{}
	if in.Variables != "" {
		o.VarFiles = []jobfile.VarFile{{Name: "variables", Source: []byte(in.Variables)}}
	}
	f, err := jobfile.Parse("job", []byte(in.JobHCL), o)
	if err != nil {
		return nil, problems(err)
	}
	return f.Job, nil
}

// validateJob says what is wrong with a job.
func validateJob(q *request) (any, error) {
	out := struct {
		DriverConfigValidated bool
		ValidationErrors      []string
		Error, Warnings       string
	}{DriverConfigValidated: true, ValidationErrors: []string{}}
	_, f, _, err := q.read()
	var ps jobfile.Problems
	var bad *failure
	switch {
	case errors.As(err, &ps):
	case errors.As(err, &bad) && bad.status == http.StatusBadRequest:
		ps = jobfile.Problems{{Text: bad.text}}
	case err != nil:
		return nil, err
	}
	for _, p := range ps {
		out.ValidationErrors = append(out.ValidationErrors, strings.TrimPrefix(p.String(), ": "))
	}
	if len(ps) > 0 {
		out.Error = fmt.Sprintf("%d error(s) occurred:\n%s", len(ps), strings.Join(out.ValidationErrors, "\n"))
	}
	if f != nil {
		out.Warnings = warnings(f)
	}
	return &out, nil
}

// job answers for one job: reads it, registers a version, or ends it.
func job(q *request) (any, error) {
	switch q.r.Method {
	case http.MethodPost, http.MethodPut:
		return register(q)
	case http.MethodDelete:
		return deregister(q)
	}
	var out *fullJob
	var failed error
	err := q.look(q.name(), true, func(r *registry.Registry) {
		if j := r.Get(q.name()); j != nil {
			out, failed = fullOf(r, j, j.Version)
		}
	})
	return found(out, cmp.Or(err, failed))
}

// found is an answer that may not be there.
func found[T any](v *T, err error) (any, error) {
	switch {
	case err != nil:
		return nil, err
	case v == nil:
		return nil, errNoJob
	}
	return v, nil
}

func deregister(q *request) (any, error) {
	if !q.visible() {
		return nil, errNoJob
	}
	ctx, cancel := q.work()
	defer cancel()
	done, err := q.b.Deregister(ctx, q.name(), q.q.Get("purge") == "true")
	if err != nil {
		return nil, err
	}
	return &registered{
		EvalID: evaluationID(q.name(), done.Index), EvalCreateIndex: done.Index, JobModifyIndex: done.Index, meta: q.meta(done.Index),
	}, nil
}

// plan says what a registration would change, and changes nothing.
func plan(q *request) (any, error) {
	reg, f, groups, err := q.read()
	if err != nil {
		return nil, problems(err)
	}
	if q.id != f.Job.ID {
		return nil, fail(http.StatusBadRequest, "Job ID does not match")
	}
	r, err := q.toRegister(reg, f, groups)
	if err != nil {
		return nil, err
	}
	r.EnforceIndex = false
	ctx, cancel := q.work()
	defer cancel()
	ch, old, err := q.b.Plan(ctx, r)
	if err != nil {
		return nil, err
	}
	return planOf(r, ch, old, reg.Diff, warnings(f)), nil
}

func summary(q *request) (any, error) {
	var out *jobSummary
	err := q.look(q.name(), true, func(r *registry.Registry) {
		if j := r.Get(q.name()); j != nil {
			out = summaryOf(r, j)
		}
	})
	return found(out, err)
}

func versions(q *request) (any, error) {
	var out *jobVersions
	var failed error
	err := q.look(q.name(), false, func(r *registry.Registry) {
		j := r.Get(q.name())
		if j == nil {
			return
		}
		out = &jobVersions{Versions: []*fullJob{}}
		for _, v := range j.Versions() {
			full, err := fullOf(r, j, v)
			if err != nil {
				failed = err
				return
			}
			out.Versions = append(out.Versions, full)
		}
	})
	return found(out, cmp.Or(err, failed))
}

// description is what a machine runs for a task of a native job: it asks with
// the job's id, as it was told to start it.
func description(q *request) (any, error) {
	if !q.tokens.agent(q.r.Header.Get("X-Nomad-Token")) {
		if !q.bad.Allow() {
			return nil, errTooMany
		}
		return nil, errDenied
	}
	var out *taskDescription
	var failed error
	// A machine may be told to start what this node has not yet heard of.
	_, err := q.lookFor(Query{Of: registry.Name{ID: q.id}}, func(r *registry.Registry) {
		j, g := r.ByNative(q.id)
		if j == nil {
			return
		}
		out, failed = describe(r, j, g)
	})
	return found(out, cmp.Or(err, failed))
}

// describe finds a group's task in its job's source.
func describe(r *registry.Registry, j *registry.Job, g *registry.Group) (*taskDescription, error) {
	b, _, _, err := j.Source(j.Version)
	if err != nil {
		return nil, err
	}
	src, err := jobfile.Decode(b)
	if err != nil {
		return nil, err
	}
	for i := range src.TaskGroups {
		if t := &src.TaskGroups[i]; t.Name == g.Name && len(t.Tasks) == 1 {
			d := &taskDescription{Job: src, Version: j.Version, Group: g.Name, Meta: map[string]string{}}
			for _, m := range []map[string]string{src.Meta, t.Meta, t.Tasks[0].Meta} {
				for k, v := range m {
					d.Meta[k] = v
				}
			}
			return d, nil
		}
	}
	return nil, fmt.Errorf("job %s has no group %q", j.ID, g.Name)
}

// nanos is a time of day as clients read it.
func nanos(t core.Micros) int64 { return int64(t) * 1000 }
