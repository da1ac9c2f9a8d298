package simulator

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// worldSite is what the workers of a world find round them.
type worldEnvironment struct{ w *World }

func (s worldEnvironment) Context() context.Context           { return s.w.ctx }
func (s worldEnvironment) Logger() *slog.Logger               { return s.w.Log }
func (s worldEnvironment) Client(address string) *http.Client { return s.w.Net.Client(address) }
func (s worldEnvironment) Freeze(address string, still bool)  { s.w.Net.Freeze(address, still) }
func (s worldEnvironment) Job(id string) *Spec                { return s.w.spec(id) }
func (s worldEnvironment) JobFromFile(id string) *Spec        { return s.w.fetchFileJob(id) }
func (s worldEnvironment) ServesJobFiles() bool               { return s.w.Settings.Nomad != nil }
func (s worldEnvironment) Observer() Observer                 { return s.w.checker }
func (s worldEnvironment) Gangs() GangCoordinator             { return s.w }

func (s worldEnvironment) Serve(k *Worker) (stop func()) {
	s.w.Net.SetZone(k.address, k.zone)
	l := s.w.Net.Serve(k.address, s.w.WorkerFaults.Wrap(k))
	return func() {
		_ = l.Close()
		go s.w.Net.DropHost(k.address)
	}
}

func (s worldEnvironment) Controllers() []Controller {
	out := make([]Controller, len(s.w.Nodes))
	for i, n := range s.w.Nodes {
		out[i] = Controller{Name: n.Name, Address: n.addr}
	}
	return out
}

func (s worldEnvironment) Timing() Timing {
	return Timing{Lease: s.w.leaseTTL, GangWait: s.w.gangWaitTimeout, ReportInterval: func() time.Duration { return s.w.reportInterval }}
}
