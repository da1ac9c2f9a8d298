package simulator

import (
	"hash/fnv"
	"math/rand/v2"
)

// Streams holds named streams of random numbers, each seeded from a common seed and its name. What
// a goroutine draws from its own stream does not depend on the order in which goroutines run, as it
// would with a single stream. Streams is not safe for concurrent use.
type Streams struct {
	seed   uint64
	byName map[string]*rand.Rand
}

// NewStreams returns streams that are seeded from a common seed.
func NewStreams(seed uint64) *Streams {
	return &Streams{seed: seed, byName: map[string]*rand.Rand{}}
}

// Stream returns the stream with a name, and creates it at its first use.
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
