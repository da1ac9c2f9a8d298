package httpapi

import (
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

// handleJobs lists the team's jobs, or registers one.
func handleJobs(q *request) (any, error) {
	if q.r.Method != http.MethodGet {
		return registerJob(q)
	}
	page, err := q.parsePage()
	if err != nil {
		return nil, err
	}
	out := []jobStub{}
	err = q.readRegistry(registry.Name{Team: q.team}, false, func(r *registry.Registry) {
		list := r.List(q.team, q.params.Get("prefix"))
		for _, j := range paginate(q, list, page, func(j *registry.Job) string { return j.ID }) {
			out = append(out, newJobStub(r, j))
		}
	})
	return out, err
}

// pageParams selects a page of a list.
type pageParams struct {
	perPage    int    // 0 for all
	startToken string // the token of the page's first element
}

// parsePage reads the parameters of a paginated list.
func (q *request) parsePage() (pageParams, error) {
	p := pageParams{startToken: q.params.Get("next_token")}
	if s := q.params.Get("per_page"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return p, statusErrorf(http.StatusBadRequest, "Invalid per_page")
		}
		p.perPage = n
	}
	if q.params.Get("reverse") == "true" {
		return p, statusErrorf(http.StatusBadRequest, "reverse is not served: lists are in the order of names")
	}
	return p, nil
}

// paginate returns a page of a list that is sorted by token, and sets the header with the token of
// the next page.
func paginate[T any](q *request, list []T, p pageParams, token func(T) string) []T {
	for len(list) > 0 && p.startToken != "" && token(list[0]) < p.startToken {
		list = list[1:]
	}
	if p.perPage > 0 && len(list) > p.perPage {
		q.w.Header().Set("X-Nomad-NextToken", token(list[p.perPage]))
		list = list[:p.perPage]
	}
	return list
}

// registerRequest holds the fields beside the job in a register request.
type registerRequest struct {
	EnforceIndex   bool
	JobModifyIndex uint64
	PreserveCounts bool
	Diff           bool
}

// readJob parses the job of a request and translates it for the caller's team.
func (q *request) readJob() (*registerRequest, *jobfile.File, []translate.Group, error) {
	b, err := q.readBody()
	if err != nil {
		return nil, nil, nil, err
	}
	f, err := jobfile.Parse("job", b, jobfile.Options{Request: true})
	if err != nil {
		return nil, nil, nil, badRequestIfProblems(err)
	}
	var reg registerRequest
	if err := json.Unmarshal(b, &reg); err != nil {
		return nil, nil, nil, statusErrorf(http.StatusBadRequest, "%v", err)
	}
	if reg.PreserveCounts {
		return nil, nil, nil, statusErrorf(http.StatusBadRequest, "PreserveCounts is not served: the number of tasks is the job's")
	}
	if !q.namespaceVisible() {
		return nil, nil, nil, errForbidden
	}
	groups, ps := translate.Job(f, q.backend.TranslationPolicy(q.team))
	if ps != nil {
		return &reg, f, nil, ps
	}
	return &reg, f, groups, nil
}

// badRequestIfProblems turns problems of a job file into an error with status 400, and returns other
// errors as they are.
func badRequestIfProblems(err error) error {
	var ps jobfile.Problems
	if errors.As(err, &ps) {
		return statusErrorf(http.StatusBadRequest, "%v", ps)
	}
	return err
}

// newRegistration returns the registration of a parsed job.
func (q *request) newRegistration(reg *registerRequest, f *jobfile.File, groups []translate.Group) (registry.Registration, error) {
	job := *f.Job
	job.Namespace = q.team
	src, err := json.Marshal(&job)
	if err != nil {
		return registry.Registration{}, err
	}
	packed, err := registry.Pack(src)
	return registry.Registration{
		Name:   registry.Name{Team: q.team, ID: job.ID},
		Stub:   registry.Stub{Title: job.Name, Type: job.Type, Priority: job.Priority, Datacenters: job.Datacenters},
		Source: packed, Groups: groups, EnforceIndex: reg.EnforceIndex, ExpectedIndex: reg.JobModifyIndex,
	}, err
}

func registerJob(q *request) (any, error) {
	reg, f, groups, err := q.readJob()
	if err != nil {
		return nil, badRequestIfProblems(err)
	}
	if q.id != "" && q.id != f.Job.ID {
		return nil, statusErrorf(http.StatusBadRequest, "Job ID does not match name")
	}
	r, err := q.newRegistration(reg, f, groups)
	if err != nil {
		return nil, err
	}
	ctx, cancel := q.withTimeout()
	defer cancel()
	done, err := q.backend.Register(ctx, r)
	if err != nil {
		return nil, err
	}
	return &registerResponse{
		EvalID: evaluationID(r.Name, done.Index), EvalCreateIndex: done.Index, JobModifyIndex: done.Index,
		Warnings: formatWarnings(f), responseMeta: q.newResponseMeta(done.Index),
	}, nil
}

// formatWarnings lists the parts of a job file that are ignored.
func formatWarnings(f *jobfile.File) string {
	ps := translate.Warnings(f)
	if len(ps) == 0 {
		return ""
	}
	return fmt.Sprintf("%d warning(s):\n%v", len(ps), ps)
}

// responseMeta holds the fields that all responses to writes have.
type responseMeta struct {
	Index       uint64
	LastContact int64
	KnownLeader bool
}

// newResponseMeta returns the fields for an index, and sets the index header.
func (q *request) newResponseMeta(index uint64) responseMeta {
	q.w.Header().Set("X-Nomad-Index", strconv.FormatUint(index, 10))
	return responseMeta{Index: index, KnownLeader: true}
}

