package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math/big"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/peer"
	"aspenstall/internal/statestore"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// nomadState holds the jobs that were submitted as job files, and the queries that wait for
// changes of them. Its fields belong to the owning goroutine.
type nomadState struct {
	registry    *registry.Registry
	maxWaiters  int // limit on concurrent waiters
	waiterCount int
	// waiters holds the waiters by the job that they wait for; an empty ID stands for all jobs of
	// a team.
	waiters map[registry.Name]map[*registryQuery]bool
	// progressWaiters holds the waiters by the native job whose counts they wait for.
	progressWaiters map[string]map[*registryQuery]bool
	// countsChangedAt holds, by unfinished native job, when this node last learnt new counts.
	countsChangedAt map[string]core.Micros
	// written holds the native jobs that this node has written and whose change the view may not
	// include yet.
	written map[string]bool
}

func newNomadState(n *Node) *nomadState {
	if n.settings.Nomad == nil {
		return nil
	}
	return &nomadState{
		registry:   registry.New(registry.Limits{MaxOps: n.stateLimits.TxnOps, MaxValueBytes: n.stateLimits.ValueBytes}, nativeJobs{n}),
		maxWaiters: n.settings.Nomad.MaxWatchers,
		waiters:    map[registry.Name]map[*registryQuery]bool{}, progressWaiters: map[string]map[*registryQuery]bool{},
		countsChangedAt: map[string]core.Micros{}, written: map[string]bool{},
	}
}

// nativeJobs gives the registry access to the native jobs.
type nativeJobs struct{ n *Node }

func (j nativeJobs) Record(id string) (core.JobRecord, bool) {
	rec, ok := j.n.view.jobs[id]
	return rec, ok
}

func (j nativeJobs) TaskCounts(id string) (done, running int) { return j.n.jobCounts(id) }

// jobCounts returns the task counts of an unfinished job, as far as this node knows them.
func (n *Node) jobCounts(id string) (done, running int) {
	if done, running, ok := n.core.TaskCounts(id); ok {
		return done, running
	}
	k := n.leaderCounts[id]
	return k.Done, k.Running
}

// putRecord applies a record that was read or written.
func (s *nomadState) putRecord(n *Node, key string, value []byte, revision uint64) {
	if s == nil {
		return
	}
	name, changed, err := s.registry.HandlePut(key, value, revision)
	if err != nil {
		n.log.Error("record of a job file", "err", err)
	}
	if !changed {
		return
	}
	s.wakeWaiters(name)
	if j := s.registry.Get(name); j != nil {
		for _, g := range j.Groups {
			s.watchCounts(n, g.Native)
		}
	}
}

// watchCounts has the core report changes of the counts of a native job while the job is
// unfinished.
func (s *nomadState) watchCounts(n *Node, id string) {
	rec, ok := n.view.jobs[id]
	j, _ := s.registry.ByNative(id)
	needed := ok && j != nil && rec.Phase == core.Pending
	n.core.Watch(id, needed)
	if !needed {
		delete(s.countsChangedAt, id)
	}
}

func (s *nomadState) dropRecord(key string, revision uint64) {
	if s == nil {
		return
	}
	if name, changed := s.registry.HandleDelete(key, revision); changed {
		s.wakeWaiters(name)
	}
}

// dropMissing drops the records that a complete list no longer holds. listed has the keys of all job
// files' records in it.
func (s *nomadState) dropMissing(listed map[string]bool, rev uint64) {
	if s == nil {
		return
	}
	for _, name := range s.registry.HandleKeyList(listed, rev) {
		s.wakeWaiters(name)
	}
}

// noteListed notes that a page of a list held a native job's record: see noteWritten.
func (s *nomadState) noteListed(id string) {
	if s == nil {
		return
	}
	if j, _ := s.registry.ByNative(id); j != nil {
		s.written[id] = true
	}
}

// noteWritten notes that this node has written a native job's record. The registry takes the change
// once the view includes it: see replyOnceRead.
func (s *nomadState) noteWritten(id string) {
	if s != nil {
		s.written[id] = true
	}
}

