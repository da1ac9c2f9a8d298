package scale

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/procfs"
)

// Latency summarizes a latency distribution, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// latencyHistogram is a histogram of latencies in microseconds. It is safe for concurrent use.
type latencyHistogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// maxLatency is the largest latency that a histogram records; longer ones count as maxLatency.
const maxLatency = 10 * time.Minute

// newLatencyHistogram returns an empty histogram.
func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hist: hdrhistogram.New(1, int64(maxLatency/time.Microsecond), 3)}
}

// add records a latency.
func (l *latencyHistogram) add(d time.Duration) {
	l.mu.Lock()
	_ = l.hist.RecordValue(int64(min(max(d, time.Microsecond), maxLatency) / time.Microsecond))
	l.mu.Unlock()
}

// reset removes all recorded latencies.
func (l *latencyHistogram) reset() {
	l.mu.Lock()
	l.hist.Reset()
	l.mu.Unlock()
}

// summary returns the distribution of the recorded latencies.
func (l *latencyHistogram) summary() Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: l.hist.TotalCount(), P50: ms(l.hist.ValueAtQuantile(50)), P99: ms(l.hist.ValueAtQuantile(99)), Max: ms(l.hist.Max()),
	}
}

// Role is the role of a process in a run.
type Role string

// Roles of processes.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleWorker   Role = "worker" // one real worker
	RoleHollow   Role = "hollow" // many hollow workers
	RoleRun      Role = "run"    // this process: simulated state service, cloud and users
)

// Usage is the resource usage of a process during the measurement.
type Usage struct {
	Role      Role    `json:"role"`
	Name      string  `json:"name"`
	Workers   int     `json:"workers,omitempty"` // in the process
	Cores     float64 `json:"cores"`             // CPU cores used, mean
	PeakCores float64 `json:"peak_cores"`        // maximum over samples
	MemMB     float64 `json:"mem_mb"`            // resident, mean
	PeakMemMB float64 `json:"peak_mem_mb"`
	Threads   int     `json:"threads"` // maximum
	Sockets   int     `json:"sockets"` // maximum
}

// sampler samples the resource usage of processes from /proc.
type sampler struct {
	processes map[int]*processSamples
}

// processSamples accumulates the samples of a process.
type processSamples struct {
	usage     Usage
	lastCPU   float64 // CPU time at the last sample, in seconds
	lastAt    time.Time
	firstCPU  float64
	firstAt   time.Time
	memorySum float64 // sum over samples, in MB
	samples   int
}

// newSampler returns a sampler without samples.
func newSampler() *sampler { return &sampler{processes: map[int]*processSamples{}} }

// sample adds a sample of a process. It ignores a process that has ended.
func (s *sampler) sample(pid int, role Role, name string, workers int) {
	p, stat, err := processStat(pid)
	if err != nil {
		return
	}
	now, cpu := time.Now(), stat.CPUTime()
	samples := s.processes[pid]
	if samples == nil {
		samples = &processSamples{firstCPU: cpu, firstAt: now, lastCPU: cpu, lastAt: now}
		s.processes[pid] = samples
	}
	u := &samples.usage
	u.Role, u.Name, u.Workers = role, name, workers
	if d := now.Sub(samples.lastAt).Seconds(); d > 0 {
		u.PeakCores = max(u.PeakCores, (cpu-samples.lastCPU)/d)
		u.Cores = (cpu - samples.firstCPU) / now.Sub(samples.firstAt).Seconds()
	}
	samples.lastCPU, samples.lastAt = cpu, now
	mb := statResidentMB(stat)
	samples.samples++
	samples.memorySum += mb
	u.MemMB, u.PeakMemMB = samples.memorySum/float64(samples.samples), max(u.PeakMemMB, mb)
	u.Threads = max(u.Threads, stat.NumThreads)
	u.Sockets = max(u.Sockets, countSockets(p))
}

// countSockets returns the number of a process's open sockets, or 0 if they cannot be read.
func countSockets(p procfs.Proc) int {
	targets, err := p.FileDescriptorTargets()
	if err != nil {
		return 0
	}
	n := 0
	for _, t := range targets {
		if strings.HasPrefix(t, "socket:") {
			n++
		}
	}
	return n
}

// residentMB returns the resident memory of a process in MB, or 0 if it cannot be read.
func residentMB(pid int) float64 {
	_, stat, err := processStat(pid)
	if err != nil {
		return 0
	}
	return statResidentMB(stat)
}

// processStat returns a process and its status from /proc.
func processStat(pid int) (procfs.Proc, procfs.ProcStat, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return p, procfs.ProcStat{}, err
	}
	stat, err := p.Stat()
	return p, stat, err
}

// statResidentMB returns the resident memory of a process status in MB.
func statResidentMB(stat procfs.ProcStat) float64 { return float64(stat.ResidentMemory()) / (1 << 20) }

// machineMemoryMB returns the total memory of the machine in MB, or 0 if it cannot be read.
func machineMemoryMB() float64 {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0
	}
	m, err := fs.Meminfo()
	if err != nil || m.MemTotal == nil {
		return 0
	}
	return float64(*m.MemTotal) / 1024
}

// ownPID is the process ID of the run itself.
var ownPID = os.Getpid()
