package node

import (
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/httpapi"
	"aspenstall/internal/wire"
)

// TestRefusedUnknown: a submission that can't be accepted, and the cancellation of a job that
// is not known, are refused by what was read when they came. A process that stood still
// since must not say so: another node may have accepted the job meanwhile.
func TestUnknownJobResponseExpires(t *testing.T) {
	lame := &core.JobSpec{ID: "job-1", Team: "nobody", Tasks: 1}
	for _, c := range []struct {
		name   string
		ask    func(n *Node, reply func(httpapi.Response))
		status int
	}{
		{"a malformed submission", func(n *Node, reply func(httpapi.Response)) { n.submit("job-1", nil, reply) }, http.StatusBadRequest},
		{"one that can never run", func(n *Node, reply func(httpapi.Response)) { n.submit("job-1", lame, reply) }, http.StatusUnprocessableEntity},
		{"a cancellation", func(n *Node, reply func(httpapi.Response)) { n.cancel("job-1", 3, reply) }, http.StatusNotFound},
		{"a question", func(n *Node, reply func(httpapi.Response)) { n.poll("job-1", reply) }, http.StatusNotFound},
	} {
		for _, k := range []struct {
			after time.Duration
			fresh bool
		}{{time.Second, true}, {2 * time.Second, false}} {
			synctest.Test(t, func(t *testing.T) {
				n := New(&config.Platform{}, config.DefaultSettings(), slog.New(slog.DiscardHandler), nil)
				n.view.ready, n.lastStateResponse = true, time.Now()
				n.catalog = []core.MachineType{{Name: "m", Capacity: core.Resources{CPU: 8000}}}
				n.readPending = true // the read is under way
				var got *httpapi.Response
				c.ask(n, func(a httpapi.Response) { got = &a })
				for _, f := range n.readWaiters {
					f(true)
				}
				if got == nil || got.Status != c.status {
					t.Fatalf("%s: answered %+v", c.name, got)
				}
				time.Sleep(k.after)
				if fresh := got.Fresh == nil || got.Fresh(); fresh != k.fresh {
					t.Errorf("%s, %v later: may be written: %v", c.name, k.after, fresh)
				}
			})
		}
	}
}

// TestCatalogOfOthers: a node that does not lead takes a newer catalog that the leader
// recorded: with the one that it had first it would refuse for good what the leader accepts.
func TestFollowerAppliesNewerCatalog(t *testing.T) {
	catalog := func(cores float64) []byte {
		raw, err := wire.Marshal(map[string]any{"breeds": []any{map[string]any{"label": "m", "cores": cores, "gpus": 0.0, "ram_gb": 64.0, "local_gb": 10.0,
			"fetch_gb_per_s": 1.0, "rate": 1.0, "low_price": 0.5, "ready_s": 20.0, "paddocks": []any{"a"}}}})
		if err != nil {
			t.Fatal(err)
		}
		b, err := wire.Marshal(&wire.CatalogRecord{Raw: raw})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	n := newTestNode()
	addTeam(n, "blue", 0)
	spec := &core.JobSpec{ID: "job-1", Team: "blue", Tasks: 1, Request: core.Resources{CPU: 16000}}
	n.applyPut(catalogKey, catalog(8), 3)
	if n.infeasibleReason(spec) == "" {
		t.Fatal("16 CPUs fit a machine of 8")
	}
	n.applyPut(catalogKey, catalog(32), 9)
	if why := n.infeasibleReason(spec); why != "" {
		t.Errorf("under the newer catalog: %s", why)
	}
	n.applyPut(catalogKey, catalog(8), 5) // a read that overlapped
	if why := n.infeasibleReason(spec); why != "" {
		t.Errorf("after an older read: %s", why)
	}
}

func addTeam(n *Node, name string, most float64) {
	n.platform.Params.Teams = append(n.platform.Params.Teams, config.Team{Name: name, CPUsMax: most})
	n.clusterConfig.init(n.platform, n.settings) // as if it had been in the platform's file from the beginning
}

// TestCannotRun: a job that can never run is not accepted. One bound to a zone that there is
// not was: it waited without end.
func TestInfeasibleReason(t *testing.T) {
	n := newTestNode()
	addTeam(n, "blue", 16)
	n.platform.Params.Zones = []string{"a", "b"}
	n.catalog = []core.MachineType{{Name: "m", Capacity: core.Resources{CPU: 8000}}, {Name: "l", Capacity: core.Resources{CPU: 12000}}}
	good := core.JobSpec{ID: "job-1", Team: "blue", Tasks: 2, Request: core.Resources{CPU: 8000}}
	for _, c := range []struct {
		what   string
		change func(s *core.JobSpec)
		runs   bool
	}{
		{"it can", func(*core.JobSpec) {}, true},
		{"no such team", func(s *core.JobSpec) { s.Team = "red" }, false},
		{"no machine is as large", func(s *core.JobSpec) { s.Request.CPU = 13000 }, false},
		{"none of its types is", func(s *core.JobSpec) { s.Request.CPU, s.Types = 12000, []string{"m"} }, false},
		{"one of its types is", func(s *core.JobSpec) { s.Request.CPU, s.Types, s.Tasks = 12000, []string{"m", "l"}, 1 }, true},
		{"no type", func(s *core.JobSpec) { s.Types = []string{} }, false},
		{"a zone", func(s *core.JobSpec) { s.Zone = "b" }, true},
		{"no such zone", func(s *core.JobSpec) { s.Zone = "c" }, false},
		{"an array over the limit as a whole", func(s *core.JobSpec) { s.Tasks = 30 }, true},
		{"a gang over the limit", func(s *core.JobSpec) { s.Tasks, s.Kind = 3, core.Gang }, false},
		{"a service over the limit", func(s *core.JobSpec) { s.Tasks, s.Kind = 3, core.Service }, false},
	} {
		s := good
		c.change(&s)
		if why := n.infeasibleReason(&s); (why == "") != c.runs {
			t.Errorf("%s: %q", c.what, why)
		}
	}
}
