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

// MachineType is a row of the stand-in cloud's catalog.
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

type cloudMachine struct {
	ID      string  `msgpack:"uid"`
	Address string  `msgpack:"address"`
	Type    string  `msgpack:"breed"`
	Zone    string  `msgpack:"paddock"`
	Spot    bool    `msgpack:"loaners"`
	State   string  `msgpack:"phase"`
	AgeS    float64 `msgpack:"age_s"`

	running   MachineProcess // nil until it is up
	createdAt time.Time
}

// Running is what runs on a machine that is up.
type MachineProcess interface {
	// Die ends the machine and everything on it.
	Terminate()
}

// Cloud is a stand-in for the machine cloud.
type Cloud struct {
	mu             sync.Mutex
	startProcess   func(m MachineInfo, at string, t *MachineType) MachineProcess
	addressOf      func(n int, zone string) string // of the nth machine
	Types          []MachineType
	Capacity       int                 // machines at most
	bootFactor     func(n int) float64 // see Boots
	machines       map[string]*cloudMachine
	namesByRequest map[string][]string
	lastID         int
}

// NewCloud returns a cloud whose machines are at addresses, and are started with start when
// they are up: nil if the cloud is over by then.
func NewCloud(types []MachineType, capacity int, address func(n int, zone string) string,
	start func(m MachineInfo, at string, t *MachineType) MachineProcess) *Cloud {
	return &Cloud{
		startProcess: start, addressOf: address, Types: types, Capacity: capacity,
		machines: map[string]*cloudMachine{}, namesByRequest: map[string][]string{},
	}
}

// Boot starts a machine that nobody has asked for.
func (c *Cloud) StartUnrequested(typ, zone string, spot bool) (name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startMachine(typ, zone, spot)
}

// Fail ends a machine by itself: it stays listed until it is returned.
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

// Machines counts the machines that are rented.
func (c *Cloud) MachineCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// Boots has the nth machine take so many times as long to boot; it never comes up if
// that is not positive. nil: as usual.
func (c *Cloud) SetBootFactor(times func(n int) float64) {
	c.mu.Lock()
	c.bootFactor = times
	c.mu.Unlock()
}

// Workers lists the workers by name.
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

// ServeHTTP serves the published interface.
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

// page lists machines by name, after one and so many of them; c.mu is held.
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

// boot starts a machine; c.mu is held.
func (c *Cloud) startMachine(typ, zone string, spot bool) string {
	c.lastID++
	m := &cloudMachine{
		ID: fmt.Sprintf("n-%06d", c.lastID), Address: c.addressOf(c.lastID, zone),
		Type: typ, Zone: zone, Spot: spot, State: "booting", createdAt: time.Now(),
	}
	c.machines[m.ID] = m
	for i := range c.Types {
		if t := &c.Types[i]; t.Name == typ {
			times := 1.0
			if c.bootFactor != nil {
				times = c.bootFactor(c.lastID)
			}
			if times <= 0 {
				continue
			}
			go func() {
				time.Sleep(time.Duration(times * t.BootS * float64(time.Second)))
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.machines[m.ID] != m {
					return
				}
				if up := c.startProcess(MachineInfo{Machine: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}, m.Address, t); up != nil {
					m.State, m.running = "running", up
				}
			}()
		}
	}
	return m.ID
}

// Up lists the machines that are up, by name.
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
