package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/config"
	"aspenstall/internal/configclient"
	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/statestore"
)

// configCmd holds the commands for the configuration that may change at run time.
type configCmd struct {
	Timeout time.Duration `help:"How long to wait, also until a change is in force." default:"10s"`
	Absent  []string      `help:"Controllers that are down for good: they are not asked for." placeholder:"MEMBER"`

	Get    struct{}        `cmd:"" help:"Print what is in force on top of the platform's file."`
	Diff   configFileCmd   `cmd:"" help:"Show what a file would change."`
	Apply  configApplyCmd  `cmd:"" help:"Make a file the configuration, and wait until it is in force everywhere."`
	Status configStatusCmd `cmd:"" help:"Show which version there is, and which each controller acts by."`
}

type configFileCmd struct {
	File string `arg:"" help:"The configuration (an S-expression)." type:"existingfile"`
}

type configApplyCmd struct {
	File      string  `arg:"" help:"The configuration (an S-expression)." type:"existingfile"`
	Expect    int64   `help:"Only over this version; the one that is read, if not given." default:"-1"`
	ID        string  `help:"The change's name: one that was made already is not made again."`
	FleetCPUs float64 `help:"CPUs that the fleet can have: a warning if the guarantees add up to more." name:"fleet-cpus"`
	FleetGPUs float64 `help:"The same for GPUs." name:"fleet-gpus"`
}

type configStatusCmd struct{}

// Exit codes of the configuration commands, for scripts. An invalid file has exitConfig.
const (
	exitNotReady    = 3
	exitConflict    = 4
	exitNotInForce  = 5
	exitTeamHasJobs = 6
	exitDiffers     = 7 // diff found differences
)

// errDiffers is returned by diff if the file differs from the configuration.
var errDiffers = errors.New("the configuration differs")

// configExitCode returns the exit code for an error of these commands; 0 if it has no code of its
// own.
func configExitCode(err error) int {
	switch {
	case errors.Is(err, configclient.ErrNotReady):
		return exitNotReady
	case errors.Is(err, configclient.ErrConflict):
		return exitConflict
	case errors.Is(err, configclient.ErrNotInForce), errors.Is(err, configclient.ErrOutcomeUnknown):
		return exitNotInForce
	case errors.Is(err, configclient.ErrTeamHasJobs):
		return exitTeamHasJobs
	case errors.Is(err, errDiffers):
		return exitDiffers
	}
	return 0
}

// run runs a configuration command.
func (c *configCmd) run(command string, p *config.Platform, s config.Settings, w io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	k := c.client(p, s)
	switch word := strings.Fields(command)[1]; word {
	case "get":
		return c.get(ctx, k, w)
	case "diff":
		return c.diff(ctx, k, w)
	case "apply":
		return c.apply(ctx, k, w)
	default:
		return c.status(ctx, k, w)
	}
}

// client returns a client of the state service without a request budget: two connections and the
// client's poll interval bound its rate.
func (c *configCmd) client(p *config.Platform, s config.Settings) *configclient.Client {
	const connections = 2
	k := &configclient.Client{
		Store: statestore.New(p.Services.State, 0, 0, connections, netdial.TCP(time.Second)),
		Base:  config.ClusterConfigBase(p, s), Limits: p.ConfigLimits(), Controllers: []string{p.Member}, Absent: c.Absent,
	}
	for _, peer := range p.Peers {
		k.Controllers = append(k.Controllers, peer.Member)
	}
	return k
}

// get prints the configuration in the form that apply reads.
func (c *configCmd) get(ctx context.Context, k *configclient.Client, w io.Writer) error {
	v, err := k.Read(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "; version %d, revision %d\n", v.Records.Head.Version, v.Records.HeadRevision)
	config.WriteClusterConfig(w, v.Config)
	return nil
}

// diff prints what a file would change. It returns errDiffers if that is anything.
func (c *configCmd) diff(ctx context.Context, k *configclient.Client, w io.Writer) error {
	to, err := config.ReadClusterConfig(c.Diff.File, &k.Base)
	if err != nil {
		return fmt.Errorf("%w%w", err, errConfig)
	}
	v, err := k.Read(ctx)
	if err != nil {
		return err
	}
	if writeDiff(w, k, v, to) {
		return errDiffers
	}
	return nil
}

