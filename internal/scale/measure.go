package scale

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/procfs"
)

// Latency is a histogram of waits, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// latencies collects waits. It is safe for concurrent use.
type latencyHistogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

const maxLatency = 10 * time.Minute

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hist: hdrhistogram.New(1, int64(maxLatency/time.Microsecond), 3)}
}

func (l *latencyHistogram) add(d time.Duration) {
	l.mu.Lock()
	_ = l.hist.RecordValue(int64(min(max(d, time.Microsecond), maxLatency) / time.Microsecond))
	l.mu.Unlock()
}

// reset forgets what was collected.
func (l *latencyHistogram) reset() {
	l.mu.Lock()
	l.hist.Reset()
	l.mu.Unlock()
}

func (l *latencyHistogram) summary() Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Count: l.hist.TotalCount(), P50: ms(l.hist.ValueAtQuantile(50)), P99: ms(l.hist.ValueAtQuantile(99)), Max: ms(l.hist.Max()),
	}
}

// Role is what a process is.
type Role string

// The roles.
const (
	RoleLeader   Role = "leader"
	RoleFollower Role = "follower"
	RoleWorker   Role = "worker" // a real one, alone in its process
	RoleHollow   Role = "hollow" // many workers in one process
	RoleRun      Role = "run"    // stand-ins of the state service, the cloud and users
)

// Usage is what a process spent while it was measured.
type Usage struct {
	Role      Role    `json:"role"`
	Name      string  `json:"name"`
	Workers   int     `json:"workers,omitempty"` // in it
	Cores     float64 `json:"cores"`             // mean
	PeakCores float64 `json:"peak_cores"`        // of one sample
	MemMB     float64 `json:"mem_mb"`            // resident, mean
	PeakMemMB float64 `json:"peak_mem_mb"`
	Threads   int     `json:"threads"` // most
	Sockets   int     `json:"sockets"` // most
}

// sampler follows processes through /proc.
type sampler struct {
	processes map[int]*processSamples
}

type processSamples struct {
	usage     Usage
	lastCPU   float64 // seconds at the last sample
	lastAt    time.Time
	firstCPU  float64
	firstAt   time.Time
	memorySum float64 // sum over samples
	samples   int
}

func newSampler() *sampler { return &sampler{processes: map[int]*processSamples{}} }

// sample reads a process once; a process that is gone is left out.
func (s *sampler) sample(pid int, role Role, name string, workers int) {
	p, stat, err := processStat(pid)
	if err != nil {
		return
	}
	now, cpu := time.Now(), stat.CPUTime()
	k := s.processes[pid]
	if k == nil {
		k = &processSamples{firstCPU: cpu, firstAt: now, lastCPU: cpu, lastAt: now}
		s.processes[pid] = k
	}
	u := &k.usage
	u.Role, u.Name, u.Workers = role, name, workers
	if d := now.Sub(k.lastAt).Seconds(); d > 0 {
		u.PeakCores = max(u.PeakCores, (cpu-k.lastCPU)/d)
		u.Cores = (cpu - k.firstCPU) / now.Sub(k.firstAt).Seconds()
	}
	k.lastCPU, k.lastAt = cpu, now
	mb := statResidentMB(stat)
	k.samples++
	k.memorySum += mb
	u.MemMB, u.PeakMemMB = k.memorySum/float64(k.samples), max(u.PeakMemMB, mb)
	u.Threads = max(u.Threads, stat.NumThreads)
	u.Sockets = max(u.Sockets, countSockets(p))
}

// sockets counts a process's sockets.
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

// residentMB is what a process holds now.
func residentMB(pid int) float64 {
	_, stat, err := processStat(pid)
	if err != nil {
		return 0
	}
	return statResidentMB(stat)
}

// statOf reads how a process stands.
func processStat(pid int) (procfs.Proc, procfs.ProcStat, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return p, procfs.ProcStat{}, err
	}
	stat, err := p.Stat()
	return p, stat, err
}

func statResidentMB(stat procfs.ProcStat) float64 { return float64(stat.ResidentMemory()) / (1 << 20) }

// machineMemoryMB is the memory of the machine that this runs on.
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

var ownPID = os.Getpid()
