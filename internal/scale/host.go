package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"aspenstall/internal/simulator"
)

// HostConfig is the configuration of a worker host process.
type HostConfig struct {
	Settings     Settings
	Number       int    // index of the process
	Descriptions string // address of the server of job descriptions
	Controllers  []ControllerInfo
	Type         simulator.MachineType
}

// ControllerInfo is a controller with its zone and the address that workers report to.
type ControllerInfo struct {
	Name, Zone, Address string
}

// host is a worker host process: it runs one real worker, or many hollow ones.
type host struct {
	cfg             HostConfig
	ctx             context.Context
	network         *Network
	leaderZone      atomic.Pointer[string]
	controllerZones map[string]string // zones of controllers, by address

	outMu sync.Mutex
	out   *json.Encoder

	mu           sync.Mutex
	workers      map[string]*simulator.Worker
	descriptions map[string]*simulator.Spec
	random       *rand.Rand

	reportCount       atomic.Int64
	commandCount      atomic.Int64
	reportTraffic     TrafficCounter
	commandTraffic    TrafficCounter
	copies            *simulator.Faults // of direct commands
	copying           atomic.Bool
	copyCount         atomic.Int64
	descriptionClient *http.Client
}

// RunHost runs a worker host process. It reads commands from in and writes events to out, one JSON
// value per line. It returns nil at the end of the input, and an error for a malformed command.
func RunHost(ctx context.Context, cfg HostConfig, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &host{
		cfg: cfg, ctx: ctx, network: NewNetwork(&cfg.Settings), controllerZones: map[string]string{}, out: json.NewEncoder(out),
		workers: map[string]*simulator.Worker{}, descriptions: map[string]*simulator.Spec{},
		random:            rand.New(rand.NewPCG(uint64(cfg.Settings.Seed), uint64(1000+cfg.Number))),
		descriptionClient: &http.Client{Timeout: 5 * time.Second},
	}
	h.copies = newCommandCopies(cfg, &h.copyCount)
	for _, c := range cfg.Controllers {
		h.controllerZones[c.Address] = c.Zone
	}
	initialZone := cfg.Controllers[0].Zone
	h.leaderZone.Store(&initialZone)
	go h.emitTraffic()
	dec := json.NewDecoder(bufio.NewReader(in))
	for {
		var c Command
		if err := dec.Decode(&c); err != nil {
			if err == io.EOF {
				return nil
			}
			return fmt.Errorf("commands: %w", err)
		}
		h.execute(c)
	}
}

// execute executes a command of the run.
func (h *host) execute(c Command) {
	switch c.Kind {
	case CommandStart:
		worker := simulator.StartWorker(hostEnvironment{h}, c.Address, c.Place, &h.cfg.Type)
		h.mu.Lock()
		h.workers[c.Place.Machine] = worker
		h.mu.Unlock()
	case CommandKill:
		h.mu.Lock()
		worker := h.workers[c.Place.Machine]
		delete(h.workers, c.Place.Machine)
		h.mu.Unlock()
		if worker != nil {
			worker.Terminate()
		}
	case CommandLeaderZone:
		h.leaderZone.Store(&c.Zone)
	case CommandPartitionZone:
		h.network.SetZonePartitioned(c.Zone, c.On)
	case CommandCopyCommands:
		h.copying.Store(c.On)
	case CommandPartitionRegions:
		h.network.SetRegionsPartitioned(c.On)
	}
}

// The time after which the copy of a direct command arrives.
const (
	earliestCommandCopy = 500 * time.Millisecond
	latestCommandCopy   = 15 * time.Second
)

// newCommandCopies returns a fault injector that has a copy of each request arrive again, and counts the
// copies.
func newCommandCopies(cfg HostConfig, count *atomic.Int64) *simulator.Faults {
	copies := simulator.NewFaults(uint64(cfg.Settings.Seed) + uint64(cfg.Number))
	copies.Duplicate, copies.LateDelay, copies.LateJitter = 1, earliestCommandCopy, latestCommandCopy-earliestCommandCopy
	copies.OnRepeated = func(string, int) { count.Add(1) }
	return copies
}

// emit sends an event to the run, with the current time.
func (h *host) emit(e Event) {
	e.AtNS = time.Now().UnixNano()
	h.outMu.Lock()
	_ = h.out.Encode(&e)
	h.outMu.Unlock()
}

// trafficInterval is the interval between traffic events of a process.
const trafficInterval = time.Second

// emitTraffic sends the traffic of the process's workers every trafficInterval until the process
// ends.
func (h *host) emitTraffic() {
	t := time.NewTicker(trafficInterval)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-t.C:
		}
		h.mu.Lock()
		workers := len(h.workers)
		h.mu.Unlock()
		h.emit(Event{Kind: EventTraffic, Traffic: &WorkerTraffic{
			Workers: workers, Reports: h.reportCount.Load(), ReportBytesSent: h.reportTraffic.Sent.Load(), ReportBytesReceived: h.reportTraffic.Received.Load(),
			CopiedCommands: h.copyCount.Load(),
			Commands:       h.commandCount.Load(), CommandBytesSent: h.commandTraffic.Sent.Load(), CommandBytesReceived: h.commandTraffic.Received.Load(),
		}})
	}
}

