package translate_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/wire"
)

// testPolicy returns the policy of a deployment with a priority cap for the team guests.
func testPolicy() translate.Policy {
	return translate.Policy{
		Zones: []string{"a", "b", "c"}, MHzPerCPU: 1000, ScratchMB: 300, GPUs: []string{"gpu"},
		MaxPriority: func(team string) core.Priority {
			if team == "guests" {
				return core.Normal
			}
			return core.Production
		},
	}
}

func parse(t *testing.T, name string, src []byte) *jobfile.File {
	t.Helper()
	f, err := jobfile.Parse(name, src, jobfile.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// sample is a job file in testdata with its native equivalents.
type sample struct {
	name          string
	groups        []translate.Group
	native, nomad []core.JobSpec
}

// samples reads all samples in testdata.
func samples(t *testing.T) []sample {
	t.Helper()
	files, err := filepath.Glob("testdata/*.nomad.*")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	var out []sample
	id := 0
	for _, path := range files {
		src, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		s := sample{name: filepath.Base(path)}
		var ps jobfile.Problems
		if s.groups, ps = translate.Job(parse(t, path, src), testPolicy()); ps != nil {
			t.Fatal(ps)
		}
		base, _, _ := strings.Cut(path, ".nomad.")
		b, err := os.ReadFile(base + ".native.json")
		if err != nil {
			t.Fatal(err)
		}
		var submissions []map[string]any
		if err := json.Unmarshal(b, &submissions); err != nil {
			t.Fatal(err)
		}
		for i, m := range submissions {
			id++
			m["uid"] = fmt.Sprintf("job-%06d", id)
			m["lots"] = int(m["lots"].(float64))
			b, err := msgpack.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			spec, err := wire.ParseSubmission(b)
			if err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			s.native = append(s.native, spec)
			if i < len(s.groups) {
				g := s.groups[i].Spec
				g.ID = spec.ID
				s.nomad = append(s.nomad, g)
			}
		}
		out = append(out, s)
	}
	return out
}

// A sample in either form gives the same core.JobSpec.
func TestSamplesEqualNativeJobs(t *testing.T) {
	for _, s := range samples(t) {
		if len(s.groups) != len(s.native) {
			t.Errorf("%s: %d groups for %d native jobs", s.name, len(s.groups), len(s.native))
		}
		for i := range s.nomad {
			if !reflect.DeepEqual(s.nomad[i], s.native[i]) {
				t.Errorf("%s: %s is\n%+v\nwant the native job\n%+v", s.name, s.groups[i].Name, s.nomad[i], s.native[i])
			}
		}
	}
}

// jobTemplate is a job file that is served, with placeholders for additions.
const jobTemplate = `job "j" {
  namespace = "blue"
  type = "batch"
  JOB
  group "first" {
    GROUP
    task "t" {
      driver = "docker"
      config { image = "i" }
      meta {
        aspenstall_class = "c"
        aspenstall_image_gb = "1"
        aspenstall_expect_s = "20"
        META
      }
      TASK
      resources {
        RES
      }
    }
  }
  group "second" {
    SECOND
    task "t" {
      driver = "docker"
      config { image = "i" }
      meta = { aspenstall_class = "c", aspenstall_image_gb = 1, aspenstall_expect_s = 20 }
    }
  }
}
`

// fillTemplate returns jobTemplate with values in place of its placeholders; a placeholder without a
// value is removed.
func fillTemplate(values map[string]string) []byte {
	src := jobTemplate
	for _, k := range []string{"JOB", "GROUP", "META", "TASK", "RES", "SECOND"} {
		src = strings.Replace(src, k, values[k], 1)
	}
	return []byte(src)
}

// Parts that are not supported are refused with their position, all at once, and a refusal leaves no
// native job.
func TestRefusals(t *testing.T) {
	if _, ps := translate.Job(parse(t, "f", fillTemplate(nil)), testPolicy()); ps != nil {
		t.Fatal(ps)
	}
	for _, c := range []struct {
		in, text, want string
	}{
		{"SECOND", `volume "v" { type = "host" }`, "23:5: group.volume: machines are rented"},
		{"SECOND", "network {\n  port \"http\" {}\n}", "23:5: group.network: ports"},
		{"JOB", `periodic { cron = "@daily" }`, "4:3: periodic: jobs are not started by the clock"},
		{"JOB", `parameterized {}`, "4:3: parameterized: "},
		{"JOB", `priority = 100`, ""},
		{"JOB", `region = "eu"`, "4:3: region \"eu\""},
		{"JOB", `node_pool = "gpu"`, "4:3: node_pool"},
		{"JOB", `all_at_once = true`, "4:3: all_at_once"},
		{"JOB", `datacenters = ["a", "b"]`, "4:3: datacenters: a job runs in one zone or in any of the 3"},
		{"JOB", `datacenters = ["x*"]`, "4:3: datacenters: no zone matches"},
		{"JOB", `datacenters = []`, "4:3: datacenters: none"},
		{"JOB", `constraint { distinct_hosts = true }`, "4:3: constraint with \"distinct_hosts\""},
		{"JOB", "constraint {\nattribute = \"${attr.kernel.name}\"\nvalue = \"linux\"\n}", "4:3: constraint on \"${attr.kernel.name}\""},
		{"JOB", "constraint {\nattribute = \"${node.class}\"\noperator = \"!=\"\nvalue = \"a\"\n}", "4:3: constraint with \"!=\""},
		{"JOB", `spread { attribute = "${node.class}" }`, "4:3: spread over"},
		{"JOB", "reschedule { attempts = 3 }", "4:3: reschedule: a task is tried until it is done"},
		{"JOB", "update {}", ""}, // update does not apply to batch jobs
		{"GROUP", "count = 0", "6:5: count: want 1 to 100000"},
		{"GROUP", "restart { attempts = 1 }", "6:5: restart: "},
		{"GROUP", "restart { mode = \"delay\" }", ""},
		{"GROUP", "migrate {}", "6:5: group.migrate"},
		{"GROUP", "shutdown_delay = \"0s\"", ""},
		{"GROUP", "shutdown_delay = \"3s\"", "6:5: shutdown_delay"},
		{"GROUP", "max_run_duration = \"1h\"", "6:5: group.max_run_duration"},
		{"GROUP", "ephemeral_disk { size = 400 }", "6:22: 400 MB of scratch space: machines here promise 300"},
		{"GROUP", "task \"other\" {}", "7:5: group \"first\": has 2 tasks"},
		{"GROUP", "service { name = \"x\" }", "6:5: group.service"},
		{"TASK", "template { data = \"x\" }", "16:7: group.task.template"},
		{"TASK", "vault {}", "16:7: group.task.vault"},
		{"TASK", "lifecycle { hook = \"prestart\" }", "16:7: group.task.lifecycle"},
		{"TASK", "kill_timeout = \"20s\"", "16:7: kill_timeout: a task is given aspenstall_checkpoint_cost_s (0 s)"},
		{"META", "aspenstall_spots = \"true\"", "14:9: meta: no such key aspenstall_spots"},
		{"META", "aspenstall_spot = \"yes\"", "14:9: aspenstall_spot: want true or false, not \"yes\""},
		{"META", "aspenstall_due_s = \"NaN\"", "14:9: aspenstall_due_s: want a number"},
		{"META", "aspenstall_due_s = \"-1\"", "14:9: aspenstall_due_s: want a number"},
		{"META", "aspenstall_image = \"\"", "14:9: aspenstall_image: want a text"},
		{"META", "note = \"anything\"", ""},
		{"RES", "cores = 1\ncpu = 500", "18:9: resources: cpu and cores exclude each other"},
		{"RES", "memory_max = 900", "18:9: memory_max"},
		{"RES", "device \"fpga\" {}", "18:9: device \"fpga\""},
		{"RES", "disk = 301", "18:9: 301 MB of scratch"},
		{"RES", "numa { affinity = \"require\" }", "18:9: group.task.resources.numa"},
	} {
		t.Run(c.in+" "+c.text, func(t *testing.T) {
			values := map[string]string{c.in: c.text}
			groups, ps := translate.Job(parse(t, "f", fillTemplate(values)), testPolicy())
			if c.want == "" {
				if ps != nil || len(groups) != 2 {
					t.Errorf("got %v", ps)
				}
				return
			}
			if groups != nil {
				t.Error("native jobs in spite of a refusal")
			}
			if len(ps) == 0 || !strings.HasPrefix(ps[0].String(), "f:"+c.want) && !strings.HasPrefix(ps[len(ps)-1].String(), "f:"+c.want) {
				t.Errorf("got\n%v\nwant %s", ps, c.want)
			}
		})
	}
	// All refusals are reported at once.
	_, ps := translate.Job(parse(t, "f", fillTemplate(map[string]string{
		"JOB": "all_at_once = true", "GROUP": "count = 0", "TASK": "vault {}", "SECOND": "network {}",
	})), testPolicy())
	if len(ps) != 4 || !slices.IsSortedFunc(ps, func(a, b jobfile.Problem) int { return a.Line - b.Line }) {
		t.Errorf("got\n%v", ps)
	}
}

// A job file cannot exceed the team's priority cap, or use the namespace of another team.
func TestPriorityAndTeam(t *testing.T) {
	for _, c := range []struct {
		team, namespace string
		priority        int
		want            core.Priority
		refusal         string
	}{
		{"", "blue", 1, core.Low, ""},
		{"", "blue", 24, core.Low, ""},
		{"", "blue", 25, core.Normal, ""},
		{"", "blue", 74, core.Normal, ""},
		{"", "blue", 75, core.High, ""},
		{"", "blue", 89, core.High, ""},
		{"", "blue", 90, core.Production, ""},
		{"blue", "default", 100, core.Production, ""},
		{"blue", "blue", 50, core.Normal, ""},
		{"", "default", 50, 0, "namespace: name the team"},
		{"blue", "green", 50, 0, "namespace \"green\": the token is another team's"},
		{"guests", "default", 74, core.Normal, ""},
		{"guests", "default", 100, 0, "priority 100 is production here, and team guests may ask for normal at most, which is up to 74"},
		{"guests", "blue", 100, 0, "the token is another team's"},
	} {
		src := strings.Replace(string(fillTemplate(map[string]string{"JOB": fmt.Sprintf("priority = %d", c.priority)})),
			`"blue"`, fmt.Sprintf("%q", c.namespace), 1)
		policy := testPolicy()
		policy.Team = c.team
		groups, ps := translate.Job(parse(t, "f", []byte(src)), policy)
		switch {
		case c.refusal != "":
			if groups != nil || !strings.Contains(ps.Error(), c.refusal) {
				t.Errorf("%+v: got %v", c, ps)
			}
		case ps != nil:
			t.Errorf("%+v: got %v", c, ps)
		case groups[0].Spec.Priority != c.want || groups[0].Spec.Team != max(c.team, strings.TrimSuffix(c.namespace, "default")):
			t.Errorf("%+v: got %+v", c, groups[0].Spec)
		}
	}
}

// A digest changes with the settings that affect a group's tasks, and with nothing else.
func TestDigest(t *testing.T) {
	digests := func(values map[string]string) (string, string) {
		groups, ps := translate.Job(parse(t, "f", fillTemplate(values)), testPolicy())
		if ps != nil {
			t.Fatal(ps)
		}
		return groups[0].Digest, groups[1].Digest
	}
	a, b := digests(nil)
	for _, c := range []struct {
		values        map[string]string
		first, second bool // whether the group's digest changes
	}{
		{nil, false, false},
		{map[string]string{"GROUP": "count = 2"}, true, false},
		{map[string]string{"TASK": "env { A = \"b\" }"}, true, false},
		{map[string]string{"JOB": "meta { a = \"b\" }"}, true, true},
		{map[string]string{"JOB": "priority = 80"}, true, true},
		{map[string]string{"JOB": "name = \"shown\""}, false, false},
	} {
		if x, y := digests(c.values); (x != a) != c.first || (y != b) != c.second {
			t.Errorf("%v: changes %v %v", c.values, x != a, y != b)
		}
	}
}

// The table has a verdict on every attribute and block of the grammar, and the operators' page
// contains the table as generated.
func TestTable(t *testing.T) {
	var table strings.Builder
	if err := translate.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, path := range jobfile.Paths() {
		if !translate.HasVerdict(path) {
			t.Errorf("no verdict on %s", path)
		}
	}
	page, err := os.ReadFile("../../../docs/NOMAD.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), table.String()) {
		t.Error("docs/NOMAD.md has a different table; `aspenstall nomad table` prints the current one")
	}
	for _, k := range translate.MetaKeys() {
		if !strings.Contains(string(page), "`"+translate.MetaPrefix+k+"`") {
			t.Errorf("docs/NOMAD.md does not mention %s%s", translate.MetaPrefix, k)
		}
	}
}

// FuzzTranslate checks that an accepted job file gives jobs that a native submission could give.
func FuzzTranslate(f *testing.F) {
	f.Add(string(fillTemplate(nil)))
	f.Add(`{"ID":"a","Type":"batch","TaskGroups":[{"Name":"g","Tasks":[{"Name":"t","Driver":"d","Meta":{"aspenstall_class":"c"}}]}]}`)
	f.Fuzz(func(t *testing.T, src string) {
		file, err := jobfile.Parse("f", []byte(src), jobfile.Options{})
		if err != nil {
			return
		}
		policy := testPolicy()
		policy.Team = "guests"
		groups, ps := translate.Job(file, policy)
		if (len(groups) == 0) == (len(ps) == 0) {
			t.Fatalf("%d groups and %d refusals", len(groups), len(ps))
		}
		for _, g := range groups {
			s := g.Spec
			if s.Team != "guests" || s.Priority > core.Normal || s.Tasks < 1 || s.Tasks > core.MaxTasks || s.Class == "" || s.Image == "" ||
				s.Resources.CPU < 0 || s.Resources.CPU > core.MaxTaskResource*1000 || s.Deadline < 0 || s.EstimatedRun < 0 || s.ImageMB < 0 {
				t.Errorf("%+v", s)
			}
		}
	})
}
