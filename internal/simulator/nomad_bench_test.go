package simulator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/config"
	nomadapi "aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/simulator"
)

// newBenchWorld starts a world in real time, with limits that the benchmarks don't reach, and waits
// for a leader.
func newBenchWorld(b *testing.B) *simulator.World {
	p := platform()
	p.Params.Zones = []string{"a", "b", "c"}
	p.Params.State.RPS, p.Params.State.WriteRPS, p.Params.State.ValueKB = 1e6, 1e6, 16
	w := simulator.NewWorld(1, p, machineTypes)
	key := []byte("the key for the simulator hashes")
	n := config.DefaultNomad()
	n.TokenHashKey, n.MaxWatchers, n.MaxConns, n.RequestsPerS = key, 10_000, 10_000, 1_000_000
	n.Tokens = map[string][]config.Hash{"blue": {nomadapi.HashToken(key, "token of blue")}}
	w.Settings.Nomad = &n
	startAllNodes(w)
	b.Cleanup(func() { killAllNodes(w) })
	for w.Leader() < 0 {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	return w
}

// registerBody returns the JSON body of a registration of a batch job with one group.
func registerBody(b *testing.B, name string) []byte {
	f, err := jobfile.Parse("f", []byte(fmt.Sprintf(`
job %q {
  type = "batch"
  group "g" {
    task "t" {
      driver = "docker"
      config { image = "im" }
      meta = { aspenstall_class = "sweep", aspenstall_image_gb = 1, aspenstall_expect_s = 1000 }
    }
  }
}`, name)), jobfile.Options{})
	if err != nil {
		b.Fatal(err)
	}
	out, err := json.Marshal(map[string]any{"Job": f.Job})
	if err != nil {
		b.Fatal(err)
	}
	return out
}

// BenchmarkNomadRegister measures registrations of new jobs through HTTP, the node and the simulated
// state service, with one client and with several at once. docs/design/nomad.md has the figures.
func BenchmarkNomadRegister(b *testing.B) {
	for _, clients := range []int{1, 16} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			w := newBenchWorld(b)
			bodies := make(chan []byte, b.N)
			for i := range b.N {
				bodies <- registerBody(b, fmt.Sprintf("job-%d", i))
			}
			close(bodies)
			b.ResetTimer()
			var wg sync.WaitGroup
			for range clients {
				wg.Go(func() {
					c := w.Net.Client("10.9.0.1:1")
					for body := range bodies {
						if err := registerJob(c, w.NomadAddr(0), body); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "registers/s")
		})
	}
}

// registerJob registers a job at an address. A status other than 200 is an error.
func registerJob(c *http.Client, at string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+at+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("X-Nomad-Token", "token of blue")
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%d %s", resp.StatusCode, text)
	}
	return nil
}

// BenchmarkNomadWatchers measures the memory that a blocking query takes, with both ends of its
// loopback connection in this process, and how long a change takes to wake all queries.
func BenchmarkNomadWatchers(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newBenchWorld(b)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := &http.Server{Handler: w.NomadHandler(1)}
			go func() { _ = srv.Serve(l) }()
			defer srv.Close()
			memoryInUse := func() float64 {
				runtime.GC()
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc + m.StackInuse)
			}
			var bytesEach, wakeMS float64
			if err := registerJob(w.Net.Client("10.9.0.1:1"), w.NomadAddr(0), registerBody(b, "first")); err != nil {
				b.Fatal(err)
			}
			time.Sleep(time.Second)
			for i := range b.N {
				index := jobModifyIndex(b, w)
				before := memoryInUse()
				conns := make([]net.Conn, n)
				for k := range conns {
					if conns[k], err = net.Dial("tcp", l.Addr().String()); err != nil {
						b.Fatal(err)
					}
					fmt.Fprintf(conns[k], "GET /v1/jobs?index=%d&wait=5m HTTP/1.1\r\nHost: x\r\nX-Nomad-Token: token of blue\r\n\r\n", index)
				}
				for end := time.Now().Add(10 * time.Second); w.BlockingQueries(1) < n; {
					if time.Now().After(end) {
						b.Fatalf("%d of %d queries are blocked", w.BlockingQueries(1), n)
					}
					time.Sleep(10 * time.Millisecond)
				}
				bytesEach += (memoryInUse() - before) / float64(n)
				started := time.Now()
				// A new version of the job wakes all queries.
				f := registerBody(b, "first")
				f = bytes.Replace(f, []byte(`"Count":1`), []byte(fmt.Sprintf(`"Count":%d`, 2+i%9)), 1)
				if err := registerJob(w.Net.Client("10.9.0.1:1"), w.NomadAddr(0), f); err != nil {
					b.Fatal(err)
				}
				one := make([]byte, 1)
				for _, c := range conns {
					if _, err := c.Read(one); err != nil {
						b.Fatal(err)
					}
				}
				wakeMS += float64(time.Since(started).Microseconds()) / 1000
				for _, c := range conns {
					_ = c.Close()
				}
				time.Sleep(200 * time.Millisecond)
			}
			b.ReportMetric(bytesEach/float64(b.N), "bytes/query")
			b.ReportMetric(wakeMS/float64(b.N), "ms/wake")
		})
	}
}

// jobModifyIndex returns the modify index of the job "first".
func jobModifyIndex(b *testing.B, w *simulator.World) uint64 {
	req, _ := http.NewRequest(http.MethodGet, "http://"+w.NomadAddr(1)+"/v1/job/first", nil)
	req.Header.Set("X-Nomad-Token", "token of blue")
	resp, err := w.Net.Client("10.9.0.1:1").Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var j struct{ ModifyIndex uint64 }
	if err := json.NewDecoder(resp.Body).Decode(&j); err != nil {
		b.Fatal(err)
	}
	return j.ModifyIndex
}