// description returns a job's description, or nil if it cannot be read. Descriptions are cached.
func (h *host) description(id string) *simulator.Spec {
	h.mu.Lock()
	s := h.descriptions[id]
	h.mu.Unlock()
	if s != nil {
		return s
	}
	resp, err := h.descriptionClient.Get("http://" + h.cfg.Descriptions + "/" + id)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var d simulator.Spec
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&d) != nil {
		return nil
	}
	h.mu.Lock()
	h.descriptions[id] = &d
	h.mu.Unlock()
	return &d
}

// hostEnvironment is the simulator.Environment and simulator.Observer of the workers of a host
// process.
type hostEnvironment struct{ h *host }

func (s hostEnvironment) Context() context.Context           { return s.h.ctx }
func (s hostEnvironment) Logger() *slog.Logger               { return slog.New(slog.DiscardHandler) }
func (s hostEnvironment) Freeze(string, bool)                {}
func (s hostEnvironment) Job(id string) *simulator.Spec      { return s.h.description(id) }
func (s hostEnvironment) JobFromFile(string) *simulator.Spec { return nil }
func (s hostEnvironment) ServesJobFiles() bool               { return false }
func (s hostEnvironment) Observer() simulator.Observer       { return s }
func (s hostEnvironment) Controllers() []simulator.Controller {
	out := make([]simulator.Controller, len(s.h.cfg.Controllers))
	for i, c := range s.h.cfg.Controllers {
		out[i] = simulator.Controller{Name: c.Name, Address: c.Address}
	}
	return out
}

// Serve serves a worker's direct commands at its address until stop is called. Connections are
// delayed and blocked as if they came from the leader's zone, since only the leader sends commands.
func (s hostEnvironment) Serve(worker *simulator.Worker) (stop func()) {
	leader := func() string { return *s.h.leaderZone.Load() }
	l, err := s.h.network.Listen(worker.Address(), worker.Zone(), leader, &s.h.commandTraffic)
	if err != nil {
		return func() {}
	}
	copied := s.h.copies.Wrap(worker)
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.h.commandCount.Add(1)
		if s.h.copying.Load() {
			copied.ServeHTTP(w, r)
		} else {
			worker.ServeHTTP(w, r)
		}
	})
	srv := &http.Server{Handler: counted, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return func() { _ = srv.Close() }
}

// Client returns a client that reports from the worker's own IP address and keeps one idle
// connection per controller.
func (s hostEnvironment) Client(address string) *http.Client {
	localIP, _, _ := net.SplitHostPort(address)
	zone := s.zoneOf(address)
	dial := func(ctx context.Context, _, to string) (net.Conn, error) {
		return s.h.network.Dial(ctx, localIP, zone, to, func() string { return s.h.controllerZones[to] }, &s.h.reportTraffic)
	}
	t := &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: countingTransport{t, &s.h.reportCount}}
}

// zoneOf returns the zone of a worker's address, which its second octet encodes, or "" for an
// address of no zone.
func (s hostEnvironment) zoneOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	if i := int(ip[1]) - firstZoneOctet; i >= 0 && i < len(s.h.cfg.Settings.Zones) {
		return s.h.cfg.Settings.Zones[i]
	}
	return ""
}

// countingTransport counts requests.
type countingTransport struct {
	next     http.RoundTripper
	requests *atomic.Int64
}

// RoundTrip counts a request and passes it on.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.requests.Add(1)
	return c.next.RoundTrip(r)
}

// Timing returns the workers' timing. The interval between reports varies randomly by a quarter
// either way, as the protocol specifies.
func (s hostEnvironment) Timing() simulator.Timing {
	settings := &s.h.cfg.Settings
	return simulator.Timing{Lease: seconds(settings.LeaseS), GangWait: time.Minute, ReportInterval: func() time.Duration {
		s.h.mu.Lock()
		defer s.h.mu.Unlock()
		return seconds(settings.ReportS * (0.75 + 0.5*s.h.random.Float64()))
	}}
}

// Gangs returns nil: the load has no gangs.
func (s hostEnvironment) Gangs() simulator.GangCoordinator { return nil }

// TaskStarted emits an event for a task that started on its machine.
func (s hostEnvironment) TaskStarted(t simulator.TaskOnMachine) {
	s.h.emit(Event{Kind: EventStarted, Task: t.Task, Attempt: t.Attempt, Place: t.Host})
}

// TaskLeft emits an event for a task that is no longer on its machine.
func (s hostEnvironment) TaskLeft(t simulator.TaskOnMachine) {
	s.h.emit(Event{Kind: EventLeft, Task: t.Task, Attempt: t.Attempt, Cause: t.Cause, Place: t.Host})
}

// TaskDone emits an event for a completed task.
func (s hostEnvironment) TaskDone(task string, _ *simulator.Spec) {
	s.h.emit(Event{Kind: EventDone, Task: task})
}

// StartExecuted emits an event for an executed command to start a task.
func (s hostEnvironment) StartExecuted(task string) { s.h.emit(Event{Kind: EventOrdered, Task: task}) }

// ForgottenStart emits an event for a command that starts an attempt which the machine has forgotten.
func (s hostEnvironment) ForgottenStart(t simulator.TaskOnMachine, executed bool) {
	s.h.emit(Event{Kind: EventForgottenStart, Task: t.Task, Attempt: t.Attempt, Place: t.Host, Executed: executed})
}

// LeaseExpired emits an event for a worker whose lease expired.
func (s hostEnvironment) LeaseExpired(m simulator.MachineInfo, _ uint64, tasks []simulator.TaskOnMachine) {
	s.h.emit(Event{Kind: EventExpired, Place: m, Tasks: len(tasks)})
}
