package node

import (
	"context"
	"errors"
	"net/http"

	"aspenstall/internal/core"
	"aspenstall/internal/httpapi"
	"aspenstall/internal/statestore"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// awaitResponse runs f on the owning goroutine and waits for its response. If ctx ends first, or too
// many requests of the class wait, the client is told to retry.
func (n *Node) awaitResponse(ctx context.Context, class requestClass, f func(reply func(httpapi.Response))) httpapi.Response {
	a, ok := request(ctx, n, class, f)
	if !ok {
		return httpapi.Unavailable()
	}
	return a
}

// jobResponse returns the response for a job that is known.
func (n *Node) jobResponse(rec core.JobRecord) httpapi.Response {
	s := wire.JobState{ID: rec.Spec.ID, State: wire.PhaseName(rec.Phase)}
	switch rec.Phase {
	case core.Done:
		s.Done = rec.Spec.Tasks
	case core.Pending:
		done, running := n.jobCounts(rec.Spec.ID)
		s.Done, s.Running = done, running
		if running > 0 {
			s.State = wire.StateRunning
		}
	}
	return httpapi.Response{Status: http.StatusOK, Body: &s}
}

// lookup replies with the state of the job, or calls notFound if it is certain that there is no
// such job. A final state is served from memory. Any other state is served only once the view is
// known to be current, since another node may have reported a later one.
func (n *Node) lookup(id string, reply func(httpapi.Response), notFound func()) {
	if rec, ok := n.view.jobs[id]; ok && rec.Phase != core.Pending {
		reply(n.jobResponse(rec))
		return
	}
	receivedAt := n.now()
	n.readLinearizable(func(ok bool) {
		rec, known := n.view.jobs[id]
		switch {
		case known && rec.Phase != core.Pending:
			reply(n.jobResponse(rec))
		case !ok:
			reply(httpapi.Unavailable())
		case known:
			a := n.jobResponse(rec)
			a.Fresh = n.freshnessCheck(receivedAt)
			reply(a)
		default:
			notFound()
		}
	})
}

// maxResponseAge is how long a response may still be written if a later response may differ. It
// counts from the arrival of the request, or from the write of an accepted job. Users do not wait
// longer: they ask another node meanwhile.
const maxResponseAge = 1500 * core.Millisecond

// freshnessCheck returns a function that reports whether a response may still be written whose age
// counts from receivedAt.
func (n *Node) freshnessCheck(receivedAt core.Micros) func() bool {
	return func() bool { return n.now() < receivedAt+maxResponseAge }
}

// Submit accepts or refuses a submission. spec is nil if the submission is malformed.
func (n *Node) Submit(ctx context.Context, id string, spec *core.JobSpec) httpapi.Response {
	return n.awaitResponse(ctx, submission, func(reply func(httpapi.Response)) { n.submit(id, spec, reply) })
}

func (n *Node) submit(id string, spec *core.JobSpec, reply func(httpapi.Response)) {
	receivedAt := n.now()
	refuseWith := func(status int) func() {
		return func() { reply(n.unknownJobResponse(status, receivedAt)) }
	}
	switch _, known := n.view.jobs[id]; {
	case known:
		n.lookup(id, reply, refuseWith(http.StatusServiceUnavailable))
	case spec == nil:
		n.lookup(id, reply, refuseWith(http.StatusBadRequest))
	case !n.view.ready || len(n.catalog) == 0:
		reply(httpapi.Unavailable())
	case !n.clusterConfig.follower.Current():
		n.lookup(id, reply, refuseWith(http.StatusServiceUnavailable))
	case n.unknownDependency(spec):
		n.refuseUnknownDependency(spec, receivedAt, reply)
	case n.infeasibleReason(spec) != "":
		n.lookup(id, reply, func() { n.refuseOrCreate(spec, receivedAt, reply) })
	default:
		n.create(spec, reply)
	}
}

// refuseOrCreate refuses a submission that can't run by the configuration read since it arrived:
// the configuration may have changed since the first check. If it changes again before the refusal
// is written, the response is 503 instead.
func (n *Node) refuseOrCreate(spec *core.JobSpec, receivedAt core.Micros, reply func(httpapi.Response)) {
	switch {
	case !n.mayDecide():
		reply(httpapi.Unavailable())
	case n.infeasibleReason(spec) == "":
		n.create(spec, reply)
	default:
		a := n.unknownJobResponse(http.StatusUnprocessableEntity, receivedAt)
		recent, revision := a.Fresh, n.clusterConfig.headRevision.Load()
		a.Fresh = func() bool { return recent() && n.configUnchanged(revision) }
		reply(a)
	}
}

// create writes the record of a new job and replies once the result is known.
func (n *Node) create(spec *core.JobSpec, reply func(httpapi.Response)) {
	if n.stateUnreachable() {
		reply(httpapi.Unavailable())
		return
	}
	rec := core.JobRecord{Spec: *spec, SubmittedAt: wallClock()}
	b, err := wire.EncodeJob(&rec)
	if err != nil {
		n.log.Error("encoding a job failed", "err", err)
		reply(httpapi.Response{Status: http.StatusInternalServerError})
		return
	}
	key := jobPrefix + spec.ID
	configRevision := n.clusterConfig.headRevision.Load()
	req := &writeRequest{
		conds: append(n.configConditions(), wire.Cond{Key: key}),
		ops:   []wire.Write{{Kind: txn.Submission, Put: key, Value: b}},
		done: func(rev uint64, err error) {
			switch {
			case err == nil:
				rec.Revision = rev
				n.applyWrittenJob(rec)
				reply(httpapi.Response{Status: http.StatusCreated, Body: &wire.AcceptedResponse{ID: spec.ID, State: wire.StatePending},
					Fresh: n.freshnessCheck(n.now())}) // it may be cancelled by then through another node
			case errors.Is(err, statestore.ErrConflict):
				n.lookup(spec.ID, reply, func() { n.resubmitIfConfigChanged(spec, configRevision, reply) })
			case errors.Is(err, statestore.ErrInvalid):
				n.log.Info("submission refused by the state service", "job", spec.ID, "err", err)
				reply(httpapi.Response{Status: http.StatusBadRequest})
			default:
				// Not executed, or the result is unknown. The client finds out with a retry.
				reply(httpapi.Unavailable())
			}
		},
	}
	if !n.committer.add(req, true) {
		reply(httpapi.Unavailable())
	}
}

// resubmitIfConfigChanged submits a job that is still unknown once more if the configuration has
// changed since configRevision. The write of the job was conditional on an unchanged configuration.
func (n *Node) resubmitIfConfigChanged(spec *core.JobSpec, configRevision uint64, reply func(httpapi.Response)) {
	if n.configUnchanged(configRevision) {
		reply(httpapi.Unavailable())
		return
	}
	n.submit(spec.ID, spec, reply)
}

// Poll returns the state of a job.
func (n *Node) Poll(ctx context.Context, id string) httpapi.Response {
	return n.awaitResponse(ctx, question, func(reply func(httpapi.Response)) { n.poll(id, reply) })
}

func (n *Node) poll(id string, reply func(httpapi.Response)) {
	receivedAt := n.now()
	n.lookup(id, reply, func() { reply(n.unknownJobResponse(http.StatusNotFound, receivedAt)) })
}

// unknownJobResponse returns the response for a job that was unknown when the request was received
// at receivedAt. It expires, since another node may accept the job before the response is written.
func (n *Node) unknownJobResponse(status int, receivedAt core.Micros) httpapi.Response {
	return httpapi.Response{Status: status, Fresh: n.freshnessCheck(receivedAt)}
}

// Cancel cancels a job unless it is done, and returns its state.
func (n *Node) Cancel(ctx context.Context, id string) httpapi.Response {
	return n.awaitResponse(ctx, cancellation, func(reply func(httpapi.Response)) { n.cancel(id, 3, reply) })
}

// cancel cancels a job. After a conflict it reads the current state and retries, attempts times at
// most.
func (n *Node) cancel(id string, attempts int, reply func(httpapi.Response)) {
	if _, known := n.view.jobs[id]; known {
		n.cancelKnown(id, attempts, reply)
		return
	}
	receivedAt := n.now()
	n.lookup(id, func(httpapi.Response) { n.cancelKnown(id, attempts, reply) }, func() {
		reply(n.unknownJobResponse(http.StatusNotFound, receivedAt))
	})
}

func (n *Node) cancelKnown(id string, attempts int, reply func(httpapi.Response)) {
	rec, ok := n.view.jobs[id]
	if !ok {
		reply(httpapi.Unavailable())
		return
	}
	if rec.Phase != core.Pending {
		reply(n.jobResponse(rec))
		return
	}
	if n.stateUnreachable() {
		reply(httpapi.Unavailable())
		return
	}
	revision := rec.Revision
	rec = rec.Final(core.Cancelled, wallClock())
	b, err := wire.EncodeJob(&rec)
	if err != nil {
		n.log.Error("encoding a job failed", "err", err)
		reply(httpapi.Response{Status: http.StatusInternalServerError})
		return
	}
	key := jobPrefix + id
	req := &writeRequest{
		conds: []wire.Cond{{Key: key, ModRevision: revision}},
		ops:   []wire.Write{{Kind: txn.Cancellation, Put: key, Value: b}},
		done: func(rev uint64, err error) {
			switch {
			case err == nil:
				rec.Revision = rev
				n.applyWrittenJob(rec)
				reply(n.jobResponse(rec))
			case errors.Is(err, statestore.ErrConflict) && attempts > 0:
				// The job is done, or was cancelled through another node: read its current state.
				n.readLinearizable(func(ok bool) {
					if !ok {
						reply(httpapi.Unavailable())
						return
					}
					n.cancel(id, attempts-1, reply)
				})
			default:
				reply(httpapi.Unavailable())
			}
		},
	}
	if !n.committer.add(req, true) {
		reply(httpapi.Unavailable())
	}
}

// Report takes a worker's report and returns the commands for the worker.
func (n *Node) Report(ctx context.Context, r *core.Report) httpapi.Response {
	return n.awaitResponse(ctx, workerReport, func(reply func(httpapi.Response)) {
		n.lastReport, n.abstainUntil = n.now(), 0
		if n.mayAnswerInGrace() {
			if token, ok := n.core.HandleReportInGrace(n.now(), r); ok {
				n.respondToReport(reply, token, n.stopCommands(r), n.withinAnswerGrace)
				return
			}
			n.term.deposed = n.term.deposed || r.Token > n.term.token
		}
		if token := n.delegatedToken(r); token != 0 {
			n.lastDelegatedAnswer = n.now()
			n.respondToReport(reply, token, n.stopCommands(r), nil) // the worker counts its lease from when it sent the report
			return
		}
		if !n.isActiveLeader() {
			if n.view.leader == "" || n.view.leader == n.platform.Member {
				reply(httpapi.Unavailable())
				return
			}
			reply(httpapi.Response{Status: http.StatusMisdirectedRequest, Body: &wire.Redirect{Node: n.view.leader}})
			return
		}
		cmds, token, ok := n.core.HandleReport(n.now(), r)
		if !ok {
			reply(httpapi.Unavailable())
			return
		}
		n.respondToReport(reply, token, cmds, n.sendCheck(cmds))
	})
}

// respondToReport replies to a worker's report with commands under a token. fresh, if not nil, is
// checked right before the response is written.
func (n *Node) respondToReport(reply func(httpapi.Response), token uint64, cmds []core.Command, fresh func() bool) {
	b, err := wire.EncodeCommands(token, 0, cmds)
	if err != nil {
		n.log.Error("encoding commands failed", "err", err)
		reply(httpapi.Unavailable())
		return
	}
	reply(httpapi.Response{Status: http.StatusOK, Raw: b, Fresh: fresh})
}

// Healthy reports whether this node can take requests.
func (n *Node) Healthy() bool { return n.serving.Load() }
