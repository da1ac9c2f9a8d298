package simulator

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// worldEnvironment is the environment of the workers of a World.
type worldEnvironment struct{ w *World }

func (e worldEnvironment) Context() context.Context           { return e.w.ctx }
func (e worldEnvironment) Logger() *slog.Logger               { return e.w.Log }
func (e worldEnvironment) Client(address string) *http.Client { return e.w.Net.Client(address) }
func (e worldEnvironment) Freeze(address string, frozen bool) { e.w.Net.Freeze(address, frozen) }
func (e worldEnvironment) Job(id string) *Spec                { return e.w.spec(id) }
func (e worldEnvironment) JobFromFile(id string) *Spec        { return e.w.fetchFileJob(id) }
func (e worldEnvironment) ServesJobFiles() bool               { return e.w.Settings.Nomad != nil }
func (e worldEnvironment) Observer() Observer                 { return e.w.checker }
func (e worldEnvironment) Gangs() GangCoordinator             { return e.w }

func (e worldEnvironment) Serve(k *Worker) (stop func()) {
	e.w.Net.SetZone(k.address, k.zone)
	l := e.w.Net.Serve(k.address, e.w.WorkerFaults.Wrap(k))
	return func() {
		_ = l.Close()
		go e.w.Net.DropHost(k.address)
	}
}

func (e worldEnvironment) Controllers() []Controller {
	out := make([]Controller, len(e.w.Nodes))
	for i, n := range e.w.Nodes {
		out[i] = Controller{Name: n.Name, Address: n.addr}
	}
	return out
}

func (e worldEnvironment) Timing() Timing {
	return Timing{Lease: e.w.leaseTTL, GangWait: e.w.gangWaitTimeout, ReportInterval: func() time.Duration { return e.w.reportInterval }}
}
