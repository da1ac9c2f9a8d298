package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"aspenstall/internal/wait"
)

// workerTraffic returns the total traffic of all workers so far.
func (r *Run) workerTraffic() WorkerTraffic {
	var sum WorkerTraffic
	for _, h := range r.hosts {
		h.mu.Lock()
		s := h.traffic
		h.mu.Unlock()
		sum.Workers += s.Workers
		sum.Reports += s.Reports
		sum.ReportBytesSent += s.ReportBytesSent
		sum.ReportBytesReceived += s.ReportBytesReceived
		sum.Commands += s.Commands
		sum.CommandBytesSent += s.CommandBytesSent
		sum.CommandBytesReceived += s.CommandBytesReceived
		sum.CopiedCommands += s.CopiedCommands
	}
	return sum
}

// load returns the current counts.
func (t *TrafficCounter) load() TrafficBytes {
	return TrafficBytes{Sent: t.Sent.Load(), Received: t.Received.Load()}
}

// minus returns the difference of two counts.
func (b TrafficBytes) minus(o TrafficBytes) TrafficBytes {
	return TrafficBytes{b.Sent - o.Sent, b.Received - o.Received}
}

// snapshot is the state of the run's counters at a time.
type snapshot struct {
	at                                      time.Time
	traffic                                 WorkerTraffic
	messageCounts                           map[string]MessageCount
	stateWrites                             map[string]int64
	peerTraffic, stateTraffic, cloudTraffic TrafficBytes
	starts, stopped                         int
	leasesLost                              int
}

// snapshot returns the current state of the counters.
func (r *Run) snapshot() snapshot {
	snap := snapshot{at: time.Now(), traffic: r.workerTraffic(), peerTraffic: r.traffic.peers.load(), stateTraffic: r.traffic.state.load(), cloudTraffic: r.traffic.cloud.load()}
	snap.messageCounts, snap.stateWrites = r.messages.snapshot()
	r.mu.Lock()
	snap.starts, snap.stopped, snap.leasesLost = r.taskStarts, r.tasksStopped, r.leasesLost
	r.mu.Unlock()
	return snap
}

// sampleInterval is the interval between samples of the processes.
const sampleInterval = 2 * time.Second

