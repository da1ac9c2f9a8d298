package node

import (
	"fmt"
	"testing"

	"aspenstall/internal/core"
)

// BenchmarkDependents measures what a node spends on each of 10,000 jobs that wait for one: when it is
// accepted, and when the one is done, or is cancelled while all of them wait for another one as well. See
// docs/SCALE.md.
func BenchmarkDependents(b *testing.B) {
	const dependents = 10_000
	first := core.JobRecord{Spec: core.JobSpec{ID: "job-1", Team: "blue", Tasks: 1}, SubmittedAt: 1, Revision: 5}
	second := first
	second.Spec.ID = "job-2"
	for _, phase := range []core.Phase{core.Done, core.Cancelled} {
		b.Run(fmt.Sprint("phase ", phase), func(b *testing.B) {
			var accepting, settling float64
			dependencies := []string{first.Spec.ID}
			if phase == core.Cancelled {
				dependencies = append(dependencies, second.Spec.ID)
			}
			for range b.N {
				n := newTestNode()
				n.applyJob(first)
				n.applyJob(second)
				began := n.now()
				for i := range dependents {
					n.applyJob(core.JobRecord{SubmittedAt: 1, Revision: 5, Spec: core.JobSpec{
						ID: fmt.Sprintf("job-9%05d", i), Team: "blue", Tasks: 1, Deadline: core.Micros(i) * core.Second, Chain: &core.Chain{Dependencies: dependencies},
					}})
				}
				accepted := n.now()
				final := first.Final(phase, 9)
				final.Revision = 6
				n.applyJob(final)
				accepting += float64(accepted-began) / dependents
				settling += float64(n.now()-accepted) / dependents
				if n.chains.graph.Size() != 0 {
					b.Fatalf("%d jobs still wait", n.chains.graph.Size())
				}
			}
			b.ReportMetric(accepting/float64(b.N), "us/accepted")
			b.ReportMetric(settling/float64(b.N), "us/settled")
		})
	}
}
