package simulator

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"aspenstall/internal/wire"
)

// MachineType is an entry of the simulated cloud's catalog. Prices are per hour.
type MachineType struct {
	Name      string   `msgpack:"label"`
	CPUs      float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"gpus"`
	MemGB     float64  `msgpack:"ram_gb"`
	CacheGB   float64  `msgpack:"local_gb"`
	FetchGBps float64  `msgpack:"fetch_gb_per_s"`
	Price     float64  `msgpack:"rate"`
	SpotPrice float64  `msgpack:"low_price"`
	BootS     float64  `msgpack:"ready_s"`
	Zones     []string `msgpack:"paddocks"`
}

// cloudMachine is a rented machine as the cloud lists it.
type cloudMachine struct {
	ID      string  `msgpack:"uid"`
	Address string  `msgpack:"address"`
	Type    string  `msgpack:"breed"`
	Zone    string  `msgpack:"paddock"`
	Spot    bool    `msgpack:"loaners"`
	State   string  `msgpack:"phase"`
	AgeS    float64 `msgpack:"age_s"`

	running   MachineProcess // nil until the machine is up
	createdAt time.Time
}

// MachineProcess is the process on a machine that is up.
type MachineProcess interface {
	// Terminate stops the machine and all tasks on it.
	Terminate()
}

// Cloud is a simulated machine cloud.
type Cloud struct {
	mu             sync.Mutex
	startProcess   func(m MachineInfo, address string, t *MachineType) MachineProcess
	addressOf      func(n int, zone string) string // the address of the nth machine
	Types          []MachineType
	Capacity       int                 // the most machines that can be rented at once
	bootFactor     func(n int) float64 // see SetBootFactor
	machines       map[string]*cloudMachine
	namesByRequest map[string][]string // answers by request ID; requests are idempotent
	lastID         int
}

// NewCloud returns a cloud of at most capacity machines. addressOf returns the address of the nth
// machine. start is called when a machine has booted, with its address; it returns nil if the
// simulation is over by then.
func NewCloud(types []MachineType, capacity int, addressOf func(n int, zone string) string,
	start func(m MachineInfo, address string, t *MachineType) MachineProcess) *Cloud {
	return &Cloud{
		startProcess: start, addressOf: addressOf, Types: types, Capacity: capacity,
		machines: map[string]*cloudMachine{}, namesByRequest: map[string][]string{},
	}
}

// StartUnrequested starts a machine that no controller has requested, and returns its name.
func (c *Cloud) StartUnrequested(typ, zone string, spot bool) (name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startMachine(typ, zone, spot)
}

// FailMachine makes a machine fail by itself. It stays listed as failed until it is released.
func (c *Cloud) FailMachine(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	if m == nil || m.running == nil {
		return
	}
	m.State = "failed"
	m.running.Terminate()
	m.running = nil
}

// MachineCount returns the number of rented machines.
func (c *Cloud) MachineCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// SetBootFactor sets a function that returns a factor for the boot time of the nth machine. A
// machine whose factor is not positive never comes up. nil restores the usual boot times.
func (c *Cloud) SetBootFactor(factor func(n int) float64) {
	c.mu.Lock()
	c.bootFactor = factor
	c.mu.Unlock()
}

// Workers returns the workers of the machines that are up, sorted by name.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, m := range c.machines {
		if k, ok := m.running.(*Worker); ok {
			out = append(out, k)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].name < out[b].name })
	return out
}

// ServeHTTP serves the cloud's published interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == wire.CatalogPath:
		respond(w, http.StatusOK, &struct {
			Types []MachineType `msgpack:"breeds"`
		}{c.Types})
	case r.URL.Path == wire.MachinesPath && r.Method == http.MethodPost:
		var q wire.RentRequest
		_ = wire.Unmarshal(b, &q)
		names, ok := c.namesByRequest[q.RequestID]
		if !ok {
			for i := 0; i < q.Count && len(c.machines) < c.Capacity; i++ {
				names = append(names, c.startMachine(q.Type, q.Zone, q.Spot))
			}
			if len(names) == 0 {
				respond(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
				return
			}
			c.namesByRequest[q.RequestID] = names
		}
		respond(w, http.StatusOK, &wire.MachineNames{Machines: names})
	case r.URL.Path == wire.MachineReleasePath:
		var q wire.MachineNames
		_ = wire.Unmarshal(b, &q)
		for _, n := range q.Machines {
			if m := c.machines[n]; m != nil {
				delete(c.machines, n)
				if m.running != nil {
					m.running.Terminate()
				}
			}
		}
		respond(w, http.StatusOK, map[string]any{})
	case r.URL.Path == wire.MachinesPath:
		list, more := c.listPage(r.URL.Query())
		respond(w, http.StatusOK, map[string]any{"stalls": list, "more": more})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// listPage returns a page of the machine list, sorted by name, from the query's "since" and
// "limit"; c.mu is held.
func (c *Cloud) listPage(query url.Values) (list []*cloudMachine, more bool) {
	since := query.Get("since")
	limit, _ := strconv.Atoi(query.Get("limit"))
	for _, m := range c.machines {
		if m.ID > since {
			m.AgeS = time.Since(m.createdAt).Seconds()
			list = append(list, m)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	if limit > 0 && len(list) > limit {
		return list[:limit], true
	}
	return list, false
}

// startMachine rents a machine and lets it boot, and returns its name; c.mu is held.
func (c *Cloud) startMachine(typ, zone string, spot bool) string {
	c.lastID++
	m := &cloudMachine{
		ID: fmt.Sprintf("n-%06d", c.lastID), Address: c.addressOf(c.lastID, zone),
		Type: typ, Zone: zone, Spot: spot, State: "booting", createdAt: time.Now(),
	}
	c.machines[m.ID] = m
	for i := range c.Types {
		if t := &c.Types[i]; t.Name == typ {
			factor := 1.0
			if c.bootFactor != nil {
				factor = c.bootFactor(c.lastID)
			}
			if factor <= 0 {
				continue
			}
			go func() {
				time.Sleep(time.Duration(factor * t.BootS * float64(time.Second)))
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.machines[m.ID] != m {
					return
				}
				if process := c.startProcess(MachineInfo{Machine: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}, m.Address, t); process != nil {
					m.State, m.running = "running", process
				}
			}()
		}
	}
	return m.ID
}

// RunningMachines returns the machines that are up, sorted by name.
func (c *Cloud) RunningMachines() []MachineInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []MachineInfo
	for _, m := range c.machines {
		if m.running != nil {
			out = append(out, MachineInfo{Machine: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Machine < out[b].Machine })
	return out
}
