package httpapi

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"

	"aspenstall/internal/config"
)

// HashToken is a token's keyed hash (HMAC-SHA256), which is all that the
// settings hold.
func HashToken(key []byte, token string) config.Hash {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(token))
	return config.Hash(m.Sum(nil))
}

// tokens tells whose a token is.
type tokens struct {
	key    []byte
	teams  []teamToken
	agents []config.Hash
}

type teamToken struct {
	team string
	hash config.Hash
}

func newTokens(s *config.Nomad) *tokens {
	t := &tokens{key: s.TokenHashKey, agents: s.AgentTokens}
	for team, list := range s.Tokens {
		for _, h := range list {
			t.teams = append(t.teams, teamToken{team, h})
		}
	}
	return t
}

// team is the team that a token names. Every hash is compared, each in constant
// time, so that how long it takes says nothing.
func (t *tokens) team(token string) (string, bool) {
	h := HashToken(t.key, token)
	team, found := "", 0
	for i := range t.teams {
		if same := subtle.ConstantTimeCompare(h[:], t.teams[i].hash[:]); same == 1 {
			team, found = t.teams[i].team, 1
		}
	}
	return team, found == 1
}

// agent reports whether a token is a machine's.
func (t *tokens) agent(token string) bool {
	h := HashToken(t.key, token)
	found := 0
	for i := range t.agents {
		found |= subtle.ConstantTimeCompare(h[:], t.agents[i][:])
	}
	return found == 1
}
