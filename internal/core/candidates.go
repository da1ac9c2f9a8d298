package core

import "container/heap"

// Examining every machine for each of a thousand tasks costs time in proportion to the size of
// the fleet. Within a placement pass, tasks with equal requirements see the same machines, apart
// from those that changed since. The search therefore scores all machines once for each set of
// requirements, and after that only the best candidates and the changed machines.

// searchKey identifies one candidate cache. It has everything, except the machine itself, that
// the cost of placing a task on a machine depends on.
type searchKey struct {
	need          Resources
	image         int
	types         string
	spot, service bool
	cachedOnly    bool // only machines that have the image
	starving      bool // spare capacity may be used
	reclaim       bool // capacity is made by stopping other tasks; the fields below apply
	guaranteed    bool
	team          string
	priority      Priority
}

// newSearchKey returns the key of a search for free capacity for a task of the job.
func newSearchKey(j *job) searchKey {
	return searchKey{need: j.spec.Resources, image: j.imageID, types: j.typesKey, spot: j.spec.Spot, service: j.spec.Kind == Service, starving: j.starving}
}

// candidate is a machine with its cost at the time it was last examined.
type candidate struct {
	m    *machine
	cost int64
}

// zoneCandidates is a heap of a zone's candidates for one search key, the cheapest first. An
// entry may be out of date: a machine whose use changed gets another entry, and an entry whose
// cost has risen is corrected when it reaches the top.
type zoneCandidates struct {
	zone string
	heap []candidate
}

func (z *zoneCandidates) Len() int { return len(z.heap) }
func (z *zoneCandidates) Less(a, b int) bool {
	x, y := z.heap[a], z.heap[b]
	return x.cost < y.cost || x.cost == y.cost && x.m.name < y.m.name
}
func (z *zoneCandidates) Swap(a, b int) { z.heap[a], z.heap[b] = z.heap[b], z.heap[a] }
func (z *zoneCandidates) Push(x any)    { z.heap = append(z.heap, x.(candidate)) }
func (z *zoneCandidates) Pop() any {
	last := z.heap[len(z.heap)-1]
	z.heap = z.heap[:len(z.heap)-1]
	return last
}

// candidateCache holds the candidates of one search key for the current pass.
type candidateCache struct {
	byZone      []*zoneCandidates // in the order in which the zones were first found
	changesSeen int               // entries of Core.changedMachines already examined
}

// add adds a machine to the candidates of its zone.
func (cache *candidateCache) add(m *machine, cost int64) {
	for _, z := range cache.byZone {
		if z.zone == m.zone {
			heap.Push(z, candidate{m, cost})
			return
		}
	}
	cache.byZone = append(cache.byZone, &zoneCandidates{zone: m.zone, heap: []candidate{{m, cost}}})
}

// cheapestCandidate returns the cheapest machine for a task of the job, or nil if there is none.
// The machine is in a zone that the job allows. zoneFilter, unless empty, restricts the search to a
// zone. cost returns a machine's current cost and whether the machine is suitable. A machine for
// which excluded returns true is suitable for other tasks with the same key, but not for this job.
func (c *Core) cheapestCandidate(key searchKey, machines []*machine, j *job, zoneFilter string, cost func(*machine) (int64, bool), excluded func(*machine) bool) *machine {
	cache := c.candidateCaches[key]
	if cache == nil {
		cache = &candidateCache{}
		c.candidateCaches[key] = cache
		c.machinesExamined += len(machines)
		for _, m := range machines {
			if n, ok := cost(m); ok {
				cache.add(m, n)
			}
		}
	} else {
		for _, m := range c.changedMachines[cache.changesSeen:] {
			c.machinesExamined++
			if n, ok := cost(m); ok {
				cache.add(m, n)
			}
		}
	}
	cache.changesSeen = len(c.changedMachines)
	var best candidate
	for _, z := range cache.byZone {
		if zoneFilter != "" && z.zone != zoneFilter || !j.zoneAllowed(z.zone) {
			continue
		}
		var skipped []candidate
		for len(z.heap) > 0 {
			top := &z.heap[0]
			if excluded(top.m) {
				skipped = append(skipped, heap.Pop(z).(candidate))
				continue
			}
			c.machinesExamined++
			n, ok := cost(top.m)
			if !ok {
				heap.Pop(z)
				continue
			}
			if n > top.cost {
				top.cost = n
				heap.Fix(z, 0)
				continue
			}
			if current := (candidate{top.m, n}); best.m == nil || current.cost < best.cost || current.cost == best.cost && current.m.name < best.m.name {
				best = current
			}
			break
		}
		for _, a := range skipped {
			heap.Push(z, a)
		}
	}
	return best.m
}
