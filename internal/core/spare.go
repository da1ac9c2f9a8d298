package core

import "math"

// A service is to start within seconds and a machine takes half a minute, so
// room is kept for services that are expected: for a share of the tasks that
// come, at the rate they came lately, while a machine is rented, and for one
// job more.

// spareShare is that share: room falls free meanwhile as well. With all of them
// nothing started sooner that an aim could tell, for a tenth more money.
const spareShare = 0.4

// arrivals is what has been seen of a class of services.
type arrivals struct {
	need  Res // of the last one's tasks
	first Micros
	last  Micros
	count int
	rate  float64 // tasks a microsecond, as of last
	size  float64 // tasks of a job, smoothed
	mb    float64 // of its image, smoothed
}

// rateWindow is over how long the rate is smoothed.
const rateWindow = 60 * Second

// seen notes a service. After a takeover they come in no order.
func (a *arrivals) seen(j *job) {
	tasks := float64(len(j.status))
	if a.count == 0 {
		a.first, a.last, a.size, a.mb = j.submitted, j.submitted, tasks, float64(j.spec.ImageMB)
	}
	a.mb += (float64(j.spec.ImageMB) - a.mb) / 8
	a.need = j.spec.Need
	a.size += (tasks - a.size) / 8
	a.first = min(a.first, j.submitted)
	if j.submitted > a.last {
		a.rate = a.rateAt(j.submitted)
		a.last = j.submitted
	}
	a.rate += tasks / float64(rateWindow) * math.Exp(-float64(a.last-j.submitted)/float64(rateWindow))
	a.count++
}

func (a *arrivals) rateAt(now Micros) float64 {
	return a.rate * math.Exp(-float64(now-a.last)/float64(rateWindow))
}

// expected reports whether more services of the class are to be expected:
// three times the usual pause has not passed yet.
func (a *arrivals) expected(now Micros) bool {
	if a.count == 0 {
		return false
	}
	pause := 10 * Second
	if a.count > 1 {
		pause = max(pause, (a.last-a.first)/Micros(a.count-1))
	}
	return now-a.last < 3*pause
}

// countSpare works out for how many tasks of services room is wanted, and
// counts, by zone, how many could start at once.
func (c *Core) countSpare(now Micros) {
	c.spareNeed, c.spareWant, c.spareInZone, c.spareRate = Res{}, 0, 0, 0
	want := 0.0
	for _, k := range c.classes {
		a := &k.services
		if !a.expected(now) {
			continue
		}
		c.spareNeed.CPU = max(c.spareNeed.CPU, a.need.CPU)
		c.spareNeed.GPU = max(c.spareNeed.GPU, a.need.GPU)
		c.spareNeed.Mem = max(c.spareNeed.Mem, a.need.Mem)
		if len(k.within) > 0 {
			c.spareRate = max(c.spareRate, a.mb/(float64(k.within[0])/float64(Second)))
		}
		want += spareShare*a.rateAt(now)*float64(c.lead(&JobSpec{Need: a.need})) + a.size
	}
	need, tasks := c.movingOut(now)
	c.spareNeed = c.spareNeed.most(need)
	want += float64(tasks)
	clear(c.spare)
	if c.spareNeed == (Res{}) {
		return
	}
	zones := map[string]bool{}
	for _, t := range c.typeOrder {
		if c.spareNeed.Fits(t.Cap) {
			for _, z := range t.Zones {
				if !c.cutOff(z, now) {
					zones[z] = true
				}
			}
		}
	}
	c.spareInZone = max(c.cfg.Tuning.SpareTasks, int(math.Ceil(want/float64(max(len(zones), 1)))))
	c.spareWant = max(2*c.cfg.Tuning.SpareTasks, int(math.Ceil(want)))
	for _, m := range c.order {
		if !m.spot && c.usable(m, now) {
			c.spare[m.zone] += c.spareOn(m)
		}
	}
}

// spareOn is how many tasks of services the machine has room for. What is lent counts as if it
// were there: kept anew out of the room that falls free, it would be taken from jobs that are
// in time, for those that had waited for long.
func (c *Core) spareOn(m *machine) int { return c.spareNeed.copies(m.free().Add(m.lent)) }

// takesSpare reports whether a batch task on the ordinary machine would take
// room that is kept for services. Every machine keeps room for one, as each has
// other images in its cache, if there is little room, or if a service's start is
// too late once its image has to be fetched.
func (c *Core) takesSpare(need Res, m *machine) bool {
	if m.spot || c.spareNeed == (Res{}) {
		return false
	}
	left := c.spareNeed.copies(m.free().Add(m.lent).Sub(need))
	zone := c.spare[m.zone] - c.spareOn(m) + left
	if zone < c.spareInZone || left > 0 {
		return zone < c.spareInZone
	}
	return zone < 2*c.spareInZone || float64(m.typ.FetchMBps) < fetchSpread*c.spareRate
}

// fetchSpread is how much longer than usual a fetch may well take.
const fetchSpread = 1.5

// neededSpare reports whether services could lack room without the machine.
func (c *Core) neededSpare(m *machine) bool {
	if m.spot || c.spareNeed == (Res{}) {
		return false
	}
	all := 0
	for _, n := range c.spare {
		all += n
	}
	n := c.spareOn(m)
	return c.spare[m.zone]-n < c.spareInZone || all-n < c.spareWant
}

// spareAtMost is how many times the cheapest price spare room may cost.
const spareAtMost = 2.0

// spare rents the room that is missing, in two zones at least.
func (d *demand) spare() {
	c := d.c
	if c.spareNeed == (Res{}) {
		return
	}
	have, all := map[string]int{}, 0
	for z, n := range c.spare {
		have[z] += n
		all += n
	}
	for _, r := range d.coming {
		if !r.spot {
			n := c.spareNeed.copies(r.free)
			have[r.zone] += n
			all += n
		}
	}
	price := func(t *MachineType, missing int) float64 {
		return t.Price / float64(min(c.spareNeed.copies(t.Cap), missing))
	}
	cheapest := math.Inf(1)
	for _, t := range c.typeOrder {
		if c.spareNeed.Fits(t.Cap) {
			cheapest = min(cheapest, price(t, c.spareInZone))
		}
	}
	for {
		good := 0
		for _, n := range have {
			if n >= c.spareInZone {
				good++
			}
		}
		if good >= 2 && all >= c.spareWant {
			return
		}
		var best offer
		// Room that may never be used is not worth a machine that is dear for
		// its size; it is tried again when the cheap ones are not refused.
		bestPrice := spareAtMost * cheapest
		for _, t := range c.typeOrder {
			if !c.spareNeed.Fits(t.Cap) {
				continue
			}
			for _, z := range t.Zones {
				missing := c.spareWant - all
				if good < 2 {
					missing = c.spareInZone - have[z]
				}
				of := offer{t.Name, z, false}
				if missing > 0 && d.open(of) && price(t, missing) < bestPrice {
					best, bestPrice = of, price(t, missing)
				}
			}
		}
		if best == (offer{}) {
			return
		}
		n := c.spareNeed.copies(d.add(best, "spare room for services").free)
		have[best.zone] += n
		all += n
	}
}
