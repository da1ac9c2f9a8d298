package simulator_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/simulator"
)

// followUpRequests polls all nodes repeatedly within milliseconds after a user got a job's state,
// and repeats the submission, also with other bodies. Some users cancel the job at once.
type followUpRequests struct {
	w              *simulator.World
	mu             sync.Mutex
	random         *simulator.Streams // by job
	cancels        bool               // some jobs of submitShortJobs are cancelled at once
	confirmations  int                // states answered to users and followed up
	answers        [3]int             // polls and submissions with an answer, by node
	unanswered     [3]int             // those without an answer, by node
	repeats        int                // repeated submissions that were answered with status 200
	repeatsChanged int                // those of them whose body would be refused for a new job
}

// install makes the world call onConfirmation for each state answered to a user.
func (l *followUpRequests) install(w *simulator.World) {
	l.w = w
	w.OnUserState(l.onConfirmation)
}

// countAnswer counts an answer of node i; the state "" stands for none.
func (l *followUpRequests) countAnswer(i int, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == "" {
		l.unanswered[i]++
	} else {
		l.answers[i]++
	}
}

// resubmit repeats a submission at node i, with another body if one is given.
func (l *followUpRequests) resubmit(i int, id string, body any) {
	status, state := l.w.Resubmit(i, id, body)
	l.countAnswer(i, state)
	l.mu.Lock()
	defer l.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	l.repeats++
	if body != nil {
		l.repeatsChanged++
	}
}

// onConfirmation polls a job at all nodes, and repeats its submission there.
func (l *followUpRequests) onConfirmation(id string) {
	l.mu.Lock()
	l.confirmations++
	r := l.random.Stream(id)
	cancel := l.cancels && id >= "job-001000" && r.IntN(6) == 0
	first, pause := r.IntN(3), time.Duration(r.IntN(8000))*time.Microsecond
	incomplete := map[string]any{"uid": id, "herd": "sweep"}
	otherTeam := array(0, 1, 1)
	otherTeam.ID, otherTeam.Team = id, "nobody"
	tooLarge := otherTeam
	tooLarge.Team, tooLarge.CPUs = "blue", 4000
	l.mu.Unlock()
	for i := range 3 {
		go func() {
			l.countAnswer(i, l.w.PollAt(i, id))
			time.Sleep(pause)
			l.countAnswer(i, l.w.PollAt(i, id))
		}()
		go l.resubmit(i, id, nil)
		go func() {
			time.Sleep(pause / 2)
			l.resubmit(i, id, []any{incomplete, &otherTeam, &tooLarge}[i])
		}()
	}
	if cancel {
		go func() {
			time.Sleep(pause)
			l.w.CancelAt(first, id)
			l.w.Cancel(id)
		}()
	}
}

// TestReadsAfterConfirmation tests reads right after a job was accepted, was done or was confirmed as
// cancelled: users poll all nodes within milliseconds, and repeat the submission; some cancel at once.
// No node may answer with an older state or refuse a job that was accepted. This holds also for a
// node that has just started or that the state service has just refused.
func TestReadsAfterConfirmation(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		l := &followUpRequests{random: simulator.NewStreams(seed), cancels: true}
		restarted := int(seed) % 3
		other := (restarted + 1) % 3
		at := func(d time.Duration) time.Duration { return d + time.Duration(seed%7)*150*ms }
		sc := scenario{setup: l.install, setupFaultsEnd: true, actions: []action{
			{at(30 * s), killNode(restarted)}, {at(30*s + 300*ms), startNode(restarted)},
			// Whether a user gets a state in these 0.3 s is random; this call ensures one follow-up.
			{at(30*s + 100*ms), func(*simulator.World) { l.onConfirmation("job-001000") }},
			{at(45 * s), func(w *simulator.World) { setStateRefused(w, other, true) }}, {at(62 * s), func(w *simulator.World) { setStateRefused(w, other, false) }},
			{at(70 * s), killAllNodes}, {at(70*s + 200*ms), startNode(other)}, {at(72 * s), startAllNodes},
		}}
		return sc, func(_ *testing.T, u *users) { submitShortJobs(u, 20*s, 90*s, 400*ms) }, func() string {
			t.Logf("%d states followed up, answers %v, unanswered %v, repeated submissions %d, of these with another body %d", l.confirmations, l.answers, l.unanswered, l.repeats, l.repeatsChanged)
			switch {
			case l.confirmations < 200 || slices.Min(l.answers[:]) < 200:
				return "answers of every node"
			case l.unanswered[restarted] == 0 || l.unanswered[other] == 0:
				return "unanswered requests to the restarted and the refused node"
			case l.repeats < 200 || l.repeatsChanged < 60:
				return "repeated submissions"
			}
			return ""
		}
	})
}
