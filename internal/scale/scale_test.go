package scale

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestMain lets the test binary act as a worker host process, as cmd/scalerun does.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "host" {
		in := bufio.NewReader(os.Stdin)
		cfg, err := ReadHostConfig(in)
		if err == nil {
			err = RunHost(context.Background(), cfg, in, os.Stdout)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestSmoke runs built controllers with a few workers for some seconds, beside the addresses of another
// run. Its assertions do not depend on the speed of the machine.
func TestSmoke(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "aspenstall")
	if out, err := exec.Command("go", "build", "-o", binary, "aspenstall/cmd/aspenstall").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	s := DefaultSettings()
	s.Workers, s.RealWorkers, s.PerProcess, s.Teams, s.RunningTasks, s.StartsPerS = 6, 2, 4, 3, 20, 1
	s.WarmUpS, s.MeasureS = 6, 5
	if err := s.check(); err != nil {
		t.Fatal(err)
	}
	_, otherRun, err := reserveAddresses()
	if err != nil {
		t.Fatal(err)
	}
	defer otherRun.Close()
	run := New(s, io.Discard)
	res, err := run.Execute(t.Context(), Programs{Binary: binary}, dir)
	if err != nil {
		log, _ := os.ReadFile(filepath.Join(dir, "processes.log"))
		t.Fatalf("%v\n%s", err, log)
	}
	if len(res.Violations) > 0 || res.UnexpectedExits > 0 {
		t.Errorf("violations %q, unexpected controller exits %d", res.Violations, res.UnexpectedExits)
	}
	if res.Workers != s.Workers || res.WorkerTraffic.Reports == 0 || len(res.Usage) == 0 {
		t.Errorf("%d workers, %d reports, usage of %d processes", res.Workers, res.WorkerTraffic.Reports, len(res.Usage))
	}
	path := filepath.Join(dir, "result.json")
	if err := res.Write(path); err != nil {
		t.Fatal(err)
	}
	if reread, err := ReadResult(path); err != nil || reread.Workers != res.Workers {
		t.Errorf("result read back: %v, %v", reread, err)
	}
	if l, err := net.Listen("tcp", run.at.controller(0)); err != nil {
		t.Errorf("a controller is still running: %v", err)
	} else {
		_ = l.Close()
	}
}

// TestRunsAtOnce checks that runs at the same time have different addresses, and that one more than
// possible is refused.
func TestRunsAtOnce(t *testing.T) {
	used := map[string]bool{}
	for {
		at, reservation, err := reserveAddresses()
		if err != nil {
			break
		}
		defer reservation.Close()
		for _, address := range []string{at.controller(0), at.cluster(0), at.nomad(0), at.state(0), at.cloud(0), at.peer(0, 1), at.descriptions(), at.worker(11, 19_999)} {
			if _, err := net.ResolveTCPAddr("tcp", address); err != nil || used[address] {
				t.Errorf("address %s is used %v, %v", address, used[address], err)
			}
			used[address] = true
		}
		if len(used) > 8*maxRunsAtOnce {
			t.Fatal("more runs at once than possible")
		}
	}
	if len(used) == 0 {
		t.Error("no addresses are free")
	}
}

// TestSettings checks the validation of settings, and loads the settings files under deploy/.
func TestSettings(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"default settings", `{:workers 2900}`, ""},
		{"one fault", `{:troubles [{:kind "rack" :at-s 5 :count 40}]}`, ""},
		{"unknown kind of fault", `{:troubles [{:kind "flood"}]}`, `:troubles: trouble 1: :kind: want one of`},
		{"more tasks than capacity", `{:running-tasks 20301}`, ":running-tasks: more than the 20300 that the fleet has capacity for"},
		{"too many processes", `{:per-process 10}`, ":per-process: 315 processes in all, more than 200"},
		{"zone without a region", `{:zones ["a" "b"]}`, ":regions: want one for each of 2 zones, not 6"},
		{"misspelt", `{:worker 1}`, ":worker: no such setting"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "scale.sexp")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadSettings(path)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
	for _, path := range []string{"../../deploy/scalerun.sexp", "../../deploy/scalerun-troubles.sexp"} {
		if _, err := LoadSettings(path); err != nil {
			t.Error(err)
		}
	}
}

// TestTimeline checks that events of several processes are applied in the order in which they
// happened.
func TestTimeline(t *testing.T) {
	var line timeline
	begin := time.Unix(1000, 0)
	var got []int
	for _, at := range []int{5, 1, 4, 2, 3, 9} {
		line.add(begin.Add(time.Duration(at)*time.Second), func() { got = append(got, at) })
	}
	line.drain(begin.Add(6*time.Second), func(time.Time) {})
	if !slices.Equal(got, []int{1, 2, 3, 4, 5}) {
		t.Errorf("events were applied in the order %v", got)
	}
}

// TestNetwork checks that a connection counts its bytes, and delivers none during a partition.
func TestNetwork(t *testing.T) {
	s := DefaultSettings()
	s.RegionDelayMS, s.ZoneDelayMS = 0, 0
	l := NewNetwork(&s)
	var near, far TrafficCounter
	ln, err := l.Listen("127.0.0.1:0", "a1", func() string { return "b1" }, &far)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
		}
	}()
	c, err := l.Dial(t.Context(), "", "b1", ln.Addr().String(), func() string { return "a1" }, &near)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	echo := func() <-chan error {
		out := make(chan error, 1)
		go func() {
			if _, err := c.Write([]byte("12345")); err != nil {
				out <- err
				return
			}
			_, err := io.ReadFull(c, make([]byte, 5))
			out <- err
		}()
		return out
	}
	if err := <-echo(); err != nil {
		t.Fatal(err)
	}
	l.SetRegionsPartitioned(true)
	answer := echo()
	select {
	case err := <-answer:
		t.Errorf("data crossed a partition: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	l.SetRegionsPartitioned(false)
	if err := <-answer; err != nil {
		t.Error(err)
	}
	if near.Sent.Load() != 10 || near.Received.Load() != 10 {
		t.Errorf("counted %d sent, %d received", near.Sent.Load(), near.Received.Load())
	}
}

// TestReport checks the table's rows with their fitted lines.
func TestReport(t *testing.T) {
	var all []*Result
	for _, n := range []int{725, 1450, 2900} {
		all = append(all, &Result{Workers: n, MeasuredS: 10, Usage: []Usage{{Role: RoleLeader, Cores: 0.01 + float64(n)/10_000, Sockets: n + 100}}})
	}
	var out bytes.Buffer
	if err := WriteReport(&out, all, t.TempDir()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| leader, processor, cores | 0.0825 | 0.155 | 0.3 | 0.01 | 0.1 | 0% |",
		"| leader, sockets, sockets | 825 | 1550 | 3000 | 100 | 1000 | 0% |",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the report lacks %q:\n%s", want, out.String())
		}
	}
}
