package core

import "container/heap"

// Looking at every machine for each of a thousand tasks costs in proportion to
// the fleet. Within a pass, tasks that ask for the same see the same machines,
// apart from those that changed since: so each kind of task looks at the machines
// once, and then only at the best and at what changed.

// kind is what the cost of putting a task on a machine depends on, besides the
// machine itself.
type searchKey struct {
	need          Resources
	image         int
	types         string
	spot, service bool
	cachedOnly    bool // only where the image is
	starving      bool // spare room will do
	reclaim       bool // by stopping others, which depends on the rest
	guaranteed    bool
	team          string
	priority      Priority
}

func newSearchKey(j *job) searchKey {
	return searchKey{need: j.spec.Request, image: j.imageID, types: j.typesKey, spot: j.spec.Spot, service: j.spec.Kind == Service, starving: j.starving}
}

// choice is a machine and what it cost when it was looked at.
type candidate struct {
	m    *machine
	cost int64
}

// choices are the machines of a zone for a kind of task, the cheapest on top. A
// machine's cost may have risen since; for one that changed there is another entry.
type zoneCandidates struct {
	zone string
	heap []candidate
}

func (p *zoneCandidates) Len() int { return len(p.heap) }
func (p *zoneCandidates) Less(a, b int) bool {
	x, y := p.heap[a], p.heap[b]
	return x.cost < y.cost || x.cost == y.cost && x.m.name < y.m.name
}
func (p *zoneCandidates) Swap(a, b int) { p.heap[a], p.heap[b] = p.heap[b], p.heap[a] }
func (p *zoneCandidates) Push(x any)    { p.heap = append(p.heap, x.(candidate)) }
func (p *zoneCandidates) Pop() any {
	last := p.heap[len(p.heap)-1]
	p.heap = p.heap[:len(p.heap)-1]
	return last
}

// lookout is what a kind of task has seen in a pass.
type candidateCache struct {
	byZone      []*zoneCandidates // in the order in which their machines were met
	changesSeen int               // of Core.changed
}

// add looks at a machine.
func (l *candidateCache) add(m *machine, cost int64) {
	for _, z := range l.byZone {
		if z.zone == m.zone {
			heap.Push(z, candidate{m, cost})
			return
		}
	}
	l.byZone = append(l.byZone, &zoneCandidates{zone: m.zone, heap: []candidate{{m, cost}}})
}

// choose finds the cheapest machine for a task of a kind, in the zones that its
// job allows, or in only. cost says what a machine costs now, and whether it will
// do; a machine that skip names will do for others of the kind, but not for this.
func (c *Core) cheapestCandidate(key searchKey, among []*machine, j *job, only string, cost func(*machine) (int64, bool), skip func(*machine) bool) *machine {
	l := c.candidateCaches[key]
	if l == nil {
		l = &candidateCache{}
		c.candidateCaches[key] = l
		c.machinesExamined += len(among)
		for _, m := range among {
			if n, ok := cost(m); ok {
				l.add(m, n)
			}
		}
	} else {
		for _, m := range c.changedMachines[l.changesSeen:] {
			c.machinesExamined++
			if n, ok := cost(m); ok {
				l.add(m, n)
			}
		}
	}
	l.changesSeen = len(c.changedMachines)
	var best candidate
	for _, z := range l.byZone {
		if only != "" && z.zone != only || !j.zoneAllowed(z.zone) {
			continue
		}
		var aside []candidate
		for len(z.heap) > 0 {
			top := &z.heap[0]
			if skip(top.m) {
				aside = append(aside, heap.Pop(z).(candidate))
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
			if now := (candidate{top.m, n}); best.m == nil || now.cost < best.cost || now.cost == best.cost && now.m.name < best.m.name {
				best = now
			}
			break
		}
		for _, a := range aside {
			heap.Push(z, a)
		}
	}
	return best.m
}
