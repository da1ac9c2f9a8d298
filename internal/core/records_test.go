package core

import (
	"fmt"
	"testing"
)

// TestRecordedFirst: no start goes to a machine that is not recorded, nor for a
// job that is not recorded as opened.
func TestRecordedFirst(t *testing.T) {
	for _, key := range []string{MachinePrefix, OpenPrefix} {
		t.Run(key, func(t *testing.T) {
			w := newWorld(t, blue)
			w.begin(100, nil, Snapshot{})
			w.failKey = key
			f := w.machine("n-1", "a").beat()
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
			round := func() {
				w.pass(Second)
				f.direct()
				f.beat()
			}
			for range 5 {
				round()
			}
			w.want("started before it was recorded", f.live(), "")
			w.failKey = ""
			for range 3 {
				round()
			}
			w.want("started", f.live(), "job-1/0 ")
			w.want("machine recorded", fmt.Sprint(w.puts[w.c.machines["n-1"].chunk.key]), "{ [{n-1 n-1:1 m a false}]}")
			w.want("job opened", w.puts[OpenPrefix+"job-1"] != nil, true)
		})
	}
}

// TestMachineRecords: machines share records, a write that may still be
// executed late can't take from a record what a later one added, and machines
// that are gone leave their record.
func TestMachineRecords(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	w.failKey, w.failAs = MachinePrefix, WriteUnknown
	for i := range 5 {
		w.machine(fmt.Sprintf("n-%d", i), "a").beat()
	}
	w.want("recorded", w.c.machines["n-0"].recorded, false)
	w.failKey = ""
	w.pass(Second)
	keys := map[string]int{}
	for k, v := range w.puts {
		if r, ok := v.(MachinesRecord); ok {
			keys[k] = len(r.Machines)
			w.want("a key that was tried before", k == MachinePrefix+"100-1", false)
		}
	}
	w.want("records", len(keys), 2)
	w.want("the key tried before is dropped", w.drops[MachinePrefix+"100-1"], true)
	w.want("recorded", w.c.machines["n-0"].recorded && w.c.machines["n-4"].recorded, true)
	first := w.c.machines["n-0"].chunk.key
	for _, n := range []string{"n-0", "n-1", "n-2"} {
		w.c.Returned(w.now, []string{n}, true)
	}
	w.pass(3 * Second)
	r, _ := w.puts[first].(MachinesRecord)
	w.want("left in the first record", fmt.Sprint(r.Machines), "[{n-3 n-3:1 m a false}]")
	w.c.Returned(w.now, []string{"n-3"}, true)
	w.pass(3 * Second)
	w.want("an empty record is dropped", w.drops[first], true)
}
