package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"olympos.io/encoding/edn"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/ednmap"
)

// ReadClusterConfig reads and checks the configuration that operators change at run time: one
// S-expression. A field that the file omits for a team of the base keeps the base's value. Errors
// name the file, line, field and reason.
func ReadClusterConfig(path string, base *clusterconfig.Base) (*clusterconfig.Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &clusterconfig.Config{Teams: map[string]clusterconfig.Team{}}
	var teams map[string]edn.RawMessage
	err = ednmap.Parse(b, map[string]ednmap.Parser{"teams": rawMap(&teams), "settings": clusterSettings(&c.Tuning)})
	if err != nil {
		return nil, withLine(path, b, err)
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		t, err := readClusterTeam(teams[name], name, base)
		if err != nil {
			return nil, withLine(path, b, fmt.Errorf(":teams: %q: %w", name, err))
		}
		c.Teams[name] = t
	}
	if p := c.Check(base); p != nil {
		return nil, fmt.Errorf("%s:%d: %w", path, lineOfKeys(b, p.Path), p)
	}
	return c, nil
}

// clusterSettings returns a parser for the settings that may change at run time.
func clusterSettings(t *clusterconfig.Tuning) ednmap.Parser {
	return func(b edn.RawMessage) error {
		number := func(lo, hi float64, to **float64) ednmap.Parser {
			return func(b edn.RawMessage) error {
				*to = new(float64)
				return ednmap.Number(lo, hi, *to)(b)
			}
		}
		return ednmap.ParseMap(b, map[string]ednmap.Parser{
			"idle-return-s":   number(0, 86400, &t.IdleReturnS),
			"refusal-pause-s": number(0, 3600, &t.RefusalPauseS),
			"hold-s":          number(0, 86400, &t.HoldS),
			"quarantine-s":    number(0, 86400, &t.QuarantineS),
			"spare-tasks": func(b edn.RawMessage) error {
				t.SpareTasks = new(int)
				return ednmap.Integer(0, 1000, t.SpareTasks)(b)
			},
		})
	}
}

// maxTeamResource is the largest amount of a resource in a quota, more than any team has.
const maxTeamResource = 1e9

// readClusterTeam parses a team's configuration. Omitted fields keep the base's values; the
// priority cap of a team that is not in the base is core.Production.
func readClusterTeam(b edn.RawMessage, name string, base *clusterconfig.Base) (clusterconfig.Team, error) {
	t, known := base.Teams[name]
	if !known {
		t.PriorityCap = core.Production
	}
	amount := func(to *int64) ednmap.Parser {
		return func(b edn.RawMessage) error {
			var v float64
			if err := ednmap.Number(0, maxTeamResource, &v)(b); err != nil {
				return err
			}
			*to = int64(v * 1000)
			return nil
		}
	}
	err := ednmap.ParseMap(b, map[string]ednmap.Parser{
		"cpus": amount(&t.Min.CPU), "cpus-max": amount(&t.Max.CPU), "gpus": amount(&t.Min.GPU), "gpus-max": amount(&t.Max.GPU),
		"cap": priority(&t.PriorityCap), "draining": func(b edn.RawMessage) error {
			if edn.Unmarshal(b, &t.Draining) != nil {
				return fmt.Errorf("want true or false, not %s", bytes.TrimSpace(b))
			}
			return nil
		},
	})
	return t, err
}

// priority returns a parser for a priority's keyword.
func priority(to *core.Priority) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var kw edn.Keyword
		if edn.Unmarshal(b, &kw) == nil {
			if p, ok := parsePriority(kw); ok {
				*to = p
				return nil
			}
		}
		return errors.New("want :low, :normal, :high or :production")
	}
}

// withLine prefixes an error with the path and the line that it refers to. It finds the line by
// the keys at the start of the error's text.
func withLine(path string, text []byte, err error) error {
	var keys []string
	for _, part := range strings.Split(err.Error(), ": ") {
		if !strings.HasPrefix(part, ":") && !strings.HasPrefix(part, `"`) {
			break
		}
		keys = append(keys, part)
	}
	return fmt.Errorf("%s:%d: %w", path, lineOfKeys(text, keys), err)
}

// lineOfKeys returns the line of the last key; each key is nested in the value of the one before.
func lineOfKeys(text []byte, keys []string) int {
	at := 0
	for _, key := range keys {
		i := bytes.Index(text[at:], []byte(key))
		if i < 0 {
			break
		}
		at += i
	}
	return bytes.Count(text[:at], []byte("\n")) + 1
}

// WriteClusterConfig writes a configuration in the form that ReadClusterConfig reads.
func WriteClusterConfig(w io.Writer, c *clusterconfig.Config) {
	fmt.Fprint(w, "{:teams\n {")
	for i, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if i > 0 {
			fmt.Fprint(w, "\n  ")
		}
		t := c.Teams[name]
		fmt.Fprintf(w, "%q {:cpus %v :cpus-max %v :gpus %v :gpus-max %v :cap :%v :draining %v}", name,
			clusterconfig.Units(t.Min.CPU), clusterconfig.Units(t.Max.CPU), clusterconfig.Units(t.Min.GPU), clusterconfig.Units(t.Max.GPU), t.PriorityCap, t.Draining)
	}
	fmt.Fprint(w, "}\n :settings {")
	sep := ""
	for _, s := range []struct {
		name  string
		value *float64
	}{
		{"idle-return-s", c.Tuning.IdleReturnS}, {"refusal-pause-s", c.Tuning.RefusalPauseS}, {"hold-s", c.Tuning.HoldS}, {"quarantine-s", c.Tuning.QuarantineS},
	} {
		if s.value != nil {
			fmt.Fprintf(w, "%s:%s %v", sep, s.name, *s.value)
			sep = " "
		}
	}
	if c.Tuning.SpareTasks != nil {
		fmt.Fprintf(w, "%s:spare-tasks %d", sep, *c.Tuning.SpareTasks)
	}
	fmt.Fprintln(w, "}}")
}
