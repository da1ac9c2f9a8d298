package wire

import (
	"fmt"
	"unique"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/core"
)

// Keys of records that processes other than the controllers also read.
const (
	LeaderKey = "c/leader"
	JobPrefix = "c/job/"
)

// jobRecord is a job in the state service. The fields' encoded names are short because a record
// is written for every job.
type jobRecord struct {
	Phase              uint8    `msgpack:"p"`
	SubmittedAt        int64    `msgpack:"at"`
	Class              string   `msgpack:"cl,omitempty"`
	Team               string   `msgpack:"te,omitempty"`
	Kind               uint8    `msgpack:"k,omitempty"`
	Priority           uint8    `msgpack:"pr,omitempty"`
	Tasks              int      `msgpack:"n"`
	CPU                int64    `msgpack:"c,omitempty"`
	GPU                int64    `msgpack:"g,omitempty"`
	Mem                int64    `msgpack:"m,omitempty"`
	Types              []string `msgpack:"ty"`
	Zone               string   `msgpack:"z,omitempty"`
	OneZone            bool     `msgpack:"oz,omitempty"`
	Spread             bool     `msgpack:"sd,omitempty"`
	Spot               bool     `msgpack:"sp,omitempty"`
	Image              string   `msgpack:"im,omitempty"`
	ImageMB            int64    `msgpack:"mb,omitempty"`
	EstimatedRun       int64    `msgpack:"es,omitempty"`
	CheckpointInterval int64    `msgpack:"ck,omitempty"`
	CheckpointCost     int64    `msgpack:"sc,omitempty"`
	Deadline           int64    `msgpack:"du,omitempty"`
	AcceptedRevision   uint64   `msgpack:"b,omitempty"`
	EndedAt            int64    `msgpack:"e,omitempty"`
	Dependencies       []string `msgpack:"w,omitempty"` // of a pending job
}

// EncodeJob encodes a job record, without the job's id, which is in the key.
func EncodeJob(r *core.JobRecord) ([]byte, error) {
	s := &r.Spec
	w := jobRecord{
		Phase: uint8(r.Phase), SubmittedAt: int64(r.SubmittedAt), Class: s.Class, Team: s.Team,
		Kind: uint8(s.Kind), Priority: uint8(s.Priority), Tasks: s.Tasks,
		CPU: s.Resources.CPU, GPU: s.Resources.GPU, Mem: s.Resources.Mem, Types: s.Types, Zone: s.Zone,
		OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot, Image: s.Image, ImageMB: s.ImageMB,
		EstimatedRun: int64(s.EstimatedRun), CheckpointInterval: int64(s.CheckpointInterval), CheckpointCost: int64(s.CheckpointCost), Deadline: int64(s.Deadline),
		AcceptedRevision: r.AcceptedRevision, EndedAt: int64(r.EndedAt), Dependencies: s.Dependencies(),
	}
	return Marshal(&w)
}

// intern returns a string with the same bytes, of which one copy is kept: job records share few
// classes, teams, zones and images.
func intern(s string) string { return unique.Make(s).Value() }

// DecodeJob decodes the record of the job with the given id. revision is that of the record's
// last write.
func DecodeJob(id string, b []byte, revision uint64) (core.JobRecord, error) {
	var w jobRecord
	if err := Unmarshal(b, &w); err != nil {
		return core.JobRecord{}, fmt.Errorf("job %s: %w", id, err)
	}
	var chain *core.Chain
	if len(w.Dependencies) > 0 {
		chain = &core.Chain{Dependencies: w.Dependencies}
	}
	return core.JobRecord{
		Phase: core.Phase(w.Phase), SubmittedAt: core.Micros(w.SubmittedAt), Revision: revision, AcceptedRevision: w.AcceptedRevision, EndedAt: core.Micros(w.EndedAt),
		Spec: core.JobSpec{
			ID: id, Class: intern(w.Class), Team: intern(w.Team), Kind: core.Kind(w.Kind), Priority: core.Priority(w.Priority),
			Tasks: w.Tasks, Resources: core.Resources{CPU: w.CPU, GPU: w.GPU, Mem: w.Mem}, Types: w.Types, Zone: intern(w.Zone),
			OneZone: w.OneZone, Spread: w.Spread, Spot: w.Spot, Image: intern(w.Image), ImageMB: w.ImageMB,
			EstimatedRun: core.Micros(w.EstimatedRun), CheckpointInterval: core.Micros(w.CheckpointInterval), CheckpointCost: core.Micros(w.CheckpointCost), Deadline: core.Micros(w.Deadline),
			Chain: chain,
		},
	}, nil
}

// machineRecord is encoded as a list rather than a map, since one value holds many machines.
type machineRecord struct {
	//lint:ignore U1000 the encoder reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Address  string
	Type     string
	Zone     string
	Spot     bool
}