// takeWritten passes the written records to the registry that the view includes now.
func (s *nomadState) takeWritten(n *Node) {
	if s == nil {
		return
	}
	for id := range s.written {
		if rec := n.view.jobs[id]; rec.Revision <= n.view.revision {
			delete(s.written, id)
			s.nativeJobChanged(n, &rec)
		}
	}
}

// nativeJobChanged notes that a native job's record changed.
func (s *nomadState) nativeJobChanged(n *Node, rec *core.JobRecord) {
	if s == nil {
		return
	}
	s.watchCounts(n, rec.Spec.ID)
	if name, ok := s.registry.HandleNativeChange(rec.Spec.ID, rec.Revision); ok {
		s.wakeWaiters(name)
	}
}

// countsChanged notes that a native job's counts changed.
func (s *nomadState) countsChanged(n *Node, id string) {
	if s == nil {
		return
	}
	if j, _ := s.registry.ByNative(id); j != nil && n.view.jobs[id].Phase == core.Pending {
		s.countsChangedAt[id] = n.now()
	}
	for q := range s.progressWaiters[id] {
		q.wake()
	}
}

// TranslationPolicy returns the rules for the job files of a team.
func (n *Node) TranslationPolicy(team string) translate.Policy {
	s := n.settings.Nomad
	return translate.Policy{
		Team: team, Zones: n.platform.Params.Zones, MHzPerCPU: s.MHzPerCPU, ScratchMB: s.ScratchMB, GPUs: s.GPUDevices, MaxPriority: n.priorityCap,
	}
}

// valueOrError carries a value or an error between goroutines.
type valueOrError[T any] struct {
	value T
	err   error
}

// callWithError runs f on the owning goroutine and waits for its reply. If ctx ends first, it
// returns the error timeout.
func callWithError[T any](ctx context.Context, n *Node, timeout error, f func(reply func(T, error))) (T, error) {
	r, ok := call(ctx, n, withError(f))
	if !ok {
		return r.value, timeout
	}
	return r.value, r.err
}

// requestWithError is like callWithError for a request of a class. It returns ErrUnavailable if ctx
// ends first or too many requests of the class wait.
func requestWithError[T any](ctx context.Context, n *Node, class requestClass, f func(reply func(T, error))) (T, error) {
	r, ok := request(ctx, n, class, withError(f))
	if !ok {
		return r.value, httpapi.ErrUnavailable
	}
	return r.value, r.err
}

// withError returns f with one value as its reply.
func withError[T any](f func(reply func(T, error))) func(reply func(valueOrError[T])) {
	return func(reply func(valueOrError[T])) {
		f(func(v T, err error) { reply(valueOrError[T]{v, err}) })
	}
}

// maxChangeAttempts limits the attempts of one change. It is computed again if another change was
// written in between.
const maxChangeAttempts = 4

// Register registers a job of a job file. It returns once the job, its version and the native job
// of each group are written, in one transaction.
func (n *Node) Register(ctx context.Context, reg registry.Registration) (httpapi.RegisterResult, error) {
	return requestWithError(ctx, n, submission, func(reply func(httpapi.RegisterResult, error)) {
		n.changeJob(maxChangeAttempts, reply, func() (*registry.Change, error) {
			if len(n.catalog) == 0 || !n.mayDecide() {
				return nil, httpapi.ErrUnavailable // it is not known which jobs could run
			}
			for i := range reg.Groups {
				if why := n.infeasibleReason(&reg.Groups[i].Spec); why != "" {
					return nil, &httpapi.RefusedError{Reason: fmt.Sprintf("group %q can never run here: %s", reg.Groups[i].Name, why)}
				}
			}
			return n.nomad.registry.Register(reg, newNativeID, wallClock())
		}, reg.Name)
	})
}

