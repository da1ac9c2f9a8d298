package config

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"olympos.io/encoding/edn"

	"aspenstall/internal/core"
	"aspenstall/internal/ednmap"
)

// Settings are the operators' own, in seconds where the name says so.
type Settings struct {
	LeaderLeaseS  float64
	AnswerGraceS  float64
	IdleReturnS   float64
	RefusalPauseS float64
	HoldS         float64
	QuarantineS   float64
	SuspectS      float64
	SpareTasks    int
	ListEveryS    float64
	// PriorityCaps are the highest priorities that teams may ask for, in
	// whatever form they submit. A team without one may ask for any.
	PriorityCaps map[string]core.Priority
	Nomad        *Nomad  // nil: job files are not served
	Notify       *Notify // nil: nobody is notified
}

// Nomad are the settings of the interface for Nomad's clients.
type Nomad struct {
	Listen       string            // IP address and port
	TokenHashKey []byte            // that tokens' hashes are made with
	Tokens       map[string][]Hash // by team
	AgentTokens  []Hash            // of machines, which read the descriptions of tasks
	MaxWatchers  int               // blocking queries and event streams at once
	MaxConns     int               // connections at once
	MHzPerCPU    int
	ScratchMB    int
	GPUDevices   []string
	// RequestsPerS is how many requests a second a team may make of this node.
	RequestsPerS int
}

// Hash is a token's keyed hash.
type Hash [32]byte

// DefaultNomad are the settings of the interface where the file names none.
func DefaultNomad() Nomad {
	return Nomad{MaxWatchers: 1000, MaxConns: 1200, MHzPerCPU: 1000, ScratchMB: 300, GPUDevices: []string{"gpu"}, RequestsPerS: 50}
}

// PriorityCap is the highest priority that a team may ask for.
func (s *Settings) PriorityCap(team string) core.Priority {
	if p, ok := s.PriorityCaps[team]; ok {
		return p
	}
	return core.Production
}

// DefaultSettings are what the program runs with without a settings file.
func DefaultSettings() Settings {
	return Settings{
		LeaderLeaseS: 3, AnswerGraceS: 60, IdleReturnS: 10, RefusalPauseS: 15, HoldS: 600, QuarantineS: 120,
		SuspectS: 4.5, SpareTasks: 3, ListEveryS: 10,
	}
}