// parseJob parses a job file in HCL and returns its JSON form.
func parseJob(q *request) (any, error) {
	b, err := q.readBody()
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
		return nil, statusErrorf(http.StatusBadRequest, "%v", err)
	}
	if in.HCLv1 {
		return nil, statusErrorf(http.StatusBadRequest, "HCL's first version is not served")
	}
	if in.JobHCL == "" {
		return nil, statusErrorf(http.StatusBadRequest, "Job spec is empty")
	}
	o := jobfile.Options{}
	if in.Variables != "" {
		o.VarFiles = []jobfile.VarFile{{Name: "variables", Source: []byte(in.Variables)}}
	}
	f, err := jobfile.Parse("job", []byte(in.JobHCL), o)
	if err != nil {
		return nil, badRequestIfProblems(err)
	}
	return f.Job, nil
}

// validateJob returns the errors and warnings of a job.
func validateJob(q *request) (any, error) {
	out := struct {
		DriverConfigValidated bool
		ValidationErrors      []string
		Error, Warnings       string
	}{DriverConfigValidated: true, ValidationErrors: []string{}}
	_, f, _, err := q.readJob()
	var ps jobfile.Problems
	var badRequest *statusError
	switch {
	case errors.As(err, &ps):
	case errors.As(err, &badRequest) && badRequest.status == http.StatusBadRequest:
		ps = jobfile.Problems{{Text: badRequest.text}}
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
		out.Warnings = formatWarnings(f)
	}
	return &out, nil
}

// handleJob returns one job, registers a version of it, or deregisters it.
func handleJob(q *request) (any, error) {
	switch q.r.Method {
	case http.MethodPost, http.MethodPut:
		return registerJob(q)
	case http.MethodDelete:
		return deregisterJob(q)
	}
	if err := q.pool.check(q.team); err != nil {
		return nil, err
	}
	var job *jobSnapshot
	err := q.readRegistry(q.jobName(), true, func(r *registry.Registry) { job = snapshotJob(r, q.jobName()) })
	if err != nil || job == nil {
		return orNotFound(job, err)
	}
	return q.renderSources(q.team, func(unpacked *int) (any, error) { return job.fullJob(job.job.Version, unpacked) })
}

// orNotFound returns v, or an error with status 404 if v is nil.
func orNotFound[T any](v *T, err error) (any, error) {
	switch {
	case err != nil:
		return nil, err
	case v == nil:
		return nil, errJobNotFound
	}
	return v, nil
}

func deregisterJob(q *request) (any, error) {
	if !q.namespaceVisible() {
		return nil, errJobNotFound
	}
	ctx, cancel := q.withTimeout()
	defer cancel()
	done, err := q.backend.Deregister(ctx, q.jobName(), q.params.Get("purge") == "true")
	if err != nil {
		return nil, err
	}
	return &registerResponse{
		EvalID: evaluationID(q.jobName(), done.Index), EvalCreateIndex: done.Index, JobModifyIndex: done.Index, responseMeta: q.newResponseMeta(done.Index),
	}, nil
}

// planJob returns what a registration would change, without changing anything.
func planJob(q *request) (any, error) {
	reg, f, groups, err := q.readJob()
	if err != nil {
		return nil, badRequestIfProblems(err)
	}
	if q.id != f.Job.ID {
		return nil, statusErrorf(http.StatusBadRequest, "Job ID does not match")
	}
	r, err := q.newRegistration(reg, f, groups)
	if err != nil {
		return nil, err
	}
	r.EnforceIndex = false
	ctx, cancel := q.withTimeout()
	defer cancel()
	change, old, err := q.backend.Plan(ctx, r)
	if err != nil {
		return nil, err
	}
	return newJobPlan(r, change, old, reg.Diff, formatWarnings(f)), nil
}

func getJobSummary(q *request) (any, error) {
	var out *jobSummary
	err := q.readRegistry(q.jobName(), true, func(r *registry.Registry) {
		if j := r.Get(q.jobName()); j != nil {
			out = newJobSummary(r, j)
		}
	})
	return orNotFound(out, err)
}

func listJobVersions(q *request) (any, error) {
	if err := q.pool.check(q.team); err != nil {
		return nil, err
	}
	var job *jobSnapshot
	err := q.readRegistry(q.jobName(), false, func(r *registry.Registry) { job = snapshotJob(r, q.jobName()) })
	if err != nil || job == nil {
		return orNotFound(job, err)
	}
	return q.renderSources(q.team, func(unpacked *int) (any, error) { return job.versions(unpacked) })
}

// machinesShare is the name of the machines' share of the pool. No team's name is empty.
const machinesShare = ""

// getTaskDescription returns what a machine runs for a task of a native job. The machine requests it
// with the native job's ID from its start command.
func getTaskDescription(q *request) (any, error) {
	if !q.tokens.isAgent(q.r.Header.Get("X-Nomad-Token")) {
		if !q.badTokenLimiter.Allow() {
			return nil, errTooManyRequests
		}
		return nil, errForbidden
	}
	var job *jobSnapshot
	var group string
	// A machine may get a start command for a job that this node has not read yet.
	_, err := q.runQuery(Query{Name: registry.Name{ID: q.id}}, func(r *registry.Registry) {
		if j, g := r.ByNative(q.id); j != nil {
			job, group = snapshotJob(r, j.Name), g.Name
		}
	})
	if err != nil || job == nil {
		return orNotFound(job, err)
	}
	return q.renderSources(machinesShare, func(unpacked *int) (any, error) { return job.describeTask(group, unpacked) })
}

// unixNanos converts a time to nanoseconds, the unit of the published JSON.
func unixNanos(t core.Micros) int64 { return int64(t) * 1000 }
