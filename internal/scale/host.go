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

// HostConfig is what a process of workers is started with.
type HostConfig struct {
	Settings     Settings
	Number       int    // of the process
	Descriptions string // address at which jobs' descriptions are read
	Controllers  []ControllerInfo
	Type         simulator.MachineType
}

// ControllerAt is a controller and where it is.
type ControllerInfo struct {
	Name, Zone, Address string
}

// host is a process of workers: one of a real worker, or many hollow ones.
type host struct {
	cfg             HostConfig
	ctx             context.Context
	network         *Network
	leaderZone      atomic.Pointer[string] // zone of the leader
	controllerZones map[string]string      // of controllers, by address

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
	descriptionClient *http.Client
}

// RunHost runs a process of workers: commands come in, events go out, one JSON value a line.
// It ends as its input does.
func RunHost(ctx context.Context, cfg HostConfig, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &host{
		cfg: cfg, ctx: ctx, network: NewNetwork(&cfg.Settings), controllerZones: map[string]string{}, out: json.NewEncoder(out),
		workers: map[string]*simulator.Worker{}, descriptions: map[string]*simulator.Spec{},
		random:            rand.New(rand.NewPCG(uint64(cfg.Settings.Seed), uint64(1000+cfg.Number))),
		descriptionClient: &http.Client{Timeout: 5 * time.Second},
	}
	for _, c := range cfg.Controllers {
		h.controllerZones[c.Address] = c.Zone
	}
	first := cfg.Controllers[0].Zone
	h.leaderZone.Store(&first)
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

func (h *host) execute(c Command) {
	switch c.Kind {
	case CommandStart:
		k := simulator.StartWorker(hostSite{h}, c.Address, c.Place, &h.cfg.Type)
		h.mu.Lock()
		h.workers[c.Place.Machine] = k
		h.mu.Unlock()
	case CommandKill:
		h.mu.Lock()
		k := h.workers[c.Place.Machine]
		delete(h.workers, c.Place.Machine)
		h.mu.Unlock()
		if k != nil {
			k.Terminate()
		}
	case CommandLeaderZone:
		h.leaderZone.Store(&c.Zone)
	case CommandPartitionZone:
		h.network.SetZonePartitioned(c.Zone, c.On)
	case CommandPartitionRegions:
		h.network.SetRegionsPartitioned(c.On)
	}
}

func (h *host) emit(e Event) {
	e.AtNS = time.Now().UnixNano()
	h.outMu.Lock()
	_ = h.out.Encode(&e)
	h.outMu.Unlock()
}

// trafficEvery is how often a process tells what its workers have sent.
const trafficInterval = time.Second

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
			Commands: h.commandCount.Load(), CommandBytesSent: h.commandTraffic.Sent.Load(), CommandBytesReceived: h.commandTraffic.Received.Load(),
		}})
	}
}

// description reads a job's description once.
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

// hostSite is what the workers of a process find round them.
type hostSite struct{ h *host }

func (s hostSite) Context() context.Context           { return s.h.ctx }
func (s hostSite) Logger() *slog.Logger               { return slog.New(slog.DiscardHandler) }
func (s hostSite) Freeze(string, bool)                {}
func (s hostSite) Job(id string) *simulator.Spec      { return s.h.description(id) }
func (s hostSite) JobFromFile(string) *simulator.Spec { return nil }
func (s hostSite) ServesJobFiles() bool               { return false }
func (s hostSite) Observer() simulator.Observer       { return s }
func (s hostSite) Controllers() []simulator.Controller {
	out := make([]simulator.Controller, len(s.h.cfg.Controllers))
	for i, c := range s.h.cfg.Controllers {
		out[i] = simulator.Controller{Name: c.Name, Address: c.Address}
	}
	return out
}

// Serve listens at the worker's address. A connection to it is the leader's.
func (s hostSite) Serve(k *simulator.Worker) (stop func()) {
	leader := func() string { return *s.h.leaderZone.Load() }
	l, err := s.h.network.Listen(k.Address(), k.Zone(), leader, &s.h.commandTraffic)
	if err != nil {
		return func() {}
	}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.h.commandCount.Add(1)
		k.ServeHTTP(w, r)
	})
	srv := &http.Server{Handler: counted, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(l) }()
	return func() { _ = srv.Close() }
}

// Client reports from the worker's own address over one connection at a time.
func (s hostSite) Client(address string) *http.Client {
	from, _, _ := net.SplitHostPort(address)
	zone := s.zoneOf(address)
	dial := func(ctx context.Context, _, to string) (net.Conn, error) {
		return s.h.network.Dial(ctx, from, zone, to, func() string { return s.h.controllerZones[to] }, &s.h.reportTraffic)
	}
	t := &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: countingTransport{t, &s.h.reportCount}}
}

// zoneOf is the zone of a worker's address: the address says which one.
func (s hostSite) zoneOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	if i := int(ip[1]) - firstZoneOctet; i >= 0 && i < len(s.h.cfg.Settings.Zones) {
		return s.h.cfg.Settings.Zones[i]
	}
	return ""
}

// counting counts requests.
type countingTransport struct {
	next     http.RoundTripper
	requests *atomic.Int64
}

// RoundTrip carries out a request.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.requests.Add(1)
	return c.next.RoundTrip(r)
}

// Timing has reports come up to a quarter sooner or later, as the protocol has it.
func (s hostSite) Timing() simulator.Timing {
	set := &s.h.cfg.Settings
	return simulator.Timing{Lease: seconds(set.LeaseS), GangWait: time.Minute, ReportInterval: func() time.Duration {
		s.h.mu.Lock()
		defer s.h.mu.Unlock()
		return seconds(set.ReportS * (0.75 + 0.5*s.h.random.Float64()))
	}}
}

func (s hostSite) Gangs() simulator.GangCoordinator { return nil }

// Started tells that a task is on its machine.
func (s hostSite) TaskStarted(t simulator.TaskOnMachine) {
	s.h.emit(Event{Kind: EventStarted, Task: t.Task, Attempt: t.Attempt, Place: t.Host})
}

// Left tells that a task is not on its machine any more.
func (s hostSite) TaskLeft(t simulator.TaskOnMachine) {
	s.h.emit(Event{Kind: EventLeft, Task: t.Task, Attempt: t.Attempt, Cause: t.Cause, Place: t.Host})
}

// Done tells that a task is done.
func (s hostSite) TaskDone(task string, _ *simulator.Spec) {
	s.h.emit(Event{Kind: EventDone, Task: task})
}

// Ordered tells that a command to start a task is executed.
func (s hostSite) StartExecuted(task string) { s.h.emit(Event{Kind: EventOrdered, Task: task}) }

// Expired tells that a worker's lease runs out.
func (s hostSite) LeaseExpired(m simulator.MachineInfo, _ uint64, tasks []simulator.TaskOnMachine) {
	s.h.emit(Event{Kind: EventExpired, Place: m, Tasks: len(tasks)})
}
