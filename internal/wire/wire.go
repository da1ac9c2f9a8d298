// Package wire encodes and decodes the messages of the published protocols and the records in
// the state service, as MessagePack. The published field names occur only here; the rest of the
// program uses its own terms: jobs, teams, tasks, machines, attempts and leases.
package wire

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/core"
	"aspenstall/internal/txn"
)

// Paths of the HTTP interfaces. The suffixes follow a job's or a lease's id.
const (
	JobsPath           = "/v2/runs"
	CancelSuffix       = "withdraw"
	HealthPath         = "/up"
	ReportPath         = "/agent/beat"
	CommandsPath       = "/do"
	StatusPath         = "/inspect"
	CatalogPath        = "/catalog"
	MachinesPath       = "/machines"
	MachineReleasePath = "/machines/return"
	KeysPath           = "/keys"
	CommitPath         = "/commit"
	LeasesPath         = "/leases"
	RenewSuffix        = "renew"
	ChangesPath        = "/changes"
)

// MaxBodyBytes is the largest body, in bytes, of a request or response of users and workers.
const MaxBodyBytes = 64 << 10

// Marshal encodes v as MessagePack, integers in their shortest form.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return b.Bytes(), nil
}

// Unmarshal decodes MessagePack into v. It rejects malformed messages before it allocates.
func Unmarshal(b []byte, v any) error {
	if err := validate(b); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JobState is the response to a query for a job's state, to a cancellation, and to a submission of
// a job that is already known.
type JobState struct {
	ID      string `msgpack:"uid"`
	State   string `msgpack:"phase"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// AcceptedResponse is the response to a submission that is accepted.
type AcceptedResponse struct {
	ID    string `msgpack:"uid"`
	State string `msgpack:"phase"`
}

// States of a job in responses to users.
const (
	StatePending   = "pending"
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "aborted"
)

// PhaseName returns the published state for the phase of a job record.
func PhaseName(p core.Phase) string {
	return [...]string{StatePending, StateDone, StateCancelled}[p]
}

type taskReport struct {
	Task         string `msgpack:"lot"`
	Attempt      uint64 `msgpack:"try"`
	State        string `msgpack:"phase"`
	Cause        string `msgpack:"cause"`
	Checkpointed bool   `msgpack:"kept"`
}

type report struct {
	Machine    string       `msgpack:"stall"`
	Address    string       `msgpack:"address"`
	Type       string       `msgpack:"breed"`
	Zone       string       `msgpack:"paddock"`
	Spot       bool         `msgpack:"loaners"`
	Session    uint64       `msgpack:"tenure"`
	Seq        uint64       `msgpack:"tick"`
	Token      uint64       `msgpack:"epoch"`
	SpotNotice *float64     `msgpack:"recall_s"`
	Tasks      []taskReport `msgpack:"lots"`
}

type command struct {
	Op          string   `msgpack:"verb"`
	Task        string   `msgpack:"lot"`
	Attempt     uint64   `msgpack:"try"`
	GracePeriod *float64 `msgpack:"wind_down_s,omitempty"`
}

type commands struct {
	Token    uint64    `msgpack:"epoch"`
	Session  uint64    `msgpack:"tenure,omitempty"`
	Commands []command `msgpack:"orders"`
}

// Redirect is the response to a worker that reports to another node than the leader: Node is the
// node to report to.
type Redirect struct {
	Node string `msgpack:"foreman,omitempty"`
}

var taskStatesByName = map[string]core.TaskState{
	"fetching": core.Fetching, "gathering": core.WaitingForPeers, "running": core.Running,
	"flushing": core.Checkpointing, "exited": core.Exited,
}

var causesByName = map[string]core.Cause{
	"done": core.CauseDone, "halted": core.CauseStopped, "mates_gone": core.CausePeersLost,
	"alone": core.CausePeersMissing, "error": core.CauseError, "no_room": core.CauseNoCapacity,
	"in_use": core.CauseAlreadyPresent, "no_such": core.CauseUnknownTask,
}

var opNames = [...]string{core.Start: "start", core.Stop: "halt", core.Forget: "reap"}

// TaskName returns the published name of a task: the job's id, a slash and the index.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// parseTask splits a task's published name into the job's id and the index.
func parseTask(s string) (string, int, error) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, fmt.Errorf("invalid task name %q", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return "", 0, fmt.Errorf("invalid task name %q", s)
	}
	return s[:i], n, nil
}

// ParseReport decodes a worker's report. An unknown cause becomes core.CauseError; a missing
// machine name or session, a malformed task name and an unknown task state are errors.
func ParseReport(b []byte) (*core.Report, error) {
	var w report
	if err := Unmarshal(b, &w); err != nil {
		return nil, err
	}
	if w.Machine == "" || w.Session == 0 {
		return nil, fmt.Errorf("report without a machine name or session")
	}
	r := &core.Report{
		Machine: w.Machine, Address: w.Address, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Session: w.Session, Seq: w.Seq, Token: w.Token, SpotNotice: -1,
		Tasks: make([]core.TaskReport, 0, len(w.Tasks)),
	}
	if w.SpotNotice != nil {
		r.SpotNotice = core.Seconds(max(*w.SpotNotice, 0))
	}
	for _, t := range w.Tasks {
		job, index, err := parseTask(t.Task)
		if err != nil {
			return nil, err
		}
		state, ok := taskStatesByName[t.State]
		if !ok {
			return nil, fmt.Errorf("task %s: unknown state %q", t.Task, t.State)
		}
		cause, ok := causesByName[t.Cause]
		if !ok {
			cause = core.CauseError
		}
		r.Tasks = append(r.Tasks, core.TaskReport{Job: job, Index: index, Attempt: t.Attempt, State: state, Cause: cause, Checkpointed: t.Checkpointed})
	}
	return r, nil
}

// EncodeCommands encodes commands for a worker. session is 0 in the response to a report.
func EncodeCommands(token, session uint64, cmds []core.Command) ([]byte, error) {
	w := commands{Token: token, Session: session, Commands: make([]command, len(cmds))}
	for i, c := range cmds {
		w.Commands[i] = command{Op: opNames[c.Op], Task: TaskName(c.Job, c.Index), Attempt: c.Attempt}
		if c.Op == core.Stop {
			g := float64(c.GracePeriod) / 1e6
			w.Commands[i].GracePeriod = &g
		}
	}
	return Marshal(&w)
}

type machineType struct {
	Name      string   `msgpack:"label"`
	CPUs      float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"gpus"`
	MemGB     float64  `msgpack:"ram_gb"`
	CacheGB   float64  `msgpack:"local_gb"`
	FetchGBps float64  `msgpack:"fetch_gb_per_s"`
	Price     float64  `msgpack:"rate"`
	SpotPrice float64  `msgpack:"low_price"`
	BootS     float64  `msgpack:"ready_s"`
	Zones     []string `msgpack:"paddocks"`
}

// ParseCatalog decodes the cloud's machine types.
func ParseCatalog(b []byte) ([]core.MachineType, error) {
	var w struct {
		Types []machineType `msgpack:"breeds"`
	}
	if err := Unmarshal(b, &w); err != nil {
		return nil, err
	}
	out := make([]core.MachineType, 0, len(w.Types))
	for _, t := range w.Types {
		out = append(out, core.MachineType{
			Name: t.Name, Capacity: core.Resources{CPU: floorMilli(t.CPUs), GPU: floorMilli(t.GPUs), Mem: floorMilli(t.MemGB)},
			CacheMB: floorMilli(t.CacheGB), FetchMBps: floorMilli(t.FetchGBps),
			Price: t.Price, SpotPrice: t.SpotPrice, BootTime: core.Seconds(t.BootS), Zones: t.Zones,
		})
	}
	return out, nil
}

// RentRequest is a request to the cloud to rent machines.
type RentRequest struct {
	RequestID string `msgpack:"hire"`
	Type      string `msgpack:"breed"`
	Zone      string `msgpack:"paddock"`
	Spot      bool   `msgpack:"loaners"`
	Count     int    `msgpack:"count"`
}

// MachineNames is the cloud's response to a rental, and the request to release machines.
type MachineNames struct {
	Machines []string `msgpack:"stalls"`
}

type listedMachine struct {
	ID      string  `msgpack:"uid"`
	Address string  `msgpack:"address"`
	Type    string  `msgpack:"breed"`
	Zone    string  `msgpack:"paddock"`
	Spot    bool    `msgpack:"loaners"`
	State   string  `msgpack:"phase"`
	AgeS    float64 `msgpack:"age_s"`
}

// ParseMachines decodes a page of the cloud's machine list; more reports whether pages follow.
func ParseMachines(b []byte) (list []core.ListedMachine, more bool, err error) {
	var w struct {
		Machines []listedMachine `msgpack:"stalls"`
		More     bool            `msgpack:"more"`
	}
	if err := Unmarshal(b, &w); err != nil {
		return nil, false, err
	}
	for _, m := range w.Machines {
		list = append(list, core.ListedMachine{
			Name: m.ID, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Booting: m.State == "booting", Failed: m.State == "failed", Age: core.Seconds(m.AgeS),
		})
	}
	return list, w.More, nil
}

// The types below are messages of the state service. Values stay encoded until they are needed.

// Entry is a key with its value. ModRevision is the revision of its last write.
type Entry struct {
	Key         string             `msgpack:"path"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"stamp"`
	Lease       uint64             `msgpack:"tether"`
}

// Entries is a page of a key listing.
type Entries struct {
	Items    []Entry `msgpack:"entries"`
	More     bool    `msgpack:"more"`
	Revision uint64  `msgpack:"ledger"`
}

// Change is an event of a watch: a write of the key Put, or the deletion of the key Delete.
type Change struct {
	Put         string             `msgpack:"write"`
	Delete      string             `msgpack:"drop"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"stamp"`
}

// Changes is the response to a watch.
type Changes struct {
	Revision uint64   `msgpack:"ledger"`
	Events   []Change `msgpack:"news"`
}

// Cond is a condition of a transaction: the key's last write has this revision; 0 means that the
// key does not exist.
type Cond struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"stamp"`
}

// Write is a put of the key Put or a deletion of the key Delete. Lease is 0 for a key that is not
// bound to a lease. Kind is not sent; statestore.Client.Commit needs it.
type Write struct {
	Kind   txn.Kind           `msgpack:"-"`
	Put    string             `msgpack:"write,omitempty"`
	Delete string             `msgpack:"drop,omitempty"`
	Value  msgpack.RawMessage `msgpack:"value,omitempty"`
	Lease  uint64             `msgpack:"tether,omitempty"`
}

// Txn is a transaction: the writes are applied if all conditions hold.
type Txn struct {
	If   []Cond  `msgpack:"if"`
	Then []Write `msgpack:"writes"`
}

// TxnResult is the response to a transaction. Failed lists the keys whose conditions did not hold.
type TxnResult struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// LeaseRequest is a request for a lease; TTL is in milliseconds.
type LeaseRequest struct {
	TTL int64 `msgpack:"ttl_ms"`
}

// Lease is the response to a LeaseRequest.
type Lease struct {
	ID uint64 `msgpack:"tether"`
}
