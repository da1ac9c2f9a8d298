package node

import (
	"testing"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
)

// TestMayStart: a command that starts a task goes out only if the configuration by which it
// was placed was read of late, also where the process stood still between the decision and
// the moment in which the command leaves; others go out as long as the node leads.
func TestMayStart(t *testing.T) {
	start, stop := []core.Command{{Op: core.Stop}, {Op: core.Start}}, []core.Command{{Op: core.Stop}, {Op: core.Forget}}
	for _, c := range []struct {
		name             string
		head             bool // there is a configuration
		format           int
		read             core.Micros // so long ago
		leads            bool
		starts, commands bool
	}{
		{"no configuration, nothing read", false, 0, 100 * core.Second, true, true, true},
		{"read just now", true, clusterconfig.Format, 0, true, true, true},
		{"read long ago", true, clusterconfig.Format, clusterconfig.FreshFor + core.Millisecond, true, false, true},
		{"of a newer format", true, clusterconfig.Format + 1, 0, true, false, true},
		{"does not lead", true, clusterconfig.Format, 0, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := quietNode()
			now := n.now()
			if c.leads {
				n.actUntil.Store(int64(now + 100*core.Second))
			}
			if c.head {
				n.config.follower.Head(clusterconfig.Head{Format: c.format}, 7, nil)
			}
			n.knownAt = now - c.read
			n.resolveConfig()
			if got := n.maySend(start)(); got != c.starts {
				t.Errorf("starts may go out: %v", got)
			}
			if got := n.maySend(stop)(); got != c.commands {
				t.Errorf("other commands may go out: %v", got)
			}
		})
	}
}
