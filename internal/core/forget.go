package core

import (
	"cmp"
	"slices"
)

// exitedTask is an attempt that has exited and whose completion is stored, or need not be. Its worker
// knows it until it is told to forget it, and would run it again if a start of it arrived after that.
type exitedTask struct {
	directStart startToken
	listed      bool // in the report that is being applied
}

// awaitForget turns the placement of an exited task whose completion is stored into an exitedTask.
func (c *Core) awaitForget(p *placement) {
	m := p.machine
	if !m.detach(p) {
		return // the machine was cleared meanwhile
	}
	if m.exited == nil {
		m.exited = map[TaskAttempt]*exitedTask{}
	}
	m.exited[p.taskAttempt()] = &exitedTask{directStart: p.directStart, listed: true}
	if p.job != nil && p.job.stopping {
		c.finishGangStop(p.job)
	}
}

// listsExited reports whether a reported task is one that waits to be forgotten.
func (m *machine) listsExited(t *TaskReport) bool {
	if len(m.exited) == 0 || t.State != Exited {
		return false
	}
	e := m.exited[TaskAttempt{t.Job, t.Index, t.Attempt}]
	if e == nil {
		return false
	}
	e.listed = true
	return true
}

// resetListed prepares the exited tasks for a new report.
func (m *machine) resetListed() {
	for _, e := range m.exited {
		e.listed = false
	}
}

// dropUnlisted drops the exited tasks that the new report does not list: the worker has forgotten them.
func (m *machine) dropUnlisted() {
	for id, e := range m.exited {
		if !e.listed {
			delete(m.exited, id)
		}
	}
}

// pendingForgets returns the number of exited tasks that can't be forgotten under the token: a copy of
// a direct start could still be executed.
func (m *machine) pendingForgets(token uint64) int {
	n := 0
	for _, e := range m.exited {
		if !e.directStart.copiesRefused(token) {
			n++
		}
	}
	return n
}

// forgets returns the commands for the exited tasks that can be forgotten under the token. They are sent
// in answers to reports only, which can't be executed late: a copy of one could remove a later result.
func (m *machine) forgets(token uint64) []Command {
	var out []Command
	for id, e := range m.exited {
		if e.directStart.copiesRefused(token) {
			out = append(out, Command{Op: Forget, Job: id.Job, Index: id.Index, Attempt: id.Attempt})
		}
	}
	slices.SortFunc(out, func(a, b Command) int {
		return cmp.Or(cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return out
}
