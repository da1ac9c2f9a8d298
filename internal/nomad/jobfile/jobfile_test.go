package jobfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/nomad/api"
)

// job.schema.json matches the grammar. UPDATE=1 generates it.
func TestSchemaMatchesGrammar(t *testing.T) {
	want, err := generateSchema()
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(schemaFile, want, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if !bytes.Equal(want, Schema) {
		t.Error("job.schema.json does not match the grammar; generate it with UPDATE=1")
	}
}

// Every field that the published client can send is in the grammar under its names. A missing field
// would be refused as unknown instead of with its own reason.
func TestGrammarCoversClientFields(t *testing.T) {
	var walk func(b *body, ty reflect.Type, path string)
	walk = func(b *body, ty reflect.Type, path string) {
		known := map[string]*item{}
		for i := range b.items {
			known[b.items[i].jsonName] = &b.items[i]
		}
		for i := range ty.NumField() {
			fd := ty.Field(i)
			it := known[fd.Name]
			if it == nil {
				t.Errorf("%s.%s: not in the grammar", path, fd.Name)
				continue
			}
			hcl, form, _ := strings.Cut(fd.Tag.Get("hcl"), ",")
			if hcl != "" && form != "label" && it.hclName != hcl {
				t.Errorf("%s.%s: the HCL name is %q, not %q", path, fd.Name, hcl, it.hclName)
			}
			if it.body == nil {
				continue
			}
			e := fd.Type
			for e.Kind() != reflect.Struct {
				e = e.Elem()
			}
			walk(it.body, e, path+"."+fd.Name)
		}
	}
	walk(jobBody, reflect.TypeFor[api.Job](), "Job")
}

const sampleHCL = `
variable "members" {
  type    = number
  default = 6
}
variable "zones" { type = list(string) }
locals {
  image = "frost-${local.cycle}"
  cycle = "c${var.members}"
}
job "frost/ensemble" {
  datacenters = var.zones
  type        = "batch"
  constraint {
    attribute    = "${node.class}"
    set_contains_any = "wren,kestrel"
  }
  dynamic "group" {
    for_each = [for m in range(2) : "part-${m}" if m < 10]
    labels   = [group.value]
    content {
      count = var.members > 4 ? var.members : 4
      task "step" {
        driver = "docker"
        config {
          image = local.image
          args  = ["--member", "${NOMAD_ALLOC_INDEX}", "--part", group.key, upper("x")]
          mount {
            target = "/data"
          }
        }
        env { LEVEL = 3 }
        meta = { "note" = <<-EOT
          two
          lines
          EOT
        }
        resources {
          cores  = 4
          memory = 6144
        }
        restart { mode = "delay" }
        kill_timeout = "2m"
      }
    }
  }
}
`

func TestHCL(t *testing.T) {
	f, err := Parse("frost.nomad.hcl", []byte(sampleHCL), Options{Vars: map[string]string{"zones": `["a", "b"]`}})
	if err != nil {
		t.Fatal(err)
	}
	j := f.Job
	if j.ID != "frost/ensemble" || j.Name != j.ID || j.Priority != 50 || j.Namespace != "default" || len(j.Datacenters) != 2 || len(j.TaskGroups) != 2 {
		t.Fatalf("got %+v", j)
	}
	g := j.TaskGroups[1]
	task := g.Tasks[0]
	if c := j.Constraints[0]; c != (Constraint{"${node.class}", "wren,kestrel", "set_contains_any"}) {
		t.Errorf("constraint: %+v", c)
	}
	if g.Name != "part-1" || g.Count != 6 || task.Resources.Cores != 4 || task.Resources.CPU != 0 || task.Resources.MemoryMB != 6144 {
		t.Errorf("group: %+v", g)
	}
	if task.KillTimeout != Duration(120_000_000) || task.Env["LEVEL"] != "3" || task.Meta["note"] != "two\nlines\n" {
		t.Errorf("task: %+v", task)
	}
	if r := task.RestartPolicy; r == nil || r.Mode != "delay" || r.Attempts != 3 || r.Interval != Duration(24*time.Hour/time.Microsecond) {
		t.Errorf("restart of a batch job: %+v", r)
	}
	got, _ := json.Marshal(task.Config)
	if want := `{"args":["--member","${NOMAD_ALLOC_INDEX}","--part",1,"X"],"image":"frost-c6","mount":[{"target":"/data"}]}`; string(got) != want {
		t.Errorf("config: %s", got)
	}
	if p := f.Position("/TaskGroups/0/Tasks/0/Resources/MemoryMB"); p.Line != 40 || p.Column != 11 {
		t.Errorf("memory is at %v", p)
	}
	// The JSON form parses to the same job.
	b, err := json.Marshal(map[string]any{"Job": j})
	if err != nil {
		t.Fatal(err)
	}
	g2, err := Parse("frost.json", b, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(g2.Job, j) {
		t.Errorf("from JSON:\n%+v\nnot\n%+v", g2.Job, j)
	}
}

func TestProblems(t *testing.T) {
	for _, c := range []struct{ name, src, want string }{
		{"all at once, in order",
			"job \"x\" {\n  colour = 1\n  group \"g\" {\n    count = \"many\"\n    task \"t\" {\n      kill_timeout = \"soon\"\n      wheel {}\n    }\n  }\n  priority = 101\n}",
			`2:3: colour: no such attribute of job
4:5: count: a number is required
6:7: kill_timeout: want a duration such as "30s" or "1h30m", not "soon"
7:7: wheel: no such block of task
10:3: Priority: maximum: got 101, want 100`},
		{"no job", "", "no job block"},
		{"two jobs", "job \"a\" {}\njob \"b\" {}", "2:1: a file holds one job; this is the second"},
		{"no job name", "job {}", "1:1: job: wants one name"},
		{"not HCL", "job \"a\" {", "1:9: Unclosed configuration block"},
		{"no value", "variable \"v\" {}\njob \"a\" { name = var.v }", "1:1: variable \"v\" has no default, and no value was given"},
		{"circular locals", "locals {\n a = local.b\n b = local.a\n}\njob \"a\" {}", "2:2: local \"a\" needs itself\n3:2: local \"b\" needs itself"},
		{"reads files", "job \"a\" { name = file(\"/etc/passwd\") }", "1:18: Error in function call: Call to function \"file\" failed: file reads files"},
		{"block given twice", "job \"a\" {\n update {}\n update {}\n}", "3:2: update: given twice"},
		{"JSON, several", "{\"Job\": {\n \"ID\": \"a\", \"Priority\": \"high\",\n \"Colour\": 1, \"Region\": null}}", "2:13: Priority: got string, want integer\n3:2: Colour: no such field of job"},
		{"JSON, truncated", "{\"ID\": ", "1:8: not JSON: unexpected end of file"},
		{"JSON, twice", "{\"ID\": \"a\", \"ID\": \"b\"}", "1:13: ID: given twice"},
		{"JSON, two values", "{\"ID\": \"a\"} {}", "1:13: not JSON: more than one value"},
		{"JSON, no name", "{}", "1:1: job: missing property 'ID'"},
		{"JSON, duration", "{\"ID\": \"a\", \"TaskGroups\": [{\"Name\": \"g\", \"ShutdownDelay\": \"1 day\"}]}", "ShutdownDelay: want a duration"},
		{"words", "job \"a\" {\n type = \"cron\"\n}", "2:2: Type: value must be one of"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.src), Options{})
			var ps Problems
			if !errors.As(err, &ps) {
				t.Fatalf("got %v", err)
			}
			got, want := strings.Split(ps.Error(), "\n"), strings.Split(c.want, "\n")
			if len(got) != len(want) {
				t.Fatalf("got\n%v", ps.Error())
			}
			for i := range want {
				if !strings.HasPrefix(strings.TrimPrefix(got[i], "f:"), want[i]) && !strings.Contains(got[i], want[i]) {
					t.Errorf("got  %s\nwant %s", got[i], want[i])
				}
			}
		})
	}
}