// Plan returns what a registration would change, and a copy of the current job, nil if there is
// none.
func (n *Node) Plan(ctx context.Context, reg registry.Registration) (*registry.Change, *registry.Job, error) {
	type planned struct {
		ch  *registry.Change
		old *registry.Job
	}
	p, err := requestWithError(ctx, n, question, func(reply func(planned, error)) {
		n.readLinearizable(func(ok bool) {
			if !ok || len(n.catalog) == 0 {
				reply(planned{}, httpapi.ErrUnavailable)
				return
			}
			ch, err := n.nomad.registry.Register(reg, func() string { return "" }, wallClock())
			var old *registry.Job
			if j := n.nomad.registry.Get(reg.Name); j != nil {
				k := *j
				old = &k
			}
			reply(planned{ch, old}, err)
		})
	})
	return p.ch, p.old, err
}

// Deregister stops a job, or removes it if purge is set.
func (n *Node) Deregister(ctx context.Context, name registry.Name, purge bool) (httpapi.RegisterResult, error) {
	return requestWithError(ctx, n, cancellation, func(reply func(httpapi.RegisterResult, error)) {
		n.changeJob(maxChangeAttempts, reply, func() (*registry.Change, error) {
			ch, err := n.nomad.registry.Deregister(name, purge)
			if err == nil && ch == nil {
				err = httpapi.ErrNoJob
			}
			return ch, err
		}, name)
	})
}

// changeJob computes a change from the current state and writes it.
func (n *Node) changeJob(attempts int, reply func(httpapi.RegisterResult, error), plan func() (*registry.Change, error), name registry.Name) {
	n.readLinearizable(func(ok bool) {
		if !ok {
			reply(httpapi.RegisterResult{}, httpapi.ErrUnavailable)
			return
		}
		ch, err := plan()
		if err != nil {
			reply(httpapi.RegisterResult{}, err)
			return
		}
		if ch.Empty() {
			reply(n.registeredState(name, 0), nil)
			return
		}
		req, err := n.changeRequest(ch)
		if err != nil {
			n.log.Error("encoding a job failed", "err", err)
			reply(httpapi.RegisterResult{}, err)
			return
		}
		req.done = func(rev uint64, err error) {
			switch {
			case err == nil:
				n.committer.addCleanup(ch.Cleanup)
				n.log.Info("job file", "team", name.Team, "job", name.ID, "started", len(ch.Start), "ended", len(ch.Cancel), "kept", len(ch.Keep), "revision", rev)
				n.replyOnceRead(name, rev, reply)
			case errors.Is(err, statestore.ErrConflict) && attempts > 1:
				n.changeJob(attempts-1, reply, plan, name)
			case errors.Is(err, statestore.ErrInvalid):
				n.log.Info("job file refused by the state service", "team", name.Team, "job", name.ID, "err", err)
				reply(httpapi.RegisterResult{}, &httpapi.RefusedError{Reason: "the state service refused the job's records"})
			default:
				reply(httpapi.RegisterResult{}, httpapi.ErrUnavailable)
			}
		}
		if !n.committer.add(req, true) {
			reply(httpapi.RegisterResult{}, httpapi.ErrUnavailable)
		}
	})
}

// replyOnceRead replies with the state of a job once the view includes the change that was written at
// rev, and every change before it. The registry takes changes from reads alone: if it took this
// node's own early, a team's index would pass over earlier changes of other nodes. If the read fails,
// the client is told to retry, and its retry finds the job as it registered it.
func (n *Node) replyOnceRead(name registry.Name, rev uint64, reply func(httpapi.RegisterResult, error)) {
	n.readLinearizable(func(ok bool) {
		if !ok {
			reply(httpapi.RegisterResult{}, httpapi.ErrUnavailable)
			return
		}
		reply(n.registeredState(name, rev), nil)
	})
}