// measure samples the processes and counts messages for the measurement period, under load and
// while faults are injected.
func (r *Run) measure(ctx context.Context) (*Result, error) {
	s := &r.settings
	res := &Result{Settings: *s, Date: time.Now().UTC().Format(time.RFC3339), Cores: runtime.NumCPU(), Processes: s.processes() + 1}
	r.users.submissionLatency.reset()
	r.users.urgentLatency.reset()
	r.operator.inForceLatency.reset()
	r.users.mu.Lock()
	r.users.urgentLate = 0
	r.users.mu.Unlock()
	r.mu.Lock()
	r.operator.applied, r.operator.failed, r.operator.unconfirmed = 0, 0, 0
	r.mu.Unlock()
	before := r.snapshot()
	samples := newSampler()
	faults := make(chan []FaultResult, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	runningSum, sampleCount := 0, 0
	lastProgress := time.Now()
	for end := time.Now().Add(seconds(s.MeasureS)); time.Now().Before(end); {
		r.sampleProcesses(samples)
		r.mu.Lock()
		runningSum, sampleCount = runningSum+r.runningTasks, sampleCount+1
		r.mu.Unlock()
		if !wait.For(ctx, sampleInterval) {
			return nil, fmt.Errorf("ended early: %w", context.Cause(ctx))
		}
		if time.Since(lastProgress) >= 10*time.Second {
			lastProgress = time.Now()
			if err := r.waitWithProgress(ctx, "measuring", time.Millisecond); err != nil {
				return nil, fmt.Errorf("ended early: %w", err)
			}
		}
	}
	after := r.snapshot()
	res.Faults = <-faults
	r.addDifference(res, before, after)
	res.RunningTasks = float64(runningSum) / float64(sampleCount)
	for _, processSamples := range samples.processes {
		res.Usage = append(res.Usage, processSamples.usage)
	}
	return res, nil
}

// sampleProcesses samples the controllers, the worker hosts and this process.
func (r *Run) sampleProcesses(samples *sampler) {
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	for _, c := range r.controllers {
		role := RoleFollower
		if c.name == leader {
			role = RoleLeader
		}
		if pid := c.runningPID(); pid != 0 {
			samples.sample(pid, role, c.name, 0)
		}
	}
	for _, h := range r.hosts {
		role := RoleHollow
		if h.realWorker {
			role = RoleWorker
		}
		h.mu.Lock()
		workers := h.traffic.Workers
		h.mu.Unlock()
		samples.sample(h.pid, role, fmt.Sprintf("workers-%d", h.index), workers)
	}
	samples.sample(ownPID, RoleRun, "run", 0)
}

// addDifference sets the counts of the result to the difference between snapshots a and b.
func (r *Run) addDifference(res *Result, a, b snapshot) {
	res.MeasuredS = b.at.Sub(a.at).Seconds()
	res.Workers = b.traffic.Workers
	res.Starts, res.Stopped, res.LeasesLost = b.starts-a.starts, b.stopped-a.stopped, b.leasesLost-a.leasesLost
	res.StartsPerS = float64(res.Starts) / res.MeasuredS
	res.WorkerTraffic = WorkerTraffic{
		Workers: b.traffic.Workers, Reports: b.traffic.Reports - a.traffic.Reports,
		ReportBytesSent: b.traffic.ReportBytesSent - a.traffic.ReportBytesSent, ReportBytesReceived: b.traffic.ReportBytesReceived - a.traffic.ReportBytesReceived,
		Commands: b.traffic.Commands - a.traffic.Commands, CommandBytesSent: b.traffic.CommandBytesSent - a.traffic.CommandBytesSent, CommandBytesReceived: b.traffic.CommandBytesReceived - a.traffic.CommandBytesReceived,
		CopiedCommands: b.traffic.CopiedCommands - a.traffic.CopiedCommands,
	}
	res.PeerTraffic, res.StateTraffic, res.CloudTraffic = b.peerTraffic.minus(a.peerTraffic), b.stateTraffic.minus(a.stateTraffic), b.cloudTraffic.minus(a.cloudTraffic)
	res.MessageCounts, res.StateWrites = map[string]MessageCount{}, map[string]int64{}
	for k, v := range b.messageCounts {
		o := a.messageCounts[k]
		res.MessageCounts[k] = MessageCount{v.Requests - o.Requests, v.BytesIn - o.BytesIn, v.BytesOut - o.BytesOut}
	}
	for k, v := range b.stateWrites {
		if v -= a.stateWrites[k]; v > 0 {
			res.StateWrites[k] = v
		}
	}
}

// addTotals sets what is known only at the end of the run: counts of the whole run, latencies and
// violations.
func (r *Run) addTotals(res *Result) {
	u := r.users
	u.mu.Lock()
	defer u.mu.Unlock()
	res.JobsByClass = u.submittedByClass
	for _, n := range u.submittedByClass {
		res.JobsSubmitted += n
	}
	res.SubmissionsFailed, res.Queries, res.QueriesUnanswered, res.UrgentLate = u.submissionsFailed, u.queries, u.queriesUnanswered, u.urgentLate
	res.SubmissionLatency, res.UrgentLatency = u.submissionLatency.summary(), u.urgentLatency.summary()
	res.Violations = r.checker.Violations()
	for _, c := range r.controllers {
		c.mu.Lock()
		res.UnexpectedExits += c.unexpectedExits
		c.mu.Unlock()
	}
	res.Records, res.RecordBytes = r.state.Size()
	r.mu.Lock()
	operator := r.operator
	res.ConfigLatency, res.ConfigApplied, res.ConfigFailed, res.ConfigUnconfirmed = operator.inForceLatency.summary(), operator.applied, operator.failed, operator.unconfirmed
	res.PeakTotalMB = r.peakMB
	r.mu.Unlock()
}
