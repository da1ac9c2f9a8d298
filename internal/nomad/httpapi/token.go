package httpapi

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"

	"aspenstall/internal/config"
)

// HashToken returns a token's keyed hash (HMAC-SHA256). The settings hold only hashes of tokens.
func HashToken(key []byte, token string) config.Hash {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(token))
	return config.Hash(m.Sum(nil))
}

// tokenTable finds the owner of a token by the token's hash.
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

// teamOf returns the team that a token belongs to. It compares every hash, each in constant time,
// so that the duration reveals nothing.
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

// isAgent reports whether a token belongs to the machines' agents.
func (t *tokenTable) isAgent(token string) bool {
	h := HashToken(t.hashKey, token)
	found := 0
	for i := range t.agentHashes {
		found |= subtle.ConstantTimeCompare(h[:], t.agentHashes[i][:])
	}
	return found == 1
}
