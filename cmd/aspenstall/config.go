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

// configCmd are the commands about the configuration that may change while the cluster serves.
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

// Exit codes of the commands about the configuration, for scripts. A file that can't be used
// is exitConfig.
const (
	exitNotReady    = 3
	exitConflict    = 4
	exitNotInForce  = 5
	exitTeamHasJobs = 6
	exitDiffers     = 7 // diff: there is something to change
)

// errDiffers marks that diff found something.
var errDiffers = errors.New("the configuration differs")

// exitCode is that of an error of these commands; 0 if it has none of its own.
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

// run carries out a command.
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

// client speaks to the state service within a small part of its rates.
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

func (c *configCmd) get(ctx context.Context, k *configclient.Client, w io.Writer) error {
	v, err := k.Read(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "; version %d, revision %d\n", v.Records.Head.Version, v.Records.HeadRevision)
	config.WriteClusterConfig(w, v.Config)
	return nil
}

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

// writeDiff shows what changes, and reports whether anything does.
func writeDiff(w io.Writer, k *configclient.Client, v *configclient.View, to *clusterconfig.Config) bool {
	changes := clusterconfig.Diff(v.Config.OverlayOn(&k.Base), to.OverlayOn(&k.Base))
	for _, d := range changes {
		fmt.Fprintln(w, d)
	}
	return len(changes) > 0
}

func (c *configCmd) apply(ctx context.Context, k *configclient.Client, w io.Writer) error {
	begun := time.Now()
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
	room := core.Resources{CPU: int64(a.FleetCPUs * 1000), GPU: int64(a.FleetGPUs * 1000)}
	for _, warning := range to.Warnings(&k.Base, room) {
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
	f, err := k.AwaitInForce(ctx, v, m, begun)
	for _, name := range slices.Sorted(maps.Keys(f.ConfirmedAfter)) {
		fmt.Fprintf(w, "%s acts by it after %v\n", name, f.ConfirmedAfter[name].Round(time.Millisecond))
	}
	for _, name := range f.Unconfirmed {
		fmt.Fprintf(w, "%s says nothing: it decides nothing by an older version since %v\n", name, time.Duration(clusterconfig.InForceAfter)*time.Microsecond)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "in force everywhere after %v\n", f.EverywhereAfter.Round(time.Millisecond))
	return nil
}

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
		why := "down or cut off"
		switch {
		case name == v.Leader:
			why = "it leads, by the platform's file alone: it is of an earlier version, or has just begun"
		case slices.Contains(notReady, name):
			why = "it has never known configuration, or is of an earlier version: what is in force there is its platform file"
		}
		fmt.Fprintf(w, "%s says nothing: %s\n", name, why)
	}
	if len(notReady) > 0 {
		return fmt.Errorf("%w: %s", configclient.ErrNotReady, strings.Join(notReady, ", "))
	}
	return nil
}

func newChangeID() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