type machineGroupRecord struct {
	Machines []machineRecord `msgpack:"ms"`
}

type rentalRecord struct {
	RequestID string   `msgpack:"req"`
	Type      string   `msgpack:"type"`
	Zone      string   `msgpack:"zone"`
	Spot      bool     `msgpack:"spot"`
	Count     int      `msgpack:"count"`
	Machines  []string `msgpack:"names"`
	RentedAt  int64    `msgpack:"at"`
}

type completionRecord struct {
	Job    string `msgpack:"job"`
	Chunk  int    `msgpack:"chunk"`
	Ranges []int  `msgpack:"r"`
}

type startedRecord struct {
	Job string `msgpack:"job"`
}

type retainedTask struct {
	//lint:ignore U1000 the encoder reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
	Attempt  uint64
}

type retainedMachine struct {
	//lint:ignore U1000 the encoder reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Tasks    []retainedTask
}

type partitionRecord struct {
	Zone     string            `msgpack:"z"`
	BeganAt  int64             `msgpack:"at"`
	Machines []retainedMachine `msgpack:"ms"`
}

// LeaderRecord is the record of the current leader.
type LeaderRecord struct {
	Node       string `msgpack:"node"`
	RaiseCount uint64 `msgpack:"nth"` // number of token raises; makes each rewrite of the record differ
}

// EncodeRecord encodes one of the core's records. A type without an encoding is an error.
func EncodeRecord(v any) ([]byte, error) {
	switch r := v.(type) {
	case core.MachineGroupRecord:
		var w machineGroupRecord
		for _, m := range r.Machines {
			w.Machines = append(w.Machines, machineRecord{Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
		return Marshal(&w)
	case core.RentalRecord:
		return Marshal(&rentalRecord{r.RequestID, r.Type, r.Zone, r.Spot, r.Count, r.Machines, int64(r.RentedAt)})
	case core.CompletionRecord:
		return Marshal(&completionRecord{r.Job, r.Chunk, r.Ranges})
	case core.StartedRecord:
		return Marshal((*startedRecord)(&r))
	case core.PartitionRecord:
		w := partitionRecord{Zone: r.Zone, BeganAt: int64(r.BeganAt)}
		for _, m := range r.Machines {
			km := retainedMachine{Name: m.Name}
			for _, t := range m.Tasks {
				km.Tasks = append(km.Tasks, retainedTask{Job: t.Job, Index: t.Index, Attempt: t.Attempt})
			}
			w.Machines = append(w.Machines, km)
		}
		return Marshal(&w)
	case core.FinalRecord:
		return EncodeJob(&r.Record)
	}
	return nil, fmt.Errorf("no encoding for %T", v)
}

// DecodeMachineGroup decodes the record of a group of machines at the key.
func DecodeMachineGroup(key string, b []byte) (core.MachineGroupRecord, error) {
	r := core.MachineGroupRecord{Key: key}
	var w machineGroupRecord
	err := Unmarshal(b, &w)
	for _, m := range w.Machines {
		r.Machines = append(r.Machines, core.MachineRecord{Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot})
	}
	return r, err
}

// DecodePartition decodes the record at the key of the machines retained in a partitioned zone.
func DecodePartition(key string, b []byte) (core.PartitionRecord, error) {
	var w partitionRecord
	err := Unmarshal(b, &w)
	r := core.PartitionRecord{Key: key, Zone: w.Zone, BeganAt: core.Micros(w.BeganAt)}
	for _, m := range w.Machines {
		km := core.RetainedMachine{Name: m.Name}
		for _, t := range m.Tasks {
			km.Tasks = append(km.Tasks, core.TaskAttempt{Job: t.Job, Index: t.Index, Attempt: t.Attempt})
		}
		r.Machines = append(r.Machines, km)
	}
	return r, err
}

// DecodeRental decodes the record of a rental.
func DecodeRental(b []byte) (core.RentalRecord, error) {
	var w rentalRecord
	err := Unmarshal(b, &w)
	return core.RentalRecord{
		RequestID: w.RequestID, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Count: w.Count, Machines: w.Machines, RentedAt: core.Micros(w.RentedAt),
	}, err
}

// DecodeCompletion decodes the record of completed tasks at the key.
func DecodeCompletion(key string, b []byte) (core.CompletionRecord, error) {
	var w completionRecord
	err := Unmarshal(b, &w)
	return core.CompletionRecord{Key: key, Job: w.Job, Chunk: w.Chunk, Ranges: w.Ranges}, err
}

// CatalogRecord is the catalog for nodes that cannot reach the cloud: the cloud's response,
// still encoded.
type CatalogRecord struct {
	Raw msgpack.RawMessage `msgpack:"raw"`
}
