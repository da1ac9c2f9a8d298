package simulator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/simulator"
)

var drawnDays = flag.Int("drawn", 12, "how many drawn days of cuts TestDrawnCuts plays")

// wideJobs keep some twenty machines busy in three zones: services above all, of
// which some end while a zone is cut off, and arrays beside them.
func wideJobs(t *testing.T, u *users) {
	const s = time.Second
	w := u.w
	for i := range 12 {
		job := service(500+i, 6)
		if i >= 8 { // the others are in two zones
			job.Zone, job.Spread = "c", false
		}
		u.after(time.Duration(i)*s, func() {
			if !w.Submit(job) {
				return
			}
			u.must(job.ID, "running")
			time.Sleep(time.Duration(25+i*9) * s)
			w.Cancel(job.ID)
		})
	}
	for i := range 8 {
		job := array(600+i, 6, 12)
		u.after(time.Duration(12*i)*s, func() { u.run(job) })
	}
}

// cuts are troubles that a day begins and ends: what they took is remembered in
// between.
type cuts struct {
	zone   string // of the node that led when the cut began, or another's
	hung   []*simulator.Worker
	frozen int
	ended  int
}

func cutZone(zone string, on bool) func(*simulator.World) {
	return func(w *simulator.World) { w.Net.CutZone(zone, on) }
}

// cutOff cuts off the zone of the node that comes so many after the leader.
func (c *cuts) cutOff(after int) func(*simulator.World) {
	return func(w *simulator.World) {
		c.zone = w.Nodes[(max(w.Leader(), 0)+after)%3].Zone
		w.Net.CutZone(c.zone, true)
	}
}

func (c *cuts) mend(w *simulator.World) { w.Net.CutZone(c.zone, false) }

func (c *cuts) hang(w *simulator.World) {
	for i, k := range w.Cloud.Workers() {
		if i%3 == 0 {
			k.Hang(true)
			c.hung = append(c.hung, k)
		}
	}
}

func (c *cuts) goOn(*simulator.World) {
	for _, k := range c.hung {
		k.Hang(false)
	}
	c.hung = nil
}

func (c *cuts) freeze(w *simulator.World) {
	c.frozen = max(w.Leader(), 0)
	w.Freeze(c.frozen, true)
}

func (c *cuts) thaw(w *simulator.World) { w.Freeze(c.frozen, false) }

func stateDown(on bool) func(*simulator.World) {
	return func(w *simulator.World) {
		w.StateFaults.Set(func(f *simulator.Faults) { f.Down = on })
		if !on {
			w.State.Renewed()
		}
	}
}

func blindLeader(w *simulator.World) {
	w.StateFaults.Set(func(f *simulator.Faults) { f.RefuseReads[w.NodeAddr(max(w.Leader(), 0))] = true })
}

// fill submits more than there is room for.
func fill(w *simulator.World) {
	for i := range 3 {
		w.Submit(array(700+i, 40, 40))
	}
}

func refuseText(text string) func(*simulator.World) {
	return func(w *simulator.World) { w.StateFaults.Set(func(f *simulator.Faults) { f.RefuseText = text }) }
}

func sighted(w *simulator.World) {
	w.StateFaults.Set(func(f *simulator.Faults) { clear(f.RefuseReads) })
}

func playCut(t *testing.T, d day) {
	p := platform()
	p.Params.Teams = p.Params.Teams[:1] // blue
	addTeam(&p, "green", 100, 200, 0, 0)
	play(t, d, p, machineTypes[:1], wideJobs)
}