// registeredState returns the state of a job after a change; a job that was just purged has no
// state.
func (n *Node) registeredState(name registry.Name, rev uint64) httpapi.RegisterResult {
	j := n.nomad.registry.Get(name)
	if j == nil {
		return httpapi.RegisterResult{Index: rev}
	}
	out := httpapi.RegisterResult{Index: j.JobModifyIndex, Version: j.Version}
	for _, g := range j.Groups {
		out.NativeIDs = append(out.NativeIDs, g.Native)
	}
	return out
}

// changeRequest returns the write of a change.
func (n *Node) changeRequest(ch *registry.Change) (*writeRequest, error) {
	req := &writeRequest{conds: ch.Conditions, ops: ch.Writes}
	if len(ch.Start) > 0 {
		req.conds = append(req.conds, n.configConditions()...)
	}
	put := func(rec core.JobRecord) error {
		key := jobPrefix + rec.Spec.ID
		b, err := wire.EncodeJob(&rec)
		req.conds = append(req.conds, wire.Cond{Key: key, ModRevision: rec.Revision})
		req.ops = append(req.ops, wire.Write{Kind: txn.RegistryChange, Put: key, Value: b})
		return err
	}
	for _, spec := range ch.Start {
		if err := put(core.JobRecord{Spec: spec, SubmittedAt: wallClock()}); err != nil {
			return nil, err
		}
	}
	for _, rec := range ch.Cancel {
		if err := put(rec.Final(core.Cancelled, wallClock())); err != nil {
			return nil, err
		}
	}
	return req, nil
}

// newNativeID returns a random id of a native job that no client can have chosen before.
func newNativeID() string {
	i, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 128))
	if err != nil {
		panic(err) // it never fails
	}
	return fmt.Sprintf("job-%039d", i)
}

// Views returns the tasks and machines that are asked for, if this node leads.
func (n *Node) Views(ctx context.Context, a *peer.ViewRequest) (*peer.ViewResponse, error) {
	return callWithError(ctx, n, httpapi.ErrUnavailable, func(reply func(*peer.ViewResponse, error)) {
		if n.term == nil || !n.leaseValid() {
			reply(nil, httpapi.ErrNoLeader)
			return
		}
		s := &peer.ViewResponse{}
		left := a.Limit
		for _, j := range a.Jobs {
			if left <= 0 {
				break
			}
			tasks, more, ok := n.core.Tasks(n.now(), j.Job, j.FirstTask, left)
			if ok {
				s.Jobs = append(s.Jobs, peer.JobView{Job: j.Job, Tasks: tasks, More: more})
				left -= len(tasks)
			}
		}
		if a.Machines {
			s.Machines = n.core.Machines()
		}
		reply(s, nil)
	})
}

// QueryLeader asks the leader for tasks and machines. It works on any node.
func (n *Node) QueryLeader(ctx context.Context, a *peer.ViewRequest) (*peer.ViewResponse, error) {
	c, here := n.leaderClient(ctx)
	switch {
	case here:
		return n.Views(ctx, a)
	case c == nil:
		return nil, httpapi.ErrNoLeader
	}
	s, err := c.Views(ctx, a)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", httpapi.ErrNoLeader, err)
	}
	return s, nil
}

// leaderClient returns a client of the leader, or here if this node leads. c is nil if no leader
// is known.
func (n *Node) leaderClient(ctx context.Context) (c *peer.Client, here bool) {
	leader, _ := call(ctx, n, func(reply func(string)) { reply(n.view.leader) })
	return n.peerClients[leader], leader == n.platform.Member
}

// Members returns the controllers and which of them leads.
func (n *Node) Members(ctx context.Context) httpapi.Members {
	leader, _ := call(ctx, n, func(reply func(string)) { reply(n.view.leader) })
	m := httpapi.Members{Self: n.platform.Member, Zone: n.platform.Zone, Addresses: []string{n.platform.ClusterListen}}
	if leader == n.platform.Member {
		m.Leader = n.platform.ClusterListen
	}
	for _, p := range n.platform.Peers {
		m.Addresses = append(m.Addresses, p.Endpoint)
		if p.Member == leader {
			m.Leader = p.Endpoint
		}
	}
	return m
}
