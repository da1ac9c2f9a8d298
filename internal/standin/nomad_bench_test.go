package standin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"aspenstall/internal/config"
	nomadapi "aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/standin"
)

// benchSite is a world in real time; its limits are out of the way.
func benchSite(b *testing.B) *standin.World {
	p := platform()
	p.Params.Zones = []string{"a", "b", "c"}
	p.Params.State.RPS, p.Params.State.WriteRPS, p.Params.State.ValueKB = 1e6, 1e6, 16
	w := standin.NewWorld(1, p, machineTypes)
	key := []byte("the key of the stand-ins' hashes")
	n := config.DefaultNomad()
	n.Key, n.Watchers, n.Conns, n.RequestsPerS = key, 10_000, 10_000, 1_000_000
	n.Tokens = map[string][]config.Hash{"blue": {nomadapi.HashToken(key, "token of blue")}}
	w.Settings.Nomad = &n
	startAll(w)
	b.Cleanup(func() { killAll(w) })
	for w.Leader() < 0 {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	return w
}

func benchBody(b *testing.B, name string) []byte {
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

// BenchmarkNomadRegister measures a registration, each of a new job, through
// HTTP, the node and the stand-in of the state service; docs/design/nomad.md
// has the figures.
func BenchmarkNomadRegister(b *testing.B) {
	w := benchSite(b)
	c := w.Net.Client("10.9.0.1:1")
	bodies := make([][]byte, 0, b.N)
	for i := range b.N {
		bodies = append(bodies, benchBody(b, fmt.Sprintf("job-%d", i)))
	}
	b.ResetTimer()
	for i := range b.N {
		req, err := http.NewRequest(http.MethodPut, "http://"+w.NomadAddr(0)+"/v1/jobs", bytes.NewReader(bodies[i]))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("X-Nomad-Token", "token of blue")
		resp, err := c.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatalf("%d %s", resp.StatusCode, text)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "registers/s")
}

// BenchmarkNomadWatchers measures what a blocking query holds, with both ends of
// its loopback connection in this process, and how long a change takes to reach
// all of them.
func BenchmarkNomadWatchers(b *testing.B) {
	for _, n := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := benchSite(b)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := &http.Server{Handler: w.NomadHandler(1)}
			go func() { _ = srv.Serve(l) }()
			defer srv.Close()
			put := func(name string) {
				req, _ := http.NewRequest(http.MethodPut, "http://"+w.NomadAddr(0)+"/v1/jobs", bytes.NewReader(benchBody(b, name)))
				req.Header.Set("X-Nomad-Token", "token of blue")
				resp, err := w.Net.Client("10.9.0.1:1").Do(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("%+v %v", resp, err)
				}
				_ = resp.Body.Close()
			}
			held := func() float64 {
				runtime.GC()
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc + m.StackInuse)
			}
			var bytesEach, wakeMS float64
			put("first")
			time.Sleep(time.Second)
			for i := range b.N {
				index := jobIndex(b, w)
				before := held()
				conns := make([]net.Conn, n)
				for k := range conns {
					if conns[k], err = net.Dial("tcp", l.Addr().String()); err != nil {
						b.Fatal(err)
					}
					fmt.Fprintf(conns[k], "GET /v1/job/first/summary?index=%d&wait=5m HTTP/1.1\r\nHost: x\r\nX-Nomad-Token: token of blue\r\n\r\n", index)
				}
				for w.Waiting(1) < n {
					time.Sleep(10 * time.Millisecond)
				}
				bytesEach += (held() - before) / float64(n)
				begun := time.Now()
				// Another version of the job wakes them all.
				f := benchBody(b, "first")
				f = bytes.Replace(f, []byte(`"Count":1`), []byte(fmt.Sprintf(`"Count":%d`, 2+i%9)), 1)
				req, _ := http.NewRequest(http.MethodPut, "http://"+w.NomadAddr(0)+"/v1/jobs", bytes.NewReader(f))
				req.Header.Set("X-Nomad-Token", "token of blue")
				resp, err := w.Net.Client("10.9.0.1:1").Do(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("%+v %v", resp, err)
				}
				_ = resp.Body.Close()
				one := make([]byte, 1)
				for _, c := range conns {
					if _, err := c.Read(one); err != nil {
						b.Fatal(err)
					}
				}
				wakeMS += float64(time.Since(begun).Microseconds()) / 1000
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

func jobIndex(b *testing.B, w *standin.World) uint64 {
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
