package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"aspenstall/internal/wait"
)

// spent adds up what all workers have sent and received so far.
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
	}
	return sum
}

func (t *TrafficCounter) load() TrafficBytes {
	return TrafficBytes{Sent: t.Sent.Load(), Received: t.Received.Load()}
}

func (b TrafficBytes) minus(o TrafficBytes) TrafficBytes {
	return TrafficBytes{b.Sent - o.Sent, b.Received - o.Received}
}

// snapshot is how the counters stand.
type snapshot struct {
	at                                      time.Time
	traffic                                 WorkerTraffic
	messageCounts                           map[string]MessageCount
	stateWrites                             map[string]int64
	peerTraffic, stateTraffic, cloudTraffic TrafficBytes
	starts, stopped                         int
	leasesLost                              int
}

func (r *Run) snapshot() snapshot {
	n := snapshot{at: time.Now(), traffic: r.workerTraffic(), peerTraffic: r.traffic.peers.load(), stateTraffic: r.traffic.state.load(), cloudTraffic: r.traffic.cloud.load()}
	n.messageCounts, n.stateWrites = r.messages.snapshot()
	r.mu.Lock()
	n.starts, n.stopped, n.leasesLost = r.taskStarts, r.tasksStopped, r.leasesLost
	r.mu.Unlock()
	return n
}

const sampleInterval = 2 * time.Second

// measure measures the processes while the load goes on and troubles come.
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
	troubles := make(chan []FaultResult, 1)
	go func() { troubles <- r.injectFaults(ctx) }()
	running, n := 0, 0
	said := time.Now()
	for end := time.Now().Add(seconds(s.MeasureS)); time.Now().Before(end); {
		r.sampleProcesses(samples)
		r.mu.Lock()
		running, n = running+r.runningTasks, n+1
		r.mu.Unlock()
		if !wait.For(ctx, sampleInterval) {
			return nil, fmt.Errorf("ended early: %w", context.Cause(ctx))
		}
		if time.Since(said) >= 10*time.Second {
			said = time.Now()
			if !r.waitWithProgress(ctx, "measuring", time.Millisecond) {
				return nil, errMemoryLimit
			}
		}
	}
	after := r.snapshot()
	res.Faults = <-troubles
	r.addDifference(res, before, after)
	res.RunningTasks = float64(running) / float64(n)
	for _, k := range samples.processes {
		res.Usage = append(res.Usage, k.usage)
	}
	return res, nil
}

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

// difference is what was counted between two moments.
func (r *Run) addDifference(res *Result, a, b snapshot) {
	res.MeasuredS = b.at.Sub(a.at).Seconds()
	res.Workers = b.traffic.Workers
	res.Starts, res.Stopped, res.LeasesLost = b.starts-a.starts, b.stopped-a.stopped, b.leasesLost-a.leasesLost
	res.StartsPerS = float64(res.Starts) / res.MeasuredS
	res.WorkerTraffic = WorkerTraffic{
		Workers: b.traffic.Workers, Reports: b.traffic.Reports - a.traffic.Reports,
		ReportBytesSent: b.traffic.ReportBytesSent - a.traffic.ReportBytesSent, ReportBytesReceived: b.traffic.ReportBytesReceived - a.traffic.ReportBytesReceived,
		Commands: b.traffic.Commands - a.traffic.Commands, CommandBytesSent: b.traffic.CommandBytesSent - a.traffic.CommandBytesSent, CommandBytesReceived: b.traffic.CommandBytesReceived - a.traffic.CommandBytesReceived,
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

// finish adds what is known once all is over.
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
	res.Violations = r.rules.Violations()
	for _, c := range r.controllers {
		c.mu.Lock()
		res.UnexpectedExits += c.unexpectedExits
		c.mu.Unlock()
	}
	res.Records, res.RecordBytes = r.state.Size()
	r.mu.Lock()
	o := r.operator
	res.ConfigLatency, res.ConfigApplied, res.ConfigFailed, res.ConfigUnconfirmed = o.inForceLatency.summary(), o.applied, o.failed, o.unconfirmed
	res.PeakTotalMB = r.peakMB
	r.mu.Unlock()
}
