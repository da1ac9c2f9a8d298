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

// TestUnknownJobResponseExpires checks that a refused submission, and a request for a job that is
// not known, are answered only for maxResponseAge after the request arrived. A process that was
// stopped in between must not send the response: another node may have accepted the job meanwhile.
func TestUnknownJobResponseExpires(t *testing.T) {
	infeasible := &core.JobSpec{ID: "job-1", Team: "nobody", Tasks: 1}
	for _, c := range []struct {
		name    string
		request func(n *Node, reply func(httpapi.Response))
		status  int
	}{
		{"malformed submission", func(n *Node, reply func(httpapi.Response)) { n.submit("job-1", nil, reply) }, http.StatusBadRequest},
		{"infeasible submission", func(n *Node, reply func(httpapi.Response)) { n.submit("job-1", infeasible, reply) }, http.StatusUnprocessableEntity},
		{"a cancellation", func(n *Node, reply func(httpapi.Response)) { n.cancel("job-1", 3, reply) }, http.StatusNotFound},
		{"a poll", func(n *Node, reply func(httpapi.Response)) { n.poll("job-1", reply) }, http.StatusNotFound},
	} {
		for _, k := range []struct {
			after time.Duration
			fresh bool
		}{{time.Second, true}, {2 * time.Second, false}} {
			synctest.Test(t, func(t *testing.T) {
				n := New(&config.Platform{}, config.DefaultSettings(), slog.New(slog.DiscardHandler), nil)
				n.view.ready, n.lastStateResponse = true, time.Now()
				n.catalog = []core.MachineType{{Name: "m", Capacity: core.Resources{CPU: 8000}}}
				n.readPending = true // the read is in flight
				var got *httpapi.Response
				c.request(n, func(a httpapi.Response) { got = &a })
				for _, f := range n.readWaiters {
					f(true)
				}
				if got == nil || got.Status != c.status {
					t.Fatalf("%s: answered %+v", c.name, got)
				}
				time.Sleep(k.after)
				if fresh := got.Fresh == nil || got.Fresh(); fresh != k.fresh {
					t.Errorf("%s, %v later: response may be written: %v", c.name, k.after, fresh)
				}
			})
		}
	}
}

// TestFollowerAppliesNewerCatalog checks that a node that does not lead applies a newer catalog
// that the leader recorded. With its first catalog it would refuse for good what the leader
// accepts.
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
	spec := &core.JobSpec{ID: "job-1", Team: "blue", Tasks: 1, Resources: core.Resources{CPU: 16000}}
	n.applyPut(catalogKey, catalog(8), 3)
	if n.infeasibleReason(spec) == "" {
		t.Fatal("a task of 16 CPUs fits a machine of 8")
	}
	n.applyPut(catalogKey, catalog(32), 9)
	if why := n.infeasibleReason(spec); why != "" {
		t.Errorf("after the newer catalog: %s", why)
	}
	n.applyPut(catalogKey, catalog(8), 5) // an overlapping read that arrives late
	if why := n.infeasibleReason(spec); why != "" {
		t.Errorf("after an older read: %s", why)
	}
}

func addTeam(n *Node, name string, cpusMax float64) {
	n.platform.Params.Teams = append(n.platform.Params.Teams, config.Team{Name: name, CPUsMax: cpusMax})
	n.clusterConfig.init(n.platform, n.settings) // as if the team had been in the platform's file from the start
}

// TestInfeasibleReason checks that a job that can never run is not accepted. A job bound to an
// unknown zone once was, and waited forever.
func TestInfeasibleReason(t *testing.T) {
	n := newTestNode()
	addTeam(n, "blue", 16)
	n.platform.Params.Zones = []string{"a", "b"}
	n.catalog = []core.MachineType{{Name: "m", Capacity: core.Resources{CPU: 8000}}, {Name: "l", Capacity: core.Resources{CPU: 12000}}}
	good := core.JobSpec{ID: "job-1", Team: "blue", Tasks: 2, Resources: core.Resources{CPU: 8000}}
	for _, c := range []struct {
		name     string
		change   func(s *core.JobSpec)
		feasible bool
	}{
		{"a feasible job", func(*core.JobSpec) {}, true},
		{"unknown team", func(s *core.JobSpec) { s.Team = "red" }, false},
		{"larger than any machine", func(s *core.JobSpec) { s.Resources.CPU = 13000 }, false},
		{"larger than its machine types", func(s *core.JobSpec) { s.Resources.CPU, s.Types = 12000, []string{"m"} }, false},
		{"fits one of its machine types", func(s *core.JobSpec) { s.Resources.CPU, s.Types, s.Tasks = 12000, []string{"m", "l"}, 1 }, true},
		{"empty list of machine types", func(s *core.JobSpec) { s.Types = []string{} }, false},
		{"known zone", func(s *core.JobSpec) { s.Zone = "b" }, true},
		{"unknown zone", func(s *core.JobSpec) { s.Zone = "c" }, false},
		{"array whose sum is over the limit", func(s *core.JobSpec) { s.Tasks = 30 }, true},
		{"gang over the limit", func(s *core.JobSpec) { s.Tasks, s.Kind = 3, core.Gang }, false},
		{"service over the limit", func(s *core.JobSpec) { s.Tasks, s.Kind = 3, core.Service }, false},
	} {
		s := good
		c.change(&s)
		if why := n.infeasibleReason(&s); (why == "") != c.feasible {
			t.Errorf("%s: %q", c.name, why)
		}
	}
}