// writeDiff prints the changes and reports whether there are any.
func writeDiff(w io.Writer, k *configclient.Client, v *configclient.View, to *clusterconfig.Config) bool {
	changes := clusterconfig.Diff(v.Config.OverlayOn(&k.Base), to.OverlayOn(&k.Base))
	for _, d := range changes {
		fmt.Fprintln(w, d)
	}
	return len(changes) > 0
}

// apply makes a file the configuration and waits until it is in force on every controller.
func (c *configCmd) apply(ctx context.Context, k *configclient.Client, w io.Writer) error {
	started := time.Now()
	a := &c.Apply
	to, err := config.ReadClusterConfig(a.File, &k.Base)
	if err != nil {
		return fmt.Errorf("%w%w", err, errConfig)
	}
	v, err := k.EnsureReady(ctx)
	if err != nil {
		return err
	}
	if a.ID == "" {
		a.ID = newChangeID()
	}
	_, made := v.Records.Head.VersionOfChange(a.ID)
	if !made && a.Expect >= 0 && v.Records.Head.Version != uint64(a.Expect) {
		writeDiff(w, k, v, to)
		return fmt.Errorf("%w: it is version %d, not %d", configclient.ErrConflict, v.Records.Head.Version, a.Expect)
	}
	fleet := core.Resources{CPU: int64(a.FleetCPUs * 1000), GPU: int64(a.FleetGPUs * 1000)}
	for _, warning := range to.Warnings(&k.Base, fleet) {
		fmt.Fprintln(w, "warning:", warning)
	}
	if !writeDiff(w, k, v, to) && !made {
		fmt.Fprintf(w, "nothing to change: version %d\n", v.Records.Head.Version)
		return nil
	}
	m, err := k.Apply(ctx, v, to, a.ID)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "version %d is written, change %s\n", m.Version, a.ID)
	r, err := k.AwaitInForce(ctx, v, m, started)
	for _, name := range slices.Sorted(maps.Keys(r.ConfirmedAfter)) {
		fmt.Fprintf(w, "%s acts by it after %v\n", name, r.ConfirmedAfter[name].Round(time.Millisecond))
	}
	for _, name := range r.Unconfirmed {
		fmt.Fprintf(w, "%s has not acknowledged the change: it decides nothing by an older version after %v\n", name, time.Duration(clusterconfig.InForceAfter)*time.Microsecond)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "in force everywhere after %v\n", r.EverywhereAfter.Round(time.Millisecond))
	return nil
}

// status prints the current version and the version that each controller uses. It returns
// configclient.ErrNotReady if a controller possibly doesn't follow the configuration.
func (c *configCmd) status(ctx context.Context, k *configclient.Client, w io.Writer) error {
	v, err := k.Read(ctx)
	if err != nil {
		return err
	}
	if v.Records.HeadRevision == 0 {
		fmt.Fprintln(w, "no configuration was ever made: the platform's file is in force")
		return nil
	}
	fmt.Fprintf(w, "version %d, revision %d\n", v.Records.Head.Version, v.Records.HeadRevision)
	for _, name := range slices.Sorted(maps.Keys(v.Acks)) {
		a := v.Acks[name]
		note := ""
		switch {
		case a.Error != "":
			note = ": " + a.Error
		case a.HeadRevision < v.Records.HeadRevision:
			note = ": behind"
		}
		leads := ""
		if name == v.Leader {
			leads = " (leads)"
		}
		fmt.Fprintf(w, "%s%s acts by version %d%s\n", name, leads, a.Version, note)
	}
	notReady := k.NotReady(v)
	for _, name := range k.NotReporting(v) {
		reason := "down or cut off"
		switch {
		case name == v.Leader:
			reason = "it leads by its platform file alone: it runs an earlier version, or has just started"
		case slices.Contains(notReady, name):
			reason = "it has never supported configuration records, or runs an earlier version: it uses its platform file alone"
		}
		fmt.Fprintf(w, "%s does not report: %s\n", name, reason)
	}
	if len(notReady) > 0 {
		return fmt.Errorf("%w: %s", configclient.ErrNotReady, strings.Join(notReady, ", "))
	}
	return nil
}

// newChangeID returns a random id for a change.
func newChangeID() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
