package simulator

import (
	"hash/fnv"
	"math/rand/v2"
)

// Streams are streams of random numbers by name, each seeded by the seed and its name.
// What one goroutine draws from its own stream does not depend on which goroutine runs
// first, as it would with one stream for all of them. It is not safe for concurrent use.
type Streams struct {
	seed   uint64
	byName map[string]*rand.Rand
}

// NewStreams returns streams that go by a seed.
func NewStreams(seed uint64) *Streams {
	return &Streams{seed: seed, byName: map[string]*rand.Rand{}}
}

// Of is the stream of a name.
func (s *Streams) Stream(name string) *rand.Rand {
	r := s.byName[name]
	if r == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		r = rand.New(rand.NewPCG(s.seed, h.Sum64()))
		s.byName[name] = r
	}
	return r
}
