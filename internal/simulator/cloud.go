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

type stall struct {
	ID      string  `msgpack:"uid"`
	Address string  `msgpack:"address"`
	Type    string  `msgpack:"breed"`
	Zone    string  `msgpack:"paddock"`
	Spot    bool    `msgpack:"loaners"`
	State   string  `msgpack:"phase"`
	AgeS    float64 `msgpack:"age_s"`

	running Running // nil until it is up
	born    time.Time
}

// Running is what runs on a machine that is up.
type Running interface {
	// Die ends the machine and everything on it.
	Die()
}

// Cloud is a stand-in for the machine cloud.
type Cloud struct {
	mu       sync.Mutex
	start    func(m Place, at string, t *MachineType) Running
	address  func(n int, zone string) string // of the nth machine
	Types    []MachineType
	Capacity int                 // machines at most
	boots    func(n int) float64 // see Boots
	machines map[string]*stall
	requests map[string][]string
	next     int
}

// NewCloud returns a cloud whose machines are at addresses, and are started with start when
// they are up: nil if the cloud is over by then.
func NewCloud(types []MachineType, capacity int, address func(n int, zone string) string,
	start func(m Place, at string, t *MachineType) Running) *Cloud {
	return &Cloud{
		start: start, address: address, Types: types, Capacity: capacity,
		machines: map[string]*stall{}, requests: map[string][]string{},
	}
}

// Boot starts a machine that nobody has asked for.
func (c *Cloud) Boot(typ, zone string, spot bool) (name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boot(typ, zone, spot)
}

// Fail ends a machine by itself: it stays listed until it is returned.
func (c *Cloud) Fail(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	if m == nil || m.running == nil {
		return
	}
	m.State = "failed"
	m.running.Die()
	m.running = nil
}

// Machines counts the machines that are rented.
func (c *Cloud) Machines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// Boots has the nth machine take so many times as long to boot; it never comes up if
// that is not positive. nil: as usual.
func (c *Cloud) Boots(times func(n int) float64) {
	c.mu.Lock()
	c.boots = times
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
		names, ok := c.requests[q.Request]
		if !ok {
			for i := 0; i < q.Count && len(c.machines) < c.Capacity; i++ {
				names = append(names, c.boot(q.Type, q.Zone, q.Spot))
			}
			if len(names) == 0 {
				respond(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
				return
			}
			c.requests[q.Request] = names
		}
		respond(w, http.StatusOK, &wire.MachineNames{Machines: names})
	case r.URL.Path == wire.MachineReleasePath:
		var q wire.MachineNames
		_ = wire.Unmarshal(b, &q)
		for _, n := range q.Machines {
			if m := c.machines[n]; m != nil {
				delete(c.machines, n)
				if m.running != nil {
					m.running.Die()
				}
			}
		}
		respond(w, http.StatusOK, map[string]any{})
	case r.URL.Path == wire.MachinesPath:
		list, more := c.page(r.URL.Query())
		respond(w, http.StatusOK, map[string]any{"stalls": list, "more": more})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// page lists machines by name, after one and so many of them; c.mu is held.
func (c *Cloud) page(query url.Values) (list []*stall, more bool) {
	since := query.Get("since")
	limit, _ := strconv.Atoi(query.Get("limit"))
	for _, m := range c.machines {
		if m.ID > since {
			m.AgeS = time.Since(m.born).Seconds()
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
func (c *Cloud) boot(typ, zone string, spot bool) string {
	c.next++
	m := &stall{
		ID: fmt.Sprintf("n-%06d", c.next), Address: c.address(c.next, zone),
		Type: typ, Zone: zone, Spot: spot, State: "booting", born: time.Now(),
	}
	c.machines[m.ID] = m
	for i := range c.Types {
		if t := &c.Types[i]; t.Name == typ {
			times := 1.0
			if c.boots != nil {
				times = c.boots(c.next)
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
				if up := c.start(Place{Machine: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}, m.Address, t); up != nil {
					m.State, m.running = "running", up
				}
			}()
		}
	}
	return m.ID
}

// Up lists the machines that are up, by name.
func (c *Cloud) Up() []Place {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Place
	for _, m := range c.machines {
		if m.running != nil {
			out = append(out, Place{Machine: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Machine < out[b].Machine })
	return out
}
