package scale

import (
	"fmt"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteSummary writes a summary of one result.
func WriteSummary(w io.Writer, r *Result) {
	fmt.Fprintf(w, "%d workers (%d with a process each), %.0f tasks running, %.1f starts/s, measured for %.0f s on %d cores; %d processes, peak %.0f MB\n",
		r.Workers, r.Settings.RealWorkers, r.RunningTasks, r.StartsPerS, r.MeasuredS, r.Cores, r.Processes, r.PeakTotalMB)
	for _, role := range []Role{RoleLeader, RoleFollower, RoleWorker, RoleHollow, RoleRun} {
		if u, n := r.usageOf(role); n > 0 {
			fmt.Fprintf(w, "  %-9s %3d: %.4f cores (peak %.2f), %.0f MB (peak %.0f), %d threads, %d sockets\n",
				role, n, u.Cores, u.PeakCores, u.MemMB, u.PeakMemMB, u.Threads, u.Sockets)
		}
	}
	per := float64(r.Workers) * r.MeasuredS
	s := r.WorkerTraffic
	fmt.Fprintf(w, "  per worker and second: %.3f reports, %.0f B sent, %.0f B received; %.3f direct commands, %.0f B received, %.0f B sent\n",
		float64(s.Reports)/per, float64(s.ReportBytesSent)/per, float64(s.ReportBytesReceived)/per,
		float64(s.Commands)/per, float64(s.CommandBytesReceived)/per, float64(s.CommandBytesSent)/per)
	for _, kind := range slices.Sorted(maps.Keys(r.MessageCounts)) {
		if c := r.MessageCounts[kind]; c.Requests > 0 {
			fmt.Fprintf(w, "  %-28s %8.2f/s, %.0f B in, %.0f B out each\n", kind, float64(c.Requests)/r.MeasuredS, mean(c.BytesIn, c.Requests), mean(c.BytesOut, c.Requests))
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(r.StateWrites)) {
		fmt.Fprintf(w, "  change: %-20s %8.2f/s\n", kind, float64(r.StateWrites[kind])/r.MeasuredS)
	}
	fmt.Fprintf(w, "  peers %.0f B/s, state %.0f B/s, cloud %.0f B/s; %d records of %d bytes\n", r.PeerTraffic.perSecond(r.MeasuredS), r.StateTraffic.perSecond(r.MeasuredS), r.CloudTraffic.perSecond(r.MeasuredS), r.Records, r.RecordBytes)
	fmt.Fprintf(w, "  submission %s\n  urgent tasks %s, %d later than %v s\n", r.SubmissionLatency, r.UrgentLatency, r.UrgentLate, r.Settings.UrgentWithinS)
	if r.ConfigApplied+r.ConfigFailed > 0 {
		fmt.Fprintf(w, "  configuration in force %s, %d failed, %d in force by timeout\n", r.ConfigLatency, r.ConfigFailed, r.ConfigUnconfirmed)
	}
	fmt.Fprintf(w, "  tasks stopped %d, leases lost %d, submissions failed %d, queries %d (unanswered %d), unexpected controller exits %d\n",
		r.Stopped, r.LeasesLost, r.SubmissionsFailed, r.Queries, r.QueriesUnanswered, r.UnexpectedExits)
	if r.Storm != nil {
		fmt.Fprintf(w, "  questions of one team: %d answered, %d refused, %d unanswered, %d whose client left\n", r.Storm.Answered, r.Storm.Refused, r.Storm.Unanswered, r.Storm.Left)
	}
	for _, t := range r.Faults {
		fmt.Fprintf(w, "  fault %s at %v s for %v s: next leader after %.2f s, next start after %.2f s, leases lost %d\n",
			t.Fault.Kind, t.Fault.AtS, t.Fault.ForS, t.NextLeaderS, t.FirstStartS, t.LeasesLost)
	}
	fmt.Fprintf(w, "  rules broken: %d\n", len(r.Violations))
	for _, b := range r.Violations {
		fmt.Fprintln(w, "   ", b)
	}
}

// mean returns sum/n, or sum if n is 0.
func mean(sum, n int64) float64 { return float64(sum) / float64(max(n, 1)) }

// perSecond returns the bytes per second in both directions.
func (b TrafficBytes) perSecond(seconds float64) float64 { return float64(b.Sent+b.Received) / seconds }

// String returns the latencies in a readable form.
func (l Latency) String() string {
	return fmt.Sprintf("p50 %.0f ms, p99 %.0f ms, max %.0f ms of %d", l.P50, l.P99, l.Max, l.Count)
}

// metric is a measured quantity that depends on the number of workers.
type metric struct {
	name  string // label of the table's row, and the plot's title
	unit  string
	file  string // name of the plot's file, without extension
	value func(r *Result) float64
}

// usageMetric returns a function that applies of to the usage of a role.
func usageMetric(role Role, of func(Usage) float64) func(*Result) float64 {
	return func(r *Result) float64 {
		u, _ := r.usageOf(role)
		return of(u)
	}
}

// Values of usage.
func meanCores(u Usage) float64   { return u.Cores }
func peakMemory(u Usage) float64  { return u.PeakMemMB }
func openSockets(u Usage) float64 { return float64(u.Sockets) }

// requestRate returns a function that computes the rate per second of the requests whose kinds have
// a prefix.
func requestRate(prefix string) func(*Result) float64 {
	return func(r *Result) float64 {
		n := int64(0)
		for kind, c := range r.MessageCounts {
			if strings.HasPrefix(kind, prefix) {
				n += c.Requests
			}
		}
		return float64(n) / r.MeasuredS
	}
}

// stateWriteRate returns the rate per second of writes to the state service.
func stateWriteRate(r *Result) float64 {
	n := int64(0)
	for _, c := range r.StateWrites {
		n += c
	}
	return float64(n) / r.MeasuredS
}

// metrics lists the rows of the report's table.
var metrics = []metric{
	{"leader, processor", "cores", "leader-cores", usageMetric(RoleLeader, meanCores)},
	{"leader, memory at its peak", "MB", "leader-memory", usageMetric(RoleLeader, peakMemory)},
	{"leader, sockets", "sockets", "leader-sockets", usageMetric(RoleLeader, openSockets)},
	{"follower, processor", "cores", "follower-cores", usageMetric(RoleFollower, meanCores)},
	{"follower, memory at its peak", "MB", "follower-memory", usageMetric(RoleFollower, peakMemory)},
	{"workers' reports", "a second", "reports", func(r *Result) float64 { return float64(r.WorkerTraffic.Reports) / r.MeasuredS }},
	{"direct commands", "a second", "commands", func(r *Result) float64 { return float64(r.WorkerTraffic.Commands) / r.MeasuredS }},
	{"workers' bytes, all ways", "KB a second", "worker-bytes", func(r *Result) float64 {
		s := r.WorkerTraffic
		return float64(s.ReportBytesSent+s.ReportBytesReceived+s.CommandBytesSent+s.CommandBytesReceived) / r.MeasuredS / 1024
	}},
	{"state service, requests", "a second", "state-requests", requestRate("state ")},
	{"state service, changes", "a second", "state-changes", stateWriteRate},
	{"cloud, requests", "a second", "cloud-requests", requestRate("cloud ")},
	{"between controllers", "KB a second", "peer-bytes", func(r *Result) float64 { return r.PeerTraffic.perSecond(r.MeasuredS) / 1024 }},
	{"users' requests", "a second", "user-requests", requestRate("users ")},
}

// linearFit is a straight line fitted to measurements.
type linearFit struct {
	intercept, slope float64
	maxResidual      float64 // as a share of the largest value
}

// fitLine fits a line by least squares.
func fitLine(x, y []float64) linearFit {
	var f linearFit
	f.intercept, f.slope = stat.LinearRegression(x, y, nil, false)
	largest := slices.Max(y)
	for i := range x {
		f.maxResidual = max(f.maxResidual, math.Abs(y[i]-f.intercept-f.slope*x[i]))
	}
	if largest > 0 {
		f.maxResidual /= largest
	}
	return f
}

// minSizesForFit is the number of sizes from which a line is fitted: through two points there is
// always an exact one.
const minSizesForFit = 3

// WriteReport writes a table of results at several sizes, in Markdown, with a line fitted to each
// metric. It saves plots to the directory plots unless that is empty.
func WriteReport(w io.Writer, all []*Result, plots string) error {
	slices.SortStableFunc(all, func(a, b *Result) int { return a.Workers - b.Workers })
	x := make([]float64, len(all))
	fmt.Fprint(w, "| measured |")
	for i, r := range all {
		x[i] = float64(r.Workers)
		fmt.Fprintf(w, " %d workers |", r.Workers)
	}
	fmt.Fprint(w, " at none | a thousand workers more | residual |\n|")
	fmt.Fprintln(w, strings.Repeat(" --- |", len(all)+4))
	for _, q := range metrics {
		y := make([]float64, len(all))
		fmt.Fprintf(w, "| %s, %s |", q.name, q.unit)
		for i, r := range all {
			y[i] = q.value(r)
			fmt.Fprintf(w, " %s |", formatNumber(y[i]))
		}
		if len(all) < minSizesForFit {
			fmt.Fprintln(w, " | | |")
			continue
		}
		f := fitLine(x, y)
		fmt.Fprintf(w, " %s | %s | %.0f%% |\n", formatNumber(f.intercept), formatNumber(f.slope*1000), 100*f.maxResidual)
		if plots != "" {
			if err := savePlot(filepath.Join(plots, q.file+".png"), q, x, y, f); err != nil {
				return err
			}
		}
	}
	for _, r := range all {
		fmt.Fprintf(w, "\n%d workers, sources %s, %s: %.0f tasks running, %.1f starts/s; urgent tasks %s; submission %s; rules broken %d\n",
			r.Workers, r.Version, r.Date, r.RunningTasks, r.StartsPerS, r.UrgentLatency, r.SubmissionLatency, len(r.Violations))
	}
	return nil
}

// formatNumber formats a number with three significant digits, or as an integer from 100 up.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// savePlot saves a plot of a metric against the number of workers as a PNG file.
func savePlot(path string, q metric, x, y []float64, f linearFit) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = q.name, "workers", q.unit
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(x))
	for i := range x {
		points[i].X, points[i].Y = x[i], y[i]
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(func(x float64) float64 { return f.intercept + f.slope*x })
	p.Add(plotter.NewGrid(), scatter, line)
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, path)
}