// TestInfeasibleZones guards against accepting a job that waits forever since no zone, or no two
// zones, offer what it needs.
func TestInfeasibleZones(t *testing.T) {
	n := newTestNode()
	addTeam(n, "blue", 100)
	n.platform.Params.Zones = []string{"a", "b", "c"}
	n.catalog = []core.MachineType{
		{Name: "small", Capacity: core.Resources{CPU: 4000}, Zones: []string{"a", "b"}},
		{Name: "large", Capacity: core.Resources{CPU: 16000}, Zones: []string{"b"}},
		{Name: "gpu", Capacity: core.Resources{CPU: 4000, GPU: 1000}, Zones: []string{"c"}},
	}
	kinds := map[core.Kind]string{core.Array: "array", core.Gang: "gang", core.Service: "service"}
	for _, c := range []struct {
		name     string
		spec     core.JobSpec
		feasible [3]bool // array, gang, service
	}{
		{"any zone", core.JobSpec{Tasks: 3}, [3]bool{true, true, true}},
		{"a zone that offers the type", core.JobSpec{Tasks: 3, Zone: "b", Types: []string{"large"}}, [3]bool{true, true, true}},
		{"a zone that does not offer the type", core.JobSpec{Tasks: 3, Zone: "a", Types: []string{"large"}}, [3]bool{}},
		{"a zone that offers one of the types", core.JobSpec{Tasks: 3, Zone: "a", Types: []string{"large", "small"}}, [3]bool{true, true, true}},
		{"a zone whose types are too small", core.JobSpec{Tasks: 3, Zone: "a", Resources: core.Resources{CPU: 8000}}, [3]bool{}},
		{"a zone without GPUs", core.JobSpec{Tasks: 1, Zone: "b", Resources: core.Resources{GPU: 1000}}, [3]bool{}},
		{"one zone", core.JobSpec{Tasks: 3, OneZone: true}, [3]bool{true, true, true}},
		{"one zone, and it is named", core.JobSpec{Tasks: 3, OneZone: true, Zone: "a"}, [3]bool{true, true, true}},
		{"one zone, and spread", core.JobSpec{Tasks: 3, OneZone: true, Spread: true}, [3]bool{true, false, false}},
		{"one zone, and spread, a single task", core.JobSpec{Tasks: 1, OneZone: true, Spread: true}, [3]bool{true, true, true}},
		{"spread", core.JobSpec{Tasks: 2, Spread: true}, [3]bool{true, true, true}},
		{"spread, and a zone is named", core.JobSpec{Tasks: 3, Spread: true, Zone: "a"}, [3]bool{true, false, false}},
		{"spread, a single task in a named zone", core.JobSpec{Tasks: 1, Spread: true, Zone: "a"}, [3]bool{true, true, true}},
		{"spread, and a type of one zone", core.JobSpec{Tasks: 2, Spread: true, Types: []string{"large"}}, [3]bool{true, false, false}},
		{"spread, and types of one zone each", core.JobSpec{Tasks: 2, Spread: true, Types: []string{"large", "gpu"}}, [3]bool{true, true, true}},
		{"spread, and only one zone has types that fit", core.JobSpec{Tasks: 2, Spread: true, Resources: core.Resources{CPU: 8000}}, [3]bool{true, false, false}},
		{"spread, and no type fits", core.JobSpec{Tasks: 2, Spread: true, Resources: core.Resources{CPU: 32000}}, [3]bool{}},
	} {
		for kind, name := range kinds {
			s := c.spec
			s.ID, s.Team, s.Kind = "job-1", "blue", kind
			if s.Resources.CPU == 0 {
				s.Resources.CPU = 1000
			}
			if why := n.infeasibleReason(&s); (why == "") != c.feasible[kind] {
				t.Errorf("%s, %s: %q", name, c.name, why)
			}
		}
	}
}

// TestCatalogZonesAreRecorded guards against followers that refuse what the leader accepts, since a
// machine type is offered in another zone than when the catalog was recorded.
func TestCatalogZonesAreRecorded(t *testing.T) {
	n := newTestNode()
	n.committer.foregroundInFlight = maxForegroundInFlight // it sends nothing
	inZone := func(zone string, price float64) []core.MachineType {
		return []core.MachineType{{Name: "m", Capacity: core.Resources{CPU: 4000}, Zones: []string{zone}, Price: price}}
	}
	n.view.catalogRevision, n.catalog = 3, inZone("a", 1)
	for _, c := range []struct {
		name    string
		types   []core.MachineType
		records int
	}{{"another price", inZone("a", 2), 0}, {"another zone", inZone("b", 2), 1}} {
		n.updateCatalog(&term{}, c.types, []byte{0x80})
		if got := len(n.committer.userQueue); got != c.records {
			t.Errorf("%s: %d records are written, want %d", c.name, got, c.records)
		}
	}
}
