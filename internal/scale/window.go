package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"aspenstall/internal/wait"
)

// spent adds up what all workers have sent and received so far.
func (r *Run) spent() Spent {
	var sum Spent
	for _, h := range r.hosts {
		h.mu.Lock()
		s := h.spent
		h.mu.Unlock()
		sum.Workers += s.Workers
		sum.Reports += s.Reports
		sum.ReportsSent += s.ReportsSent
		sum.ReportsReceived += s.ReportsReceived
		sum.Commands += s.Commands
		sum.CommandsSent += s.CommandsSent
		sum.CommandsGot += s.CommandsGot
	}
	return sum
}

func (t *Traffic) bytes() Bytes { return Bytes{Sent: t.Sent.Load(), Received: t.Received.Load()} }

func (b Bytes) minus(o Bytes) Bytes { return Bytes{b.Sent - o.Sent, b.Received - o.Received} }

// snapshot is how the counters stand.
type snapshot struct {
	at                  time.Time
	spent               Spent
	counts              map[string]Count
	changes             map[string]int64
	peers, state, cloud Bytes
	starts, stopped     int
	lapsed              int
}

func (r *Run) snapshot() snapshot {
	n := snapshot{at: time.Now(), spent: r.spent(), peers: r.traffic.peers.bytes(), state: r.traffic.state.bytes(), cloud: r.traffic.cloud.bytes()}
	n.counts, n.changes = r.counts.copy()
	r.mu.Lock()
	n.starts, n.stopped, n.lapsed = r.starts, r.stopped, r.lapsed
	r.mu.Unlock()
	return n
}

const sampleEvery = 2 * time.Second

// measure measures the processes while the load goes on and troubles come.
func (r *Run) measure(ctx context.Context) (*Result, error) {
	s := &r.settings
	res := &Result{Settings: *s, Date: time.Now().UTC().Format(time.RFC3339), Cores: runtime.NumCPU(), Processes: s.processes() + 1}
	r.users.submission.reset()
	r.users.started.reset()
	r.operator.forced.reset()
	r.users.mu.Lock()
	r.users.late = 0
	r.users.mu.Unlock()
	r.mu.Lock()
	r.operator.made, r.operator.failed, r.operator.byTime = 0, 0, 0
	r.mu.Unlock()
	before := r.snapshot()
	samples := newSampler()
	troubles := make(chan []TroubleSeen, 1)
	go func() { troubles <- r.cause(ctx) }()
	running, n := 0, 0
	said := time.Now()
	for end := time.Now().Add(seconds(s.MeasureS)); time.Now().Before(end); {
		r.sample(samples)
		r.mu.Lock()
		running, n = running+r.running, n+1
		r.mu.Unlock()
		if !wait.For(ctx, sampleEvery) {
			return nil, fmt.Errorf("ended early: %w", context.Cause(ctx))
		}
		if time.Since(said) >= 10*time.Second {
			said = time.Now()
			if !r.progress(ctx, "measuring", time.Millisecond) {
				return nil, errMemory
			}
		}
	}
	after := r.snapshot()
	res.Troubles = <-troubles
	r.difference(res, before, after)
	res.RunningTasks = float64(running) / float64(n)
	for _, k := range samples.procs {
		res.Usage = append(res.Usage, k.usage)
	}
	return res, nil
}

func (r *Run) sample(samples *sampler) {
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	for _, c := range r.controllers {
		role := RoleFollower
		if c.name == leader {
			role = RoleLeader
		}
		if pid := c.running(); pid != 0 {
			samples.sample(pid, role, c.name, 0)
		}
	}
	for _, h := range r.hosts {
		role := RoleHollow
		if h.real {
			role = RoleWorker
		}
		h.mu.Lock()
		workers := h.spent.Workers
		h.mu.Unlock()
		samples.sample(h.pid, role, fmt.Sprintf("workers-%d", h.number), workers)
	}
	samples.sample(self, RoleRun, "run", 0)
}

// difference is what was counted between two moments.
func (r *Run) difference(res *Result, a, b snapshot) {
	res.MeasuredS = b.at.Sub(a.at).Seconds()
	res.Workers = b.spent.Workers
	res.Starts, res.Stopped, res.LeasesLost = b.starts-a.starts, b.stopped-a.stopped, b.lapsed-a.lapsed
	res.StartsPerS = float64(res.Starts) / res.MeasuredS
	res.WorkersSpent = Spent{
		Workers: b.spent.Workers, Reports: b.spent.Reports - a.spent.Reports,
		ReportsSent: b.spent.ReportsSent - a.spent.ReportsSent, ReportsReceived: b.spent.ReportsReceived - a.spent.ReportsReceived,
		Commands: b.spent.Commands - a.spent.Commands, CommandsSent: b.spent.CommandsSent - a.spent.CommandsSent, CommandsGot: b.spent.CommandsGot - a.spent.CommandsGot,
	}
	res.Peers, res.State, res.Cloud = b.peers.minus(a.peers), b.state.minus(a.state), b.cloud.minus(a.cloud)
	res.Counts, res.Changes = map[string]Count{}, map[string]int64{}
	for k, v := range b.counts {
		o := a.counts[k]
		res.Counts[k] = Count{v.Requests - o.Requests, v.In - o.In, v.Out - o.Out}
	}
	for k, v := range b.changes {
		if v -= a.changes[k]; v > 0 {
			res.Changes[k] = v
		}
	}
}

// finish adds what is known once all is over.
func (r *Run) finish(res *Result) {
	u := r.users
	u.mu.Lock()
	defer u.mu.Unlock()
	res.JobsByClass = u.submitted
	for _, n := range u.submitted {
		res.JobsSubmitted += n
	}
	res.Failed, res.Asked, res.Unanswered, res.UrgentLate = u.failed, u.asked, u.unanswered, u.late
	res.Submission, res.Urgent = u.submission.result(), u.started.result()
	res.RulesBroken = r.rules.List()
	for _, c := range r.controllers {
		c.mu.Lock()
		res.EndedAlone += c.ended
		c.mu.Unlock()
	}
	res.Records, res.RecordBytes = r.state.Size()
	r.mu.Lock()
	o := r.operator
	res.Config, res.ConfigMade, res.ConfigFailed, res.ConfigByTime = o.forced.result(), o.made, o.failed, o.byTime
	res.PeakTotalMB = r.peakMB
	r.mu.Unlock()
}
