package scale

import (
	"encoding/json"
	"os"
)

// Result is the result of a run. Counts and usage cover the measurement period unless a field says
// otherwise.
type Result struct {
	Settings Settings `json:"settings"`
	Version  string   `json:"version"` // source revision of the controllers
	Date     string   `json:"date"`
	Cores    int      `json:"cores"` // of the machine that the run is on

	MeasuredS         float64        `json:"measured_s"`
	Workers           int            `json:"workers"`       // running at the end
	RunningTasks      float64        `json:"running_tasks"` // mean over samples
	Starts            int            `json:"starts"`
	StartsPerS        float64        `json:"starts_per_s"`
	Stopped           int            `json:"stopped"` // tasks stopped by command
	LeasesLost        int            `json:"leases_lost"`
	JobsSubmitted     int            `json:"jobs_submitted"` // in the whole run
	JobsByClass       map[string]int `json:"jobs_by_class"`
	SubmissionsFailed int            `json:"submissions_failed"` // in the whole run
	Queries           int            `json:"asked"`              // in the whole run
	QueriesUnanswered int            `json:"unanswered"`         // in the whole run

	Usage         []Usage                 `json:"usage"`
	MessageCounts map[string]MessageCount `json:"counts"`  // by kind of message
	StateWrites   map[string]int64        `json:"changes"` // by kind of record
	WorkerTraffic WorkerTraffic           `json:"workers_spent"`
	PeerTraffic   TrafficBytes            `json:"peers"`
	StateTraffic  TrafficBytes            `json:"state"` // including HTTP headers
	CloudTraffic  TrafficBytes            `json:"cloud"`
	Records       int                     `json:"records"` // in the state service, at the end
	RecordBytes   int                     `json:"record_bytes"`

	SubmissionLatency Latency `json:"submission"` // in the whole run after warm-up
	UrgentLatency     Latency `json:"urgent"`
	UrgentLate        int     `json:"urgent_late"`

	ConfigLatency     Latency `json:"config"` // from the start of a change until it was in force
	ConfigApplied     int     `json:"config_made"`
	ConfigFailed      int     `json:"config_failed"`
	ConfigUnconfirmed int     `json:"config_by_time"` // in force by timeout because a controller did not confirm

	Storm           *StormResult  `json:"storm,omitempty"`
	Faults          []FaultResult `json:"troubles"`
	Violations      []string      `json:"rules_broken"`
	UnexpectedExits int           `json:"ended_alone"` // controllers that exited without being killed, in the whole run
	PeakTotalMB     float64       `json:"peak_total_mb"`
	Processes       int           `json:"processes"`
}

// TrafficBytes is the number of bytes on connections, in both directions.
type TrafficBytes struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// FaultResult is an injected fault and its observed effects.
type FaultResult struct {
	Fault Fault `json:"trouble"`
	// NextLeaderS is the time until the next leader's key was written, FirstStartS the time until
	// the first task start after that, both from the fault. 0 means not observed.
	NextLeaderS float64 `json:"next_leader_s,omitempty"`
	FirstStartS float64 `json:"first_start_s,omitempty"`
	LeasesLost  int     `json:"leases_lost"` // until the next fault or the end
}

// usageOf returns the usage of the processes of a role and the number of processes: the means of
// Cores and MemMB, the total of Workers, and the maxima of the other values.
func (r *Result) usageOf(role Role) (u Usage, n int) {
	for _, o := range r.Usage {
		if o.Role != role {
			continue
		}
		n++
		u.Cores += o.Cores
		u.MemMB += o.MemMB
		u.PeakCores = max(u.PeakCores, o.PeakCores)
		u.PeakMemMB = max(u.PeakMemMB, o.PeakMemMB)
		u.Threads = max(u.Threads, o.Threads)
		u.Sockets = max(u.Sockets, o.Sockets)
		u.Workers += o.Workers
	}
	if n > 0 {
		u.Cores /= float64(n)
		u.MemMB /= float64(n)
	}
	u.Role = role
	return u, n
}

// Write writes the result to a file as JSON.
func (r *Result) Write(path string) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// ReadResult reads a result from a file.
func ReadResult(path string) (*Result, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	return &r, json.Unmarshal(b, &r)
}
