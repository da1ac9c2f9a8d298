package simulator

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// worldSite is what the workers of a world find round them.
type worldSite struct{ w *World }

func (s worldSite) Context() context.Context           { return s.w.ctx }
func (s worldSite) Logger() *slog.Logger               { return s.w.Log }
func (s worldSite) Client(address string) *http.Client { return s.w.Net.Client(address) }
func (s worldSite) Still(address string, still bool)   { s.w.Net.Still(address, still) }
func (s worldSite) Job(id string) *Spec                { return s.w.spec(id) }
func (s worldSite) FileJob(id string) *Spec            { return s.w.readFile(id) }
func (s worldSite) ServesFiles() bool                  { return s.w.Settings.Nomad != nil }
func (s worldSite) Observer() Observer                 { return s.w.check }
func (s worldSite) Gangs() Gangs                       { return s.w }

func (s worldSite) Serve(k *Worker) (stop func()) {
	s.w.Net.Place(k.at, k.zone)
	l := s.w.Net.Serve(k.at, s.w.WorkerFaults.Wrap(k))
	return func() {
		_ = l.Close()
		go s.w.Net.Drop(k.at)
	}
}

func (s worldSite) Controllers() []Controller {
	out := make([]Controller, len(s.w.Nodes))
	for i, n := range s.w.Nodes {
		out[i] = Controller{Name: n.Name, Address: n.addr}
	}
	return out
}

func (s worldSite) Timing() Timing {
	return Timing{Lease: s.w.lease, GangWait: s.w.gangWait, ReportGap: func() time.Duration { return s.w.reportGap }}
}