// Small files that need much work or memory are refused quickly, with a short error. Without the
// budget, the doubling of strings alone would take all memory.
func TestResourceExhaustion(t *testing.T) {
	double := "locals {\n a0 = \"0123456789abcdef\"\n"
	for i := range 40 {
		n := string(rune('a'+(i+1)/26)) + string(rune('a'+(i+1)%26))
		p := string(rune('a'+i/26)) + string(rune('a'+i%26))
		if i == 0 {
			p = "a0"
		}
		double += " " + n + " = \"${local." + p + "}${local." + p + "}\"\n"
	}
	double += "}\njob \"x\" {}"
	for name, src := range map[string]string{
		"doubling":          double,
		"loops in loops":    "job \"x\" { datacenters = flatten([for a in range(1000) : [for b in range(1000) : [for c in range(1000) : \"z\"]]]) }",
		"loops over locals": "locals { l = range(1000) }\njob \"x\" { datacenters = [for a in local.l : [for b in local.l : [for c in local.l : a]]] }",
		"replace":           "job \"x\" { name = replace(\"" + strings.Repeat("a", 60_000) + "\", \"a\", \"" + strings.Repeat("b", 60_000) + "\") }",
		"format":            "job \"x\" { name = format(\"%999999999s\", \"\") }",
		"indent":            "job \"x\" { name = indent(999999999, \"\\n\") }",
		"blocks of blocks":  "job \"x\" {\ndynamic \"group\" {\nfor_each = range(1000)\nlabels = [\"g\"]\ncontent {\ndynamic \"task\" {\nfor_each = range(1000)\nlabels = [\"t\"]\ncontent {}\n}\n}\n}\n}",
		"brackets":          "job \"x\" { name = " + strings.Repeat("(", 100_000),
		"nested negation":   "job \"x\" { name = " + strings.Repeat("!", 100_000) + "true }",
		"templates":         "job \"x\" { name = " + strings.Repeat("\"${", 50_000),
		"conditions":        "job \"x\" { name = " + strings.Repeat("true ? 1 : ", 50_000) + "1 }",
		"blocks":            "job \"x\" " + strings.Repeat("{ a ", 100_000),
		"JSON lists":        "{\"ID\": " + strings.Repeat("[", 100_000),
		"large number":      "job \"x\" { meta = { a = 1e9999999 } }",
		"squares":           "locals {\n a = 1e300\n b = local.a * local.a * local.a * local.a\n c = local.b * local.b * local.b * local.b\n}\njob \"x\" { meta = { a = local.c } }",
		"JSON number":       "{\"ID\": \"a\", \"Priority\": 1e999999999}",
		"too large":         strings.Repeat("#", MaxSource+1),
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := Parse("f", []byte(src), Options{})
			if err == nil {
				t.Fatal("the file is accepted")
			}
			if len(err.Error()) > 20_000 {
				t.Errorf("%d bytes of problems: %.300s", len(err.Error()), err)
			}
			if d := time.Since(start); d > 5*time.Second {
				t.Errorf("took %v", d)
			}
		})
	}
}

