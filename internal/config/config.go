// Package config reads the platform's JSON file, the operators' settings and the cluster
// configuration that operators change at run time.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
)

// Platform is the JSON file that the platform provides. Unknown fields in it are ignored.
type Platform struct {
	Member        string `json:"member"`
	Zone          string `json:"area"`
	Listen        string `json:"listen"`
	ClusterListen string `json:"cluster_listen"`
	Peers         []Peer `json:"known"`
	Services      struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"services"`
	Params Params `json:"params"`
}

// Peer is another controller of the cluster.
type Peer struct {
	Member   string `json:"member"`
	Zone     string `json:"area"`
	Endpoint string `json:"endpoint"`
}

// Params are the deployment's parameters.
type Params struct {
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    struct {
		ReportS   float64 `json:"report_s"`
		LeaseS    float64 `json:"lease_s"`
		GangWaitS float64 `json:"gang_wait_s"`
		GangPeerS float64 `json:"gang_peer_s"`
		CancelS   float64 `json:"cancel_s"`
	} `json:"workers"`
	State struct {
		RPS      float64 `json:"rps"`
		WriteRPS float64 `json:"write_rps"`
		ValueKB  float64 `json:"value_kb"`
		TxnOps   int     `json:"txn_ops"`
		// Next holds limits that will replace these at some time; nil if no change is announced.
		Next *NextLimits `json:"next"`
	} `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Limits struct {
		CPU            float64 `json:"cpu"`
		MemMB          float64 `json:"mem_mb"`
		MaxConnections int     `json:"max_connections"`
	} `json:"limits"`
	SkewMS float64 `json:"skew_ms"`
}

// Team is a team's quota: its guarantees, and its limits (Max); 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is an objective for the start or the completion of jobs of a class.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
	WithinS float64 `json:"within_s"`
}

// LoadPlatform reads and checks the platform's file. Errors name the file and the field.
func LoadPlatform(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var p Platform
	if err := json.Unmarshal(b, &p); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("%s: %s: want %s, not %s", path, te.Field, te.Type, te.Value)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// checkAddress returns an error that begins with name unless a is an IP address and port.
func checkAddress(name, a string) error {
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("%s: %q is not an address: %v", name, a, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is not an IP address and port", name, a)
	}
	return nil
}

// check returns an error for the first missing or invalid field.
func (p *Platform) check() error {
	if p.Member == "" {
		return errors.New("member: missing")
	}
	for _, a := range [][2]string{
		{"listen", p.Listen}, {"cluster_listen", p.ClusterListen},
		{"services.cloud", p.Services.Cloud}, {"services.state", p.Services.State},
	} {
		if err := checkAddress(a[0], a[1]); err != nil {
			return err
		}
	}
	for i, k := range p.Peers {
		if k.Member == "" {
			return fmt.Errorf("known[%d].member: missing", i)
		}
		if err := checkAddress(fmt.Sprintf("known[%d].endpoint", i), k.Endpoint); err != nil {
			return err
		}
	}
	seen := map[string]bool{}
	for i, t := range p.Params.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("params.teams[%d].name: missing or given twice", i)
		}
		seen[t.Name] = true
		for _, v := range [][2]float64{{t.CPUs, t.CPUsMax}, {t.GPUs, t.GPUsMax}} {
			if v[0] < 0 || v[1] < 0 || v[1] > 0 && v[0] > v[1] {
				return fmt.Errorf("params.teams[%d]: %s: guarantee %v is over the limit %v, or one is negative", i, t.Name, v[0], v[1])
			}
		}
	}
	for _, v := range []struct {
		name string
		v    float64
	}{
		{"params.workers.report_s", p.Params.Workers.ReportS},
		{"params.workers.lease_s", p.Params.Workers.LeaseS},
		{"params.state.value_kb", p.Params.State.ValueKB},
		{"params.state.txn_ops", float64(p.Params.State.TxnOps)},
	} {
		if v.v <= 0 {
			return fmt.Errorf("%s: want more than 0, not %v", v.name, v.v)
		}
	}
	return nil
}

