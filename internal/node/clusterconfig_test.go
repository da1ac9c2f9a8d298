package node

import (
	"fmt"
	"net/http"
	"testing"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/httpapi"
	"aspenstall/internal/peer"
)

// TestSendCheck checks that a command that starts a task is sent only if the configuration by
// which the task was placed was read recently, even if the process was stopped between the
// decision and the sending. Other commands are sent as long as the node leads.
func TestSendCheck(t *testing.T) {
	start, stop := []core.Command{{Op: core.Stop}, {Op: core.Start}}, []core.Command{{Op: core.Stop}, {Op: core.Forget}}
	for _, c := range []struct {
		name             string
		hasConfig        bool // a configuration exists
		format           int
		sinceRead        core.Micros // how long ago
		leads            bool
		starts, commands bool
	}{
		{"no configuration, nothing read", false, 0, 100 * core.Second, true, true, true},
		{"read just now", true, clusterconfig.Format, 0, true, true, true},
		{"read long ago", true, clusterconfig.Format, clusterconfig.FreshnessTTL + core.Millisecond, true, false, true},
		{"of a newer format", true, clusterconfig.Format + 1, 0, true, false, true},
		{"does not lead", true, clusterconfig.Format, 0, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode()
			now := n.now()
			if c.leads {
				n.leaseValidUntil.Store(int64(now + 100*core.Second))
			}
			if c.hasConfig {
				n.clusterConfig.follower.UpdateHead(clusterconfig.Head{Format: c.format}, 7, nil)
			}
			n.currentAsOf = now - c.sinceRead
			n.resolveConfig()
			if got := n.sendCheck(start)(); got != c.starts {
				t.Errorf("start commands may be sent: %v", got)
			}
			if got := n.sendCheck(stop)(); got != c.commands {
				t.Errorf("other commands may be sent: %v", got)
			}
		})
	}
}

// TestRefusalAfterConfigChange checks that an infeasible submission is checked again against the
// configuration that has been read since it arrived, and that the refusal is not written once the
// configuration has changed again: the operator may already know that the new one is in force.
func TestRefusalAfterConfigChange(t *testing.T) {
	spec := core.JobSpec{ID: "job-1", Team: "red", Tasks: 1, Resources: core.Resources{CPU: 1000}}
	put := func(n *Node, teams map[string]clusterconfig.Team, revision uint64) {
		key := fmt.Sprint(clusterconfig.PagePrefix, revision)
		n.clusterConfig.follower.UpdatePage(key, clusterconfig.Page{Teams: teams}, revision)
		n.clusterConfig.follower.UpdateHead(clusterconfig.Head{Format: clusterconfig.Format, Pages: []string{key}}, revision, nil)
		n.currentAsOf = n.now()
		n.resolveConfig()
	}
	red := map[string]clusterconfig.Team{"red": {PriorityCap: core.Production}}
	for _, c := range []struct {
		name          string
		before, after map[string]clusterconfig.Team // before the refusal, and between refusal and writing
		status        int
		fresh         bool
	}{
		{"nothing changes", nil, nil, http.StatusUnprocessableEntity, true},
		{"its team is there by then", red, nil, http.StatusServiceUnavailable, true}, // 503, since the state service is unreachable
		{"its team is added before it is written", nil, red, http.StatusUnprocessableEntity, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode()
			n.view.ready = true
			n.catalog = []core.MachineType{{Name: "m", Capacity: core.Resources{CPU: 8000}}}
			put(n, c.before, 1)
			var got httpapi.Response
			n.refuseOrCreate(&spec, n.now(), func(a httpapi.Response) { got = a })
			if c.after != nil {
				put(n, c.after, 2)
			}
			if got.Status != c.status || got.Fresh != nil && got.Fresh() != c.fresh {
				t.Errorf("response %d, which may be written: %v", got.Status, got.Fresh == nil || got.Fresh())
			}
		})
	}
}

// TestOlderVersionPeers checks that a peer counts as an older version while its last status
// reports no configuration format.
func TestOlderVersionPeers(t *testing.T) {
	n := newTestNode()
	n.platform.Peers = []config.Peer{{Member: "n-1"}}
	n.peers["n-1"] = &peerState{}
	for i, c := range []struct {
		format int
		want   int
	}{{clusterconfig.Format, 0}, {0, 1}, {0, 1}, {clusterconfig.Format, 0}} {
		n.applyPeerStatus(&peer.Status{Node: "n-1", Incarnation: uint64(i), ConfigFormat: c.format})
		if got := n.olderVersionPeers(); len(got) != c.want {
			t.Errorf("after status %d: older peers %q", i, got)
		}
	}
}
