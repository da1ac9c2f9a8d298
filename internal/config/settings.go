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

// Settings are the operators' settings. Names that end in S are in seconds.
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
	// PriorityCaps are the highest priorities that teams may request, through any interface.
	// A team without a cap may request any priority.
	PriorityCaps map[string]core.Priority
	Nomad        *Nomad  // nil: the interface for Nomad's clients is off
	Notify       *Notify // nil: notifications are off
}

// Nomad are the settings of the interface for Nomad's clients.
type Nomad struct {
	Listen       string            // IP address and port
	TokenHashKey []byte            // key of the tokens' hashes
	Tokens       map[string][]Hash // by team
	AgentTokens  []Hash            // for the machines' agents, which read task descriptions
	MaxWatchers  int               // concurrent blocking queries and event streams
	MaxConns     int               // concurrent connections
	MHzPerCPU    int
	ScratchMB    int
	GPUDevices   []string
	// RequestsPerS is the limit of requests per second from one team to this node.
	RequestsPerS int
}

// Hash is a token's keyed hash.
type Hash [32]byte

// DefaultNomad returns the defaults of the settings of the interface for Nomad's clients.
func DefaultNomad() Nomad {
	return Nomad{MaxWatchers: 1000, MaxConns: 1200, MHzPerCPU: 1000, ScratchMB: 300, GPUDevices: []string{"gpu"}, RequestsPerS: 50}
}

// PriorityCap returns the highest priority that a team may request.
func (s *Settings) PriorityCap(team string) core.Priority {
	if p, ok := s.PriorityCaps[team]; ok {
		return p
	}
	return core.Production
}

// DefaultSettings returns the settings that apply without a settings file.
func DefaultSettings() Settings {
	return Settings{
		LeaderLeaseS: 3, AnswerGraceS: 60, IdleReturnS: 10, RefusalPauseS: 15, HoldS: 600, QuarantineS: 120,
		SuspectS: 4.5, SpareTasks: 3, ListEveryS: 10,
	}
}

// LoadSettings reads and checks the operators' settings: one S-expression, a map from keywords to
// values. An omitted setting keeps its default. Relative paths in the file are resolved against
// the file's directory. With an empty path, LoadSettings returns the defaults.
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

// parsers returns the parsers of the settings by name. dir is the directory of relative paths.
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

// parsers returns the parsers of the settings by name. dir is the directory of relative paths.
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

// check returns an error for an invalid address, for tokens without a key, and for a token of two
// teams.
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

// Check checks the settings against the platform's file: every team must exist there, and the
// record of the subscriptions must fit a value of the state service.
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
		// One record holds the outbox position of each subscription: its name, a number and
		// their encoding.
		size := 0
		for _, sub := range s.Notify.Subscriptions {
			size += len(sub.Name) + 25
		}
		if maxBytes := p.StateLimits().ValueBytes; size > maxBytes {
			return fmt.Errorf(":notify: :subscriptions: %d of them take %d bytes in the state service, whose values hold %d", len(s.Notify.Subscriptions), size, maxBytes)
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

// priorityCaps returns a parser for a map from teams to priorities.
func priorityCaps(to *map[string]core.Priority) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var caps map[string]edn.Keyword
		if err := edn.Unmarshal(b, &caps); err != nil {
			return errors.New("want a map from teams to :low, :normal, :high or :production")
		}
		*to = map[string]core.Priority{}
		for team, kw := range caps {
			p, ok := parsePriority(kw)
			if !ok {
				return fmt.Errorf("%q: want :low, :normal, :high or :production, not %v", team, kw)
			}
			(*to)[team] = p
		}
		return nil
	}
}

// parsePriority returns the priority that a keyword names; ok is false if it names none.
func parsePriority(kw edn.Keyword) (p core.Priority, ok bool) {
	for p = core.Low; p <= core.Production; p++ {
		if p.String() == string(kw) {
			return p, true
		}
	}
	return 0, false
}

// decodeHashes decodes hashes of tokens from hexadecimal digits.
func decodeHashes(texts []string) ([]Hash, error) {
	var out []Hash
	for _, text := range texts {
		b, err := hex.DecodeString(text)
		if err != nil || len(b) != len(Hash{}) {
			return nil, fmt.Errorf("want hashes of tokens, %d hexadecimal digits each", 2*len(Hash{}))
		}
		out = append(out, Hash(b))
	}
	return out, nil
}

// hashes returns a parser for a list of tokens' hashes.
func hashes(to *[]Hash) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var texts []string
		err := ednmap.Strings(&texts)(b)
		if err == nil {
			*to, err = decodeHashes(texts)
		}
		return err
	}
}

// tokens returns a parser for a map from teams to lists of tokens' hashes.
func tokens(to *map[string][]Hash) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var byTeam map[string][]string
		if err := edn.Unmarshal(b, &byTeam); err != nil {
			return errors.New("want a map from teams to lists of hashes")
		}
		*to = map[string][]Hash{}
		for _, team := range slices.Sorted(maps.Keys(byTeam)) {
			list, err := decodeHashes(byTeam[team])
			if err != nil {
				return fmt.Errorf("%q: %w", team, err)
			}
			(*to)[team] = list
		}
		return nil
	}
}

// minKeyBytes is the minimum length of a key, in bytes.
const minKeyBytes = 16

// keyFile returns a parser for the path of a key file; it reads the key.
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

// readRelative reads a file; a relative path is resolved against dir.
func readRelative(dir, path string) ([]byte, error) {
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	return os.ReadFile(path)
}

// TokenKey returns the key in the content b of a file, without surrounding white space. A key
// shorter than 16 bytes is an error.
func TokenKey(path string, b []byte) ([]byte, error) {
	key := bytes.TrimSpace(b)
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("%s: want a key of %d bytes or more", path, minKeyBytes)
	}
	return key, nil
}
