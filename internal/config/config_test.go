package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/notify"
)

const goodPlatform = `{"member":"n0","area":"a","listen":"10.0.0.1:1","cluster_listen":"10.0.0.1:2",
"known":[{"member":"n1","area":"b","endpoint":"10.0.0.2:2"}],"services":{"cloud":"10.2.0.2:3","state":"10.2.0.1:4"},
"new_field":{"x":1},"params":{"teams":[{"name":"blue","cpus":4.0,"cpus_max":8.0}],
"workers":{"report_s":3.0,"lease_s":16.0},"state":{"rps":10,"write_rps":5,"value_kb":4.0,"txn_ops":12}}}`

// writeFile writes a file in a temporary directory and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkError checks that an error is one line that begins with path and contains want. If want is
// "", no error is expected.
func checkError(t *testing.T, err error, path, want string) {
	t.Helper()
	switch {
	case want == "" && err != nil:
		t.Errorf("got %v", err)
	case want == "":
	case err == nil:
		t.Error("got no error")
	case !strings.HasPrefix(err.Error(), path) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n"):
		t.Errorf("got %q, want one line that names the file and %q", err, want)
	}
}

// TestPlatform checks that errors in the platform's file name the field.
func TestPlatform(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"good, with unknown fields", "", "", ""},
		{"not JSON", "{", "(", "invalid character"},
		{"wrong type", `"txn_ops":12`, `"txn_ops":"many"`, "params.state.txn_ops"},
		{"no member", `"member":"n0"`, `"member":""`, "member: missing"},
		{"name for an address", "10.2.0.1:4", "state:4", "services.state"},
		{"peer without port", "10.0.0.2:2", "10.0.0.2", "known[0].endpoint"},
		{"guarantee over limit", `"cpus":4.0`, `"cpus":9.0`, "params.teams[0]"},
		{"no lease", `"lease_s":16.0`, `"lease_s":0`, "params.workers.lease_s"},
		{"no value size", `"value_kb":4.0`, `"value_kb":-1`, "params.state.value_kb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, strings.Replace(goodPlatform, c.from, c.to, 1))
			_, err := LoadPlatform(path)
			checkError(t, err, path, c.want)
		})
	}
	if _, err := LoadPlatform("/no/such/file"); err == nil {
		t.Error("a missing file is accepted")
	}
}

// notifyPrefix is the start of settings whose next value is the map of subscriptions.
const notifyPrefix = `{:notify {:receivers {"r" {:url "http://127.0.0.1:1/" :keeps-keys true} "dumb" {:url "http://127.0.0.1:2/"}} :subscriptions `