func FuzzHCL(f *testing.F) {
	f.Add(sampleHCL)
	f.Add("variable \"a\" {\n type = map(any)\n}\njob \"x\" { meta = var.a }")
	f.Add("job \"x\" {\n dynamic \"group\" {\n for_each = {a = 1}\n iterator = it\n labels = [it.key]\n content { count = it.value }\n }\n}")
	f.Add("job \"x\" { name = try(nothing.at.all, \"%{ if true }a%{ endif }\") }")
	f.Fuzz(func(t *testing.T, src string) { checkRoundTrip(t, src) })
}

func FuzzJSON(f *testing.F) {
	f.Add(`{"Job":{"ID":"a","TaskGroups":[{"Name":"g","Count":2,"Tasks":[{"Name":"t","Config":{"image":"i"}}]}]}}`)
	f.Add(`{"ID":"a","Meta":{"a/b~c":"d"},"Update":{"Stagger":"30s"}}`)
	f.Fuzz(func(t *testing.T, src string) { checkRoundTrip(t, "{"+strings.TrimPrefix(src, "{")) })
}

// checkRoundTrip parses a file; the JSON of an accepted job must parse to the same job.
func checkRoundTrip(t *testing.T, src string) {
	file, err := Parse("f", []byte(src), Options{})
	if err != nil {
		var ps Problems
		if !errors.As(err, &ps) || len(ps) == 0 {
			t.Fatalf("error without problems: %v", err)
		}
		return
	}
	file.Each(func(e Entry) { file.Position(e.Pointer) })
	b, err := json.Marshal(file.Job)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("f", b, Options{})
	if err != nil {
		t.Fatalf("its own JSON is refused: %v\n%s", err, b)
	}
	if b2, _ := json.Marshal(again.Job); !bytes.Equal(b, b2) {
		t.Errorf("%s\nbecame\n%s", b, b2)
	}
}

// TestProblemsSort guards against problems of several files that are mixed by their lines.
func TestProblemsSort(t *testing.T) {
	at := func(file string, line int) Problem { return Problem{Pos{File: file, Line: line}, "p"} }
	got := Problems{at("b", 1), at("a", 2), at("b", 3), at("a", 1), at("a", 1)}.Sort()
	want := Problems{at("a", 1), at("a", 2), at("b", 1), at("b", 3)}
	if !slices.Equal(got, want) {
		t.Errorf("sorted as\n%v, want\n%v", got, want)
	}
}