// TestCutDays plays days on which many machines or a controller fall silent
// together and go on later. What fails without which guard is in
// docs/design/zone-cut.md.
func TestCutDays(t *testing.T) {
	const s = time.Second
	c := &cuts{}
	for _, day := range []day{
		{name: "a zone without the leader is cut off for a while", seed: 31, kept: true, acts: []act{{50 * s, c.cutOff(1)}, {70 * s, c.mend}}},
		{name: "the leader's zone is cut off for a while", seed: 32, kept: true, acts: []act{{50 * s, c.cutOff(0)}, {70 * s, c.mend}}},
		{name: "a zone is cut off for longer than its leases last", seed: 33, acts: []act{{50 * s, c.cutOff(1)}, {110 * s, c.mend}}},
		{name: "the leader's zone is cut off for longer than that", seed: 34, acts: []act{{50 * s, c.cutOff(0)}, {110 * s, c.mend}}},
		{name: "a zone is cut off and mended twice", seed: 35, acts: []act{
			{45 * s, cutZone("b", true)}, {60 * s, cutZone("b", false)}, {63 * s, cutZone("b", true)}, {83 * s, cutZone("b", false)},
		}},
		{name: "two leaders are cut off one after the other", seed: 36, acts: []act{
			{45 * s, c.cutOff(0)}, {65 * s, c.mend}, {66 * s, c.cutOff(0)}, {90 * s, c.mend},
		}},
		{name: "controllers end while a zone is cut off", seed: 37, acts: []act{
			{45 * s, cutZone("a", true)}, {52 * s, kill(0)}, {56 * s, start(0)}, {58 * s, kill(1)}, {62 * s, start(1)}, {85 * s, cutZone("a", false)},
		}},
		{name: "a zone is cut off in an outage of the state service", seed: 38, acts: []act{
			{45 * s, stateDown(true)}, {50 * s, cutZone("b", true)}, {62 * s, stateDown(false)}, {88 * s, cutZone("b", false)},
		}},
		{name: "many machines hang and go on", seed: 39, acts: []act{{45 * s, c.hang}, {70 * s, c.goOn}, {80 * s, c.hang}, {88 * s, c.goOn}}},
		{name: "the leader stands still for half a minute", seed: 40, acts: []act{{45 * s, c.freeze}, {75 * s, c.thaw}, {78 * s, c.freeze}, {108 * s, c.thaw}}},
		{name: "a leader ends before the record of a cut that is over does", seed: 43, acts: []act{
			{50 * s, c.cutOff(1)}, {58 * s, refuseText("b/kept/")}, {60 * s, c.mend}, {66 * s, fill}, {75 * s, func(w *simulator.World) {
				w.Net.CutZone(c.zone, true)
				c.ended = max(w.Leader(), 0)
				w.Kill(c.ended)
			}}, {95 * s, c.mend}, {96 * s, refuseText("")}, {96 * s, func(w *simulator.World) { w.StartNode(c.ended) }},
		}},
		{name: "the leader reads nothing from the state service", seed: 42, acts: []act{{50 * s, blindLeader}, {130 * s, sighted}}},
		{name: "all controllers end in an outage of the state service", seed: 41, acts: []act{
			{45 * s, stateDown(true)}, {50 * s, killAll}, {54 * s, startAll}, {66 * s, stateDown(false)},
		}},
	} {
		t.Run(day.name, func(t *testing.T) { playCut(t, day) })
	}
}

// TestLeaseEnds: a stand-in's worker ends its tasks when its lease is over and not
// later, as the protocol has it. It looked twice a second, so up to half a second too
// late, and drawn days broke ran_twice: a leader that counted the lease down rightly
// started the tasks elsewhere meanwhile.
func TestLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform()
		w := simulator.NewWorld(61, p, machineTypes[:1])
		defer w.Close()
		startAll(w)
		time.Sleep(10 * time.Second)
		w.Submit(service(1, 1))
		time.Sleep(60*time.Second + 137*time.Millisecond)
		var k *simulator.Worker
		for _, o := range w.Cloud.Workers() {
			if len(o.Running()) > 0 {
				k = o
			}
		}
		if k == nil {
			t.Fatal("nothing runs")
		}
		lease := time.Duration(p.Params.Workers.LeaseS * float64(time.Second))
		killAll(w)
		over := k.Answered().Add(lease)
		time.Sleep(time.Until(over) - time.Millisecond)
		if len(k.Running()) == 0 {
			t.Error("its tasks ended before its lease did")
		}
		time.Sleep(2 * time.Millisecond)
		if got := k.Running(); len(got) > 0 {
			t.Errorf("%v run after the lease", got)
		}
	})
}