// LoadSettings reads and checks the operators' settings: one S-expression, a
// map from keywords to values. What it does not name keeps its default. Paths
// of files in it count from its own place.
func LoadSettings(path string) (Settings, error) {
	s := DefaultSettings()
	if path == "" {
		return s, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := ednmap.Parse(b, s.parsers(filepath.Dir(path))); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// all lists the settings by name.
func (s *Settings) parsers(dir string) map[string]ednmap.Parser {
	return map[string]ednmap.Parser{
		"leader-lease-s":  ednmap.Number(1, 60, &s.LeaderLeaseS),
		"answer-grace-s":  ednmap.Number(0, 3600, &s.AnswerGraceS),
		"idle-return-s":   ednmap.Number(0, 86400, &s.IdleReturnS),
		"refusal-pause-s": ednmap.Number(0, 3600, &s.RefusalPauseS),
		"hold-s":          ednmap.Number(0, 86400, &s.HoldS),
		"quarantine-s":    ednmap.Number(0, 86400, &s.QuarantineS),
		"suspect-s":       ednmap.Number(1, 600, &s.SuspectS),
		"spare-tasks":     ednmap.Integer(0, 1000, &s.SpareTasks),
		"list-every-s":    ednmap.Number(1, 3600, &s.ListEveryS),
		"priority-caps":   priorityCaps(&s.PriorityCaps),
		"notify":          notifySettings(dir, &s.Notify),
		"nomad": func(b edn.RawMessage) error {
			n := DefaultNomad()
			s.Nomad = &n
			if err := ednmap.ParseMap(b, n.parsers(dir)); err != nil {
				return err
			}
			return n.check()
		},
	}
}

func (n *Nomad) parsers(dir string) map[string]ednmap.Parser {
	return map[string]ednmap.Parser{
		"listen":         ednmap.String(&n.Listen),
		"token-key-file": keyFile(dir, &n.TokenHashKey),
		"tokens":         tokens(&n.Tokens),
		"agent-tokens":   hashes(&n.AgentTokens),
		"watchers":       ednmap.Integer(1, 100_000, &n.MaxWatchers),
		"connections":    ednmap.Integer(1, 200_000, &n.MaxConns),
		"requests-per-s": ednmap.Integer(1, 1_000_000, &n.RequestsPerS),
		"mhz-per-cpu":    ednmap.Integer(1, 100_000, &n.MHzPerCPU),
		"scratch-mb":     ednmap.Integer(0, 10_000_000, &n.ScratchMB),
		"gpu-devices":    ednmap.Strings(&n.GPUDevices),
	}
}

func (n *Nomad) check() error {
	if err := checkAddress(":listen", n.Listen); err != nil {
		return err
	}
	if n.TokenHashKey == nil && (len(n.Tokens) > 0 || len(n.AgentTokens) > 0) {
		return errors.New(":token-key-file: missing, and there are tokens")
	}
	teams := map[Hash]string{}
	for team, list := range n.Tokens {
		for _, h := range list {
			if other, ok := teams[h]; ok {
				return fmt.Errorf(":tokens: teams %q and %q have the same token", min(team, other), max(team, other))
			}
			teams[h] = team
		}
	}
	return nil
}

// Check holds the settings against the platform's file.
func (s *Settings) Check(p *Platform) error {
	known := map[string]bool{}
	for _, t := range p.Params.Teams {
		known[t.Name] = true
	}
	for _, team := range slices.Sorted(maps.Keys(s.PriorityCaps)) {
		if !known[team] {
			return fmt.Errorf(":priority-caps: there is no team %q", team)
		}
	}
	if s.Notify != nil {
		// One record holds all marks: a name, a number and what is round them.
		size := 0
		for _, sub := range s.Notify.Subscriptions {
			size += len(sub.Name) + 25
		}
		if most := int(p.Params.State.ValueKB * 1024); size > most {
			return fmt.Errorf(":notify: :subscriptions: %d of them take %d bytes in the state service, whose values hold %d", len(s.Notify.Subscriptions), size, most)
		}
		for _, sub := range s.Notify.Subscriptions {
			if sub.Team != "" && !known[sub.Team] {
				return fmt.Errorf(":notify: :subscriptions: %q: there is no team %q", sub.Name, sub.Team)
			}
		}
	}
	if s.Nomad == nil {
		return nil
	}
	for _, team := range slices.Sorted(maps.Keys(s.Nomad.Tokens)) {
		if !known[team] {
			return fmt.Errorf(":nomad: :tokens: there is no team %q", team)
		}
	}
	return nil
}

func priorityCaps(to *map[string]core.Priority) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var given map[string]edn.Keyword
		if err := edn.Unmarshal(b, &given); err != nil {
			return errors.New("want a map from teams to :low, :normal, :high or :production")
		}
		*to = map[string]core.Priority{}
		for team, word := range given {
			p, ok := parsePriority(word)
			if !ok {
				return fmt.Errorf("%q: want :low, :normal, :high or :production, not %v", team, word)
			}
			(*to)[team] = p
		}
		return nil
	}
}

// priorityOf is the priority of a word in the settings.
func parsePriority(word edn.Keyword) (p core.Priority, ok bool) {
	for p = core.Low; p <= core.Production; p++ {
		if p.String() == string(word) {
			return p, true
		}
	}
	return 0, false
}

func decodeHashes(given []string) ([]Hash, error) {
	var out []Hash
	for _, g := range given {
		b, err := hex.DecodeString(g)
		if err != nil || len(b) != len(Hash{}) {
			return nil, fmt.Errorf("want hashes of tokens, %d hexadecimal digits each", 2*len(Hash{}))
		}
		out = append(out, Hash(b))
	}
	return out, nil
}

func hashes(to *[]Hash) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var given []string
		err := ednmap.Strings(&given)(b)
		if err == nil {
			*to, err = decodeHashes(given)
		}
		return err
	}
}

func tokens(to *map[string][]Hash) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var given map[string][]string
		if err := edn.Unmarshal(b, &given); err != nil {
			return errors.New("want a map from teams to lists of hashes")
		}
		*to = map[string][]Hash{}
		for _, team := range slices.Sorted(maps.Keys(given)) {
			list, err := decodeHashes(given[team])
			if err != nil {
				return fmt.Errorf("%q: %w", team, err)
			}
			(*to)[team] = list
		}
		return nil
	}
}

// minKey is the shortest key for tokens' hashes, in bytes.
const minKeyBytes = 16

func keyFile(dir string, to *[]byte) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var path string
		if err := ednmap.String(&path)(b); err != nil {
			return err
		}
		b, err := readRelative(dir, path)
		if err == nil {
			*to, err = TokenKey(path, b)
		}
		return err
	}
}

// readBeside reads a file whose path counts from the settings' place.
func readRelative(dir, path string) ([]byte, error) {
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	return os.ReadFile(path)
}

// TokenKey is the key that a file holds, without the space round it.
func TokenKey(path string, b []byte) ([]byte, error) {
	key := bytes.TrimSpace(b)
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("%s: want a key of %d bytes or more", path, minKeyBytes)
	}
	return key, nil
}