// TestSettingsAgainstPlatform checks the refusal of valid settings that don't match the platform's
// file.
func TestSettingsAgainstPlatform(t *testing.T) {
	p, err := LoadPlatform(writeFile(t, goodPlatform))
	if err != nil {
		t.Fatal(err)
	}
	many := &Notify{}
	for i := range 100 {
		many.Subscriptions = append(many.Subscriptions, notify.Subscription{Name: fmt.Sprintf("a-name-of-some-length-%02d", i)})
	}
	for want, s := range map[string]Settings{
		"":                                       {PriorityCaps: map[string]core.Priority{"blue": core.Low}, Nomad: &Nomad{Tokens: map[string][]Hash{"blue": nil}}, Notify: &Notify{Subscriptions: []notify.Subscription{{Team: "blue"}, {}}}},
		`:priority-caps: there is no team "red"`: {PriorityCaps: map[string]core.Priority{"red": core.Low}},
		`:nomad: :tokens: there is no team "red"`:                           {Nomad: &Nomad{Tokens: map[string][]Hash{"red": nil}}},
		`:notify: :subscriptions: "s": there is no team "red"`:              {Notify: &Notify{Subscriptions: []notify.Subscription{{Name: "s", Team: "red"}}}},
		`:notify: :subscriptions: 100 of them take 4900 bytes in the state`: {Notify: many},
	} {
		err := s.Check(p)
		if want == "" && err != nil || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// TestSettings checks that errors in the settings name the setting and the reason.
func TestSettings(t *testing.T) {
	hash := strings.Repeat("0f", 32)
	key := writeFile(t, "sixteen bytes or so")
	for _, c := range []struct{ name, text, want string }{
		{"some", "{:spare-tasks 2 ; room\n :idle-return-s 15.5}", ""},
		{"empty map", "{}", ""},
		{"whole number for seconds", "{:suspect-s 5}", ""},
		{"misspelt", "{:spare-task 2}", ": :spare-task: no such setting"},
		{"out of range", "{:leader-lease-s 0.1}", ": :leader-lease-s: want a number from 1 to 60, not 0.1"},
		{"wrong type", "{:spare-tasks \"two\"}", ": :spare-tasks: want a number from 0 to 1000, not \"two\""},
		{"not whole", "{:spare-tasks 2.5}", ": :spare-tasks: want a whole number"},
		{"not a map", "(1 2)", "not a map"},
		{"two expressions", "{} {}", "more than one"},
		{"unclosed", "{:spare-tasks 2", ""},
		{"a cap", "{:priority-caps {\"guests\" :normal}}", ""},
		{"no such priority", "{:priority-caps {\"guests\" :urgent}}", ": :priority-caps: \"guests\": want :low, :normal, :high or :production, not :urgent"},
		{"caps of numbers", "{:priority-caps {\"guests\" 50}}", ": :priority-caps: want a map"},
		{"Nomad", "{:nomad {:listen \"127.0.0.1:4646\" :gpu-devices [\"gpu\" \"nvidia/gpu\"]}}", ""},
		{"Nomad without an address", "{:nomad {}}", ": :nomad: :listen"},
		{"Nomad, misspelt", "{:nomad {:listn 1}}", ": :nomad: :listn: no such setting"},
		{"tokens without a key", "{:nomad {:listen \"127.0.0.1:4646\" :tokens {\"blue\" [\"" + hash + "\"]}}}", ": :nomad: :token-key-file: missing"},
		{"a key beside the file", "{:nomad {:listen \"127.0.0.1:4646\" :token-key-file \"file\"}}", ""},
		{"not a hash", "{:nomad {:tokens {\"blue\" [\"secret\"]}}}", ": :nomad: :tokens: \"blue\": want hashes"},
		{"notifications", notifyPrefix + "{\"s\" {:receiver \"r\" :events [:done :accepted] :promise :exactly}}}}", ""},
		{"no such receiver", notifyPrefix + "{\"s\" {:receiver \"q\" :events [:done]}}}}", ": :notify: :subscriptions: \"s\": :receiver: there is no receiver \"q\""},
		{"no such event", notifyPrefix + "{\"s\" {:receiver \"r\" :events [:begun]}}}}", ": :notify: :subscriptions: \"s\": :events: want"},
		{"no events", notifyPrefix + "{\"s\" {:receiver \"r\"}}}}", ":events: none"},
		{"a promise that cannot be kept", notifyPrefix + "{\"s\" {:receiver \"dumb\" :events [:done]}}}}", "cannot be promised; choose :at-least or :at-most"},
		{"one that can", notifyPrefix + "{\"s\" {:receiver \"dumb\" :events [:done] :promise :at-most}}}}", ""},
		{"a name for a key", notifyPrefix + "{\"a/b\" {:receiver \"r\" :events [:done]}}}}", "small letters, digits and dashes"},
		{"asked without an age", "{:notify {:receivers {\"r\" {:url \"http://h/\" :ask-url \"http://h/seen\"}}}}", ":ask-url and :max-age-s go together"},
		{"operators from anywhere", "{:notify {:listen \"10.0.0.1:4650\"}}", ":notify: :listen: \"10.0.0.1:4650\": want a loopback address"},
		{"not a URL", "{:notify {:receivers {\"r\" {:url \"desk\"}}}}", ":url: want an http or https URL"},
		{"a body without a type", "{:notify {:receivers {\"r\" {:url \"http://h/\" :body-file \"KEY\"}}}}", ":body-file and :content-type go together"},
		{"a body", "{:notify {:receivers {\"r\" {:url \"http://h/\" :body-file \"KEY\" :content-type \"text/plain\" :secret-files [\"KEY\"]}}}}", ""},
		{"no certificate", "{:notify {:receivers {\"r\" {:url \"https://h/\" :ca-file \"KEY\"}}}}", "holds no certificate"},
		{"one token of two teams", "{:nomad {:listen \"127.0.0.1:4646\" :tokens {\"blue\" [\"" + hash + "\"] \"green\" [\"" + hash + "\"]} :token-key-file \"KEY\"}}",
			": :nomad: :tokens: teams \"blue\" and \"green\" have the same token"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, strings.ReplaceAll(c.text, "KEY", key))
			s, err := LoadSettings(path)
			if c.name == "unclosed" {
				if err == nil {
					t.Error("got no error")
				}
				return
			}
			checkError(t, err, path, c.want)
			if c.name == "Nomad" && (s.Nomad.MaxWatchers != 1000 || len(s.Nomad.GPUDevices) != 2) {
				t.Errorf("got %+v", s.Nomad)
			}
			if c.name == "a cap" && (s.PriorityCap("guests") != core.Normal || s.PriorityCap("blue") != core.Production) {
				t.Errorf("got %+v", s.PriorityCaps)
			}
			if c.name == "some" && (s.SpareTasks != 2 || s.IdleReturnS != 15.5 || s.SuspectS != DefaultSettings().SuspectS) {
				t.Errorf("got %+v", s)
			}
		})
	}
}

