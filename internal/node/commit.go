package node

import (
	"errors"
	"slices"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/statestore"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// writeRequest is one change. It succeeds or fails by itself, whatever shares a transaction with
// it.
type writeRequest struct {
	term       *term // set for writes of the leader, which must not be executed after the next term began
	conds      []wire.Cond
	ops        []wire.Write
	size       int
	done       func(revision uint64, err error)
	background bool // retried while the service refuses it
	unbatched  bool // was in a transaction that failed, and is retried by itself
}

// committer groups changes into transactions within the service's limits, in three classes:
//
//   - Changes that users wait for go first, in concurrent transactions.
//   - Changes that tasks wait for go next, by priority. They leave a part of the rate budget to
//     users: a leader that starts hundreds of jobs at once would otherwise have no budget left for
//     submissions that it receives.
//   - The rest of the leader's bookkeeping goes in order, one transaction at a time, within the
//     budget that is then left, and is retried when the service refuses it.
type committer struct {
	n                   *Node
	userQueue           []*writeRequest
	taskQueues          [core.Production + 1][]*writeRequest
	backgroundQueue     []*writeRequest
	foregroundInFlight  int
	backgroundInFlight  bool
	backgroundNotBefore core.Micros     // no background write is sent before this time
	loggedInvalid       map[string]bool // keys whose write was logged as invalid
}

const (
	maxForegroundInFlight = 4
	maxTaskWritesInFlight = 3 // task writes are sent only while fewer are in flight: one is left to users
	maxQueued             = 1000
	maxLoggedInvalid      = 1000 // keys
	backgroundRetryPause  = core.Second / 2
	maxTxnBytes           = 40 << 10 // encoded; the service's limit of 64 KiB is counted as JSON
)

// computeSize estimates the size of the request in a transaction, in bytes.
func (req *writeRequest) computeSize() {
	for i := range req.ops {
		req.size += len(req.ops[i].Value)*3/2 + len(req.ops[i].Put) + len(req.ops[i].Delete) + 40
	}
}

// addTaskWrite queues a write of the leader that tasks of priority p wait for. It returns false if
// the queue is full.
func (c *committer) addTaskWrite(req *writeRequest, p core.Priority) bool {
	if len(c.taskQueues[p]) >= maxQueued {
		return false
	}
	req.computeSize()
	c.taskQueues[p] = append(c.taskQueues[p], req)
	c.dispatch()
	return true
}

// add queues a write, in the users' queue or in the background queue. It returns false if the
// users' queue is full.
func (c *committer) add(req *writeRequest, forUser bool) bool {
	req.computeSize()
	if forUser {
		if len(c.userQueue) >= maxQueued {
			return false
		}
		c.userQueue = append(c.userQueue, req)
	} else {
		req.background = true
		c.backgroundQueue = append(c.backgroundQueue, req)
	}
	c.dispatch()
	return true
}

// addCleanup queues deletions that nobody waits for. They are dropped if the queue is full or the
// service refuses them.
func (c *committer) addCleanup(deletions []registry.Deletion) {
	for _, d := range deletions {
		c.add(&writeRequest{
			conds: []wire.Cond{{Key: d.Key, ModRevision: d.ModRevision}},
			ops:   []wire.Write{{Kind: txn.RegistryCleanup, Delete: d.Key}},
			done:  func(uint64, error) {},
		}, true)
	}
}

// dispatch sends queued requests as far as the limits on transactions in flight and the write
// budget permit.
func (c *committer) dispatch() {
	for c.foregroundInFlight < maxForegroundInFlight && len(c.userQueue) > 0 {
		c.foregroundInFlight++
		c.send(c.nextBatch(&c.userQueue), func() { c.foregroundInFlight-- })
	}
	for p := len(c.taskQueues) - 1; p >= 0; p-- {
		for len(c.taskQueues[p]) > 0 {
			if c.foregroundInFlight >= maxTaskWritesInFlight || !c.n.stateClient.HasBudgetBesideUsers(c.nextTxnOps(c.taskQueues[p])) {
				return
			}
			c.foregroundInFlight++
			c.send(c.nextBatch(&c.taskQueues[p]), func() { c.foregroundInFlight-- })
		}
	}
	if c.backgroundInFlight || len(c.backgroundQueue) == 0 || len(c.userQueue) > 0 || c.n.now() < c.backgroundNotBefore || !c.n.stateClient.HasBackgroundBudget(c.n.stateLimits.TxnOps) {
		return
	}
	c.backgroundInFlight = true
	c.send(c.nextBatch(&c.backgroundQueue), func() { c.backgroundInFlight = false })
}

// nextTxnOps returns how many changes the next transaction from a queue may have.
func (c *committer) nextTxnOps(queue []*writeRequest) int {
	ops := 0
	for _, req := range queue {
		if ops += len(req.ops); ops >= c.n.stateLimits.TxnOps {
			return c.n.stateLimits.TxnOps
		}
	}
	return ops
}

// dropTermWrites drops the task writes and background writes that are queued when a term ends.
func (c *committer) dropTermWrites() {
	c.backgroundQueue = nil
	clear(c.taskQueues[:])
}

// nextBatch takes requests from the queue that fit into one transaction. A request whose conditions
// are about a key that an earlier one in the batch writes is left to a later transaction: in the same
// one, its conditions would be compared with the state before that write, and hold.
func (c *committer) nextBatch(queue *[]*writeRequest) []*writeRequest {
	limit := c.n.stateLimits.TxnOps
	var out []*writeRequest
	ops, conds, size := 0, 1, 0 // the first condition is the leader's key
	for len(*queue) > 0 {
		req := (*queue)[0]
		if len(out) > 0 && (req.unbatched || out[0].unbatched || ops+len(req.ops) > limit || conds+len(req.conds) > 4*limit || size+req.size > maxTxnBytes || req.dependsOn(out)) {
			break
		}
		out = append(out, req)
		*queue = (*queue)[1:]
		ops += len(req.ops)
		conds += len(req.conds)
		size += req.size
	}
	if len(*queue) == 0 {
		*queue = nil
	}
	return out
}

// dependsOn reports whether a condition of the request is about a key that one of the others writes.
func (req *writeRequest) dependsOn(others []*writeRequest) bool {
	for _, cond := range req.conds {
		for _, other := range others {
			for i := range other.ops {
				if op := &other.ops[i]; op.Put == cond.Key || op.Delete == cond.Key {
					return true
				}
			}
		}
	}
	return false
}

// send commits the requests in one transaction. When the response arrives it calls finished, and
// then done of each request. It doesn't call done of requests that are sent again, nor of
// refused background writes of a term that is over, which are dropped.
func (c *committer) send(reqs []*writeRequest, finished func()) {
	transaction := &wire.Txn{If: []wire.Cond{}}
	included := map[wire.Cond]bool{}
	var fence uint64
	for _, req := range reqs {
		conds := req.conds
		if req.term != nil {
			fence = req.term.token
			// The token may have been raised since the request was queued.
			conds = append(conds[:len(conds):len(conds)], wire.Cond{Key: leaderKey, ModRevision: req.term.token})
		}
		for _, cond := range conds {
			if !included[cond] {
				included[cond] = true
				transaction.If = append(transaction.If, cond)
			}
		}
		transaction.Then = append(transaction.Then, req.ops...)
	}
	go func() {
		rev, err := c.n.stateClient.Commit(c.n.ctx, transaction)
		c.n.post(func() {
			finished()
			if reqs[0].background && errors.Is(err, statestore.ErrNotExecuted) {
				if reqs[0].term == c.n.term {
					c.requeue(reqs)
					c.backgroundNotBefore = c.n.now() + backgroundRetryPause
				}
				return
			}
			if errors.Is(err, statestore.ErrConflict) && c.retryAfterRaise(reqs, fence) {
				return
			}
			if len(reqs) > 1 && (errors.Is(err, statestore.ErrConflict) || errors.Is(err, statestore.ErrInvalid)) {
				// One of the requests is at fault. Retry each by itself, so that the others do not
				// fail with it.
				for _, req := range reqs {
					req.unbatched = true
				}
				c.userQueue = slices.Concat(reqs, c.userQueue)
				c.dispatch()
				return
			}
			if errors.Is(err, statestore.ErrInvalid) {
				c.logInvalid(reqs[0], err)
			}
			for _, req := range reqs {
				req.done(rev, err)
			}
			c.dispatch()
		})
	}()
}

// retryAfterRaise sends requests again that were sent under an earlier token of the present term, and
// reports whether it does. Their conditions may have failed only because the token was raised
// meanwhile. fence is the token that they were sent under.
func (c *committer) retryAfterRaise(reqs []*writeRequest, fence uint64) bool {
	t := c.n.term
	if t == nil || !t.raising && t.token == fence {
		return false
	}
	if !slices.ContainsFunc(reqs, func(req *writeRequest) bool { return req.term == t }) {
		return false
	}
	t.whenRaiseEnded(func() {
		c.requeue(reqs)
		c.dispatch()
	})
	return true
}

// requeue puts the requests of a transaction at the head of a queue again.
func (c *committer) requeue(reqs []*writeRequest) {
	if reqs[0].background {
		c.backgroundQueue = slices.Concat(reqs, c.backgroundQueue)
	} else {
		c.userQueue = slices.Concat(reqs, c.userQueue)
	}
}

// logInvalid logs, once per key, a write that the service found invalid, with the size of its
// largest value: it may exceed a limit that is lower than the known ones.
func (c *committer) logInvalid(req *writeRequest, err error) {
	key, size := "", -1
	for _, op := range req.ops {
		if len(op.Value) > size {
			key, size = op.Put+op.Delete, len(op.Value)
		}
	}
	if c.loggedInvalid[key] || len(c.loggedInvalid) >= maxLoggedInvalid {
		return
	}
	if c.loggedInvalid == nil {
		c.loggedInvalid = map[string]bool{}
	}
	c.loggedInvalid[key] = true
	c.n.log.Error("the state service found a write invalid", "err", err, "key", key, "bytes", size, "operations", len(req.ops),
		"known_value_bytes", c.n.stateLimits.ValueBytes, "known_operations", c.n.stateLimits.TxnOps)
}

// addCoreWrite queues a write that the core requested.
func (c *committer) addCoreWrite(t *term, w core.Write) {
	n := c.n
	req := &writeRequest{term: t}
	fail := func() {
		n.runLater(func() { n.ifCurrentTerm(t, func() { n.core.HandleWriteResult(n.now(), w.ID, core.WriteRefused) }) })
	}
	for i, p := range w.Puts {
		key := p.Key
		switch v := p.Value.(type) {
		case core.FinalRecord:
			key = jobPrefix + v.Record.Spec.ID
			p.Value = core.FinalRecord{Record: v.Record.Final(core.Done, wallClock())}
			w.Puts[i] = p
		case core.PartitionRecord:
			v.BeganAt = wallClock() - v.Elapsed
			p.Value = v
		}
		b, err := wire.EncodeRecord(p.Value)
		if err != nil {
			n.log.Error("encoding a record failed", "err", err)
			fail()
			return
		}
		req.ops = append(req.ops, wire.Write{Kind: w.Kind, Put: key, Value: b})
	}
	for _, k := range w.Deletes {
		req.ops = append(req.ops, wire.Write{Kind: deletionKind(w.Kind), Delete: k})
	}
	// A job with many chunks has more keys to delete than fit into one transaction. The remaining
	// keys are deleted by separate writes, once it is stored that the job is over. If they were
	// deleted before, a leader that ends in between would lose the results of the finished tasks.
	limit := n.stateLimits.TxnOps
	leftover := req.ops[min(len(req.ops), limit):]
	req.ops = req.ops[:len(req.ops)-len(leftover)]
	if w.IfJob != "" {
		req.conds = append(req.conds, wire.Cond{Key: jobPrefix + w.IfJob, ModRevision: w.IfRevision})
	}
	if w.IfAbsent != "" {
		req.conds = append(req.conds, wire.Cond{Key: w.IfAbsent})
	}
	replaced := t.records.conditions(req.ops)
	req.conds = append(req.conds, replaced...)
	req.done = func(rev uint64, err error) {
		if err != nil {
			n.log.Debug("write failed", "err", err, "job", w.IfJob)
		} else {
			t.records.noteStored(req.ops, rev)
		}
		outcome := writeOutcome(err)
		if len(replaced) > 0 && errors.Is(err, statestore.ErrConflict) {
			// The record is not as this leader knows it, so its next write has to use another key.
			n.log.Info("a record was not replaced: it or the leader's key has changed", "key", replaced[0].Key, "revision", replaced[0].ModRevision)
			outcome = core.WriteUnknown
		}
		n.ifCurrentTerm(t, func() { n.core.HandleWriteResult(n.now(), w.ID, outcome) })
		if err == nil && w.IfJob != "" {
			n.applyFinalRecords(w, rev)
		}
		for err == nil && n.term == t && len(leftover) > 0 {
			k := min(limit, len(leftover))
			c.add(&writeRequest{term: t, ops: leftover[:k], done: func(uint64, error) {}}, false)
			leftover = leftover[k:]
		}
	}
	var ok bool
	if w.Urgent {
		ok = c.addTaskWrite(req, w.Priority)
	} else {
		ok = c.add(req, false)
	}
	if !ok {
		fail()
	}
}

// deletionKind returns the kind of the deletions in a core's write.
func deletionKind(kind txn.Kind) txn.Kind {
	switch kind {
	case txn.Completion:
		return txn.JobRecordsDropped
	case txn.MachineGroup:
		return txn.MachineGroupDropped
	}
	return kind
}

// writeOutcome returns what the error of a write means for the core.
func writeOutcome(err error) core.WriteOutcome {
	switch {
	case err == nil:
		return core.Stored
	case errors.Is(err, statestore.ErrNotExecuted), errors.Is(err, statestore.ErrConflict), errors.Is(err, statestore.ErrInvalid):
		return core.WriteRefused
	}
	return core.WriteUnknown
}

// applyFinalRecords applies the final records of jobs that were just written, so that users see
// them before the watch delivers them.
func (n *Node) applyFinalRecords(w core.Write, rev uint64) {
	for _, p := range w.Puts {
		if d, ok := p.Value.(core.FinalRecord); ok {
			d.Record.Revision = rev
			n.applyWrittenJob(d.Record)
		}
	}
}