// chunkSize returns the number of tasks in a completion record that fits into a value. In the worst
// case every second task is completed, which takes two numbers with commas for every two tasks.
func chunkSize(valueBytes int) int {
	const minSize = 16
	return max((valueBytes-recordOverheadBytes)/8, minSize)
}

// CoreConfig returns the core's configuration.
func CoreConfig(p *Platform, s Settings) core.Config {
	maxStaleness := core.MaxCancelStaleness(core.Seconds(p.Params.Workers.LeaseS), core.Seconds(p.Params.Workers.CancelS))
	limits := p.StateLimits()
	c := core.Config{
		WorkerLease:    core.Seconds(p.Params.Workers.LeaseS),
		ReportInterval: core.Seconds(p.Params.Workers.ReportS),
		// Clocks drift by up to 0.1%, so the other node's may run slower.
		AnswerGrace:        min(core.Seconds(s.AnswerGraceS), maxStaleness) * 1001 / 1000,
		MaxCancelStaleness: maxStaleness,
		// Short compared with any wait that an objective could set.
		PlacementInterval: 20 * core.Millisecond,
		RecordInterval:    200 * core.Millisecond,
		LeaderLease:       core.Seconds(s.LeaderLeaseS),
		// Releases use a quarter of the cloud's request rate, about a third of the calls that the
		// cloud client may make.
		ReleaseInterval: core.Seconds(4 / max(p.Params.Cloud.RPS, 1)),
		ListLag:         core.Seconds(p.Params.Cloud.ListLagS),
		MaxRecordBytes:  limits.RecordBytes(),
		MaxWriteOps:     limits.TxnOps,
		// A machine's five fields take about 100 bytes as JSON.
		MachinesPerRecord: max(limits.RecordBytes()/100, 1),
		ChunkSize:         chunkSize(limits.ValueBytes),
		// Earlier versions of the program write chunks by the present limit.
		RelativeChunkSize: chunkSize(int(p.Params.State.ValueKB * 1024)),
		Tuning:            coreTuning(s),
	}
	c.StartObjectives = map[string][]core.Micros{}
	for _, o := range p.Params.Objectives {
		if o.Kind == "wait" {
			c.StartObjectives[o.Class] = append(c.StartObjectives[o.Class], core.Seconds(o.WithinS))
			slices.Sort(c.StartObjectives[o.Class])
		}
		c.LateFactor = max(c.LateFactor, o.Times)
	}
	c.Teams = CoreTeams(ClusterConfigBase(p, s).Teams)
	return c
}

// ClusterConfigBase returns the teams and settings that the controllers start with. The cluster
// configuration, which operators change at run time, is laid over them.
func ClusterConfigBase(p *Platform, s Settings) clusterconfig.Base {
	b := clusterconfig.Base{Teams: map[string]clusterconfig.Team{}, Tuning: coreTuning(s)}
	for _, t := range p.Params.Teams {
		b.Teams[t.Name] = clusterconfig.Team{
			Min:         core.Resources{CPU: int64(t.CPUs * 1000), GPU: int64(t.GPUs * 1000)},
			Max:         core.Resources{CPU: int64(t.CPUsMax * 1000), GPU: int64(t.GPUsMax * 1000)},
			PriorityCap: s.PriorityCap(t.Name),
		}
	}
	return b
}

// CoreTeams returns the teams in the core's form, sorted by name.
func CoreTeams(teams map[string]clusterconfig.Team) []core.Team {
	var out []core.Team
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		t := teams[name]
		out = append(out, core.Team{Name: name, Min: t.Min, Max: t.Max})
	}
	return out
}

// coreTuning returns the settings that the core uses.
func coreTuning(s Settings) core.Tuning {
	return core.Tuning{
		IdleTimeout: core.Seconds(s.IdleReturnS), RefusalBackoff: core.Seconds(s.RefusalPauseS),
		ReservationDecay: core.Seconds(s.HoldS), Quarantine: core.Seconds(s.QuarantineS), SuspectAfter: core.Seconds(s.SuspectS), SpareTasks: s.SpareTasks,
	}
}