// TestClusterConfig checks that errors in the cluster configuration name the line and the field,
// and that a written configuration is read back unchanged.
func TestClusterConfig(t *testing.T) {
	base := clusterconfig.Base{Teams: map[string]clusterconfig.Team{"blue": {Min: core.Resources{CPU: 4000}, Max: core.Resources{CPU: 8000}, PriorityCap: core.High}}}
	for _, c := range []struct{ name, text, want string }{
		{"good", `{:teams {"blue" {:cpus 2 :cap :low} "red" {:cpus 1.5 :cpus-max 3 :draining true}} :settings {:idle-return-s 5 :spare-tasks 2}}`, ""},
		{"empty", `{}`, ""},
		{"not a map", `[1]`, ":1: not a map"},
		{"an unknown field", "{:teams\n {\"blue\" {:cpus 2}\n  \"red\" {:cpu 2}}}", ":3: :teams: \"red\": :cpu: no such setting"},
		{"a wrong value", "{:teams\n {\"blue\"\n  {:cpus 2\n   :cap :urgent}}}", ":4: :teams: \"blue\": :cap: want :low"},
		{"over the platform's limit", "{:teams\n {\"blue\"\n  {:cpus 2\n   :cpus-max 9}}}", ":4: :teams \"blue\" :cpus-max: the limit is over the platform's, 8"},
		{"a setting that may not change", "{:settings\n {:leader-lease-s 9}}", ":2: :settings: :leader-lease-s: no such setting"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, c.text)
			got, err := ReadClusterConfig(path, &base)
			checkError(t, err, path, c.want)
			if err != nil {
				return
			}
			var out strings.Builder
			WriteClusterConfig(&out, got)
			again, err := ReadClusterConfig(writeFile(t, out.String()), &base)
			if err != nil || len(clusterconfig.Diff(got.OverlayOn(&base), again.OverlayOn(&base))) > 0 {
				t.Errorf("the configuration differs after it is written and read again: %s, %v", out.String(), err)
			}
		})
	}
	blue, err := ReadClusterConfig(writeFile(t, `{:teams {"blue" {:cpus 2}}}`), &base)
	if want := (clusterconfig.Team{Min: core.Resources{CPU: 2000}, Max: core.Resources{CPU: 8000}, PriorityCap: core.High}); err != nil || blue.Teams["blue"] != want {
		t.Errorf("omitted fields don't keep the platform's values: %+v, %v", blue, err)
	}
}

// TestConfigLimits checks that announced limits count only if they are smaller.
func TestConfigLimits(t *testing.T) {
	for _, c := range []struct {
		next string
		want clusterconfig.Limits
	}{
		{`"txn_ops":12`, clusterconfig.Limits{ValueBytes: 3896, TxnOps: 12}},
		{`"txn_ops":12,"next":{"rps":5,"value_kb":2,"txn_ops":4}`, clusterconfig.Limits{ValueBytes: 1848, TxnOps: 4}},
		{`"txn_ops":12,"next":{"value_kb":16}`, clusterconfig.Limits{ValueBytes: 3896, TxnOps: 12}},
	} {
		p, err := LoadPlatform(writeFile(t, strings.Replace(goodPlatform, `"txn_ops":12`, c.next, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := p.ConfigLimits(); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.next, got, c.want)
		}
	}
}