// trouble is a kind of trouble; it gives the acts of one that begins at a time.
type trouble struct {
	name string
	acts func(r *rand.Rand, at time.Duration) []act
}

// drawn is the day of a seed on which troubles begin, each at a time that is drawn from
// so many seconds on.
func drawn(r *rand.Rand, number int, seed uint64, troubles []trouble, from, to int) day {
	d := day{seed: seed}
	var names []string
	for _, k := range troubles {
		names = append(names, k.name)
		d.acts = append(d.acts, k.acts(r, between(r, from, to))...)
	}
	slices.Sort(names)
	d.name = fmt.Sprintf("%d %s", number, strings.Join(names, ", "))
	return d
}

// troubleKinds are the kinds that TestDrawnCuts combines.
var troubleKinds = []trouble{
	{"zone cut", func(r *rand.Rand, at time.Duration) []act {
		c := &cuts{}
		return []act{{at, c.cutOff(r.IntN(3))}, {at + between(r, 12, 60), c.mend}}
	}},
	{"leader frozen", func(r *rand.Rand, at time.Duration) []act {
		c := &cuts{}
		return []act{{at, c.freeze}, {at + between(r, 4, 30), c.thaw}}
	}},
	{"leader ends", func(r *rand.Rand, at time.Duration) []act {
		ended := 0
		return []act{{at, func(w *simulator.World) { ended = max(w.Leader(), 0); w.Kill(ended) }},
			{at + between(r, 2, 10), func(w *simulator.World) { w.StartNode(ended) }}}
	}},
	{"all end", func(r *rand.Rand, at time.Duration) []act {
		return []act{{at, killAll}, {at + between(r, 2, 10), startAll}}
	}},
	{"state out", func(r *rand.Rand, at time.Duration) []act {
		return []act{{at, stateDown(true)}, {at + between(r, 4, 35), stateDown(false)}}
	}},
	{"state out for one", func(r *rand.Rand, at time.Duration) []act {
		i := r.IntN(3)
		refuse := func(on bool) func(*simulator.World) {
			return func(w *simulator.World) {
				w.StateFaults.Set(func(f *simulator.Faults) { f.Refuse[w.NodeAddr(i)] = on })
			}
		}
		return []act{{at, refuse(true)}, {at + between(r, 4, 40), refuse(false)}}
	}},
	{"peers refused", func(r *rand.Rand, at time.Duration) []act {
		refuse := func(on bool) func(*simulator.World) {
			return func(w *simulator.World) { w.CutPeers(on) }
		}
		return []act{{at, refuse(true)}, {at + between(r, 5, 40), refuse(false)}}
	}},
}

func between(r *rand.Rand, from, to int) time.Duration {
	return time.Duration(from*1000+r.IntN((to-from)*1000)) * time.Millisecond
}

// TestDrawnCuts plays days on which a zone is cut off and one to three other
// troubles fall into the same half minute, drawn by seed. The long form, outside CI:
//
//	go test ./internal/simulator -run TestDrawnCuts -drawn 500
func TestDrawnCuts(t *testing.T) {
	for seed := range *drawnDays {
		r := rand.New(rand.NewPCG(uint64(seed), 22))
		kinds := troubleKinds[:1:1]
		for _, k := range r.Perm(len(troubleKinds) - 1)[:1+r.IntN(3)] {
			kinds = append(kinds, troubleKinds[k+1])
		}
		d := drawn(r, seed, uint64(1000+seed), kinds, 45, 75)
		t.Run(d.name, func(t *testing.T) { playCut(t, d) })
	}
}
