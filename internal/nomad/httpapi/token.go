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
type tokenTable struct {
	hashKey     []byte
	teams       []teamToken
	agentHashes []config.Hash
}

type teamToken struct {
	team string
	hash config.Hash
}

func newTokenTable(s *config.Nomad) *tokenTable {
	t := &tokenTable{hashKey: s.TokenHashKey, agentHashes: s.AgentTokens}
	for team, list := range s.Tokens {
		for _, h := range list {
			t.teams = append(t.teams, teamToken{team, h})
		}
	}
	return t
}

// team is the team that a token names. Every hash is compared, each in constant
// time, so that how long it takes says nothing.
func (t *tokenTable) teamOf(token string) (string, bool) {
	h := HashToken(t.hashKey, token)
	team, found := "", 0
	for i := range t.teams {
		if same := subtle.ConstantTimeCompare(h[:], t.teams[i].hash[:]); same == 1 {
			team, found = t.teams[i].team, 1
		}
	}
	return team, found == 1
}

// agent reports whether a token is a machine's.
func (t *tokenTable) isAgent(token string) bool {
	h := HashToken(t.hashKey, token)
	found := 0
	for i := range t.agentHashes {
		found |= subtle.ConstantTimeCompare(h[:], t.agentHashes[i][:])
	}
	return found == 1
}
