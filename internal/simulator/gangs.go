package simulator

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"aspenstall/internal/wire"
)

// gangState is the state of one attempt of a gang.
type gangState struct {
	ready   map[*workerTask]*Worker // tasks that wait for the others, or run
	running bool
	ended   bool // a task has exited
	done    bool // the tasks were done
}

// gangJoined records that a gang's task waits for the others, and lets the gang run once all its
// tasks wait; the worker's lock is held.
func (w *World) gangJoined(t *workerTask, k *Worker) {
	job, _, _ := strings.Cut(t.Task, "/")
	key := fmt.Sprintf("%s#%d", job, t.Attempt)
	w.mu.Lock()
	g := w.gangs[key]
	if g == nil {
		g = &gangState{ready: map[*workerTask]*Worker{}}
		w.gangs[key] = g
	}
	g.ready[t] = k
	complete := len(g.ready) == t.spec.Tasks && !g.running
	var members map[*workerTask]*Worker
	if complete {
		g.running = true
		members = maps.Clone(g.ready) // a task may exit while the others begin to run
	}
	w.mu.Unlock()
	if !complete {
		return
	}
	go func() {
		for t, k := range members {
			k.mu.Lock()
			if t.State == "gathering" {
				t.timer.Stop()
				k.runTask(t)
			}
			k.mu.Unlock()
			k.reportSoon()
		}
	}()
}

// gangLeft records that a gang's task exits, lets the other tasks exit too, and returns the cause
// that the worker reports. The tasks of a gang complete together: if one is done, all are, and no
// task is done after another has exited with a failure. The worker's lock is held.
func (w *World) gangLeft(t *workerTask, cause string) string {
	if t.spec == nil || t.spec.Shape != "ensemble" {
		return cause
	}
	job, _, _ := strings.Cut(t.Task, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[fmt.Sprintf("%s#%d", job, t.Attempt)]
	if g == nil {
		return cause
	}
	delete(g.ready, t)
	if g.ended && !g.done && cause == "done" {
		return "mates_gone"
	}
	if !g.running || g.ended {
		return cause
	}
	g.ended = true
	delay, peerCause := w.gangPeerTimeout/2, "mates_gone"
	if cause == "done" {
		delay, peerCause, g.done = 0, "done", true
		for i := range t.spec.Tasks {
			w.checker.TaskDone(wire.TaskName(job, i), nil)
		}
	}
	for o, k := range g.ready {
		time.AfterFunc(delay, func() { k.exitFromTimer(o, peerCause, false) })
	}
	return cause
}
