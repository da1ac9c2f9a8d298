package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"path"
	"sync"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// Classes of jobs.
const (
	classBatch   = "batch"
	classService = "service"
	classUrgent  = "urgent"
)

// Team is a team with its quota.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
	weight        float64
}

const (
	teamSizeExponent = 0.7  // the nth team's share falls with n to this power
	guaranteedShare  = 0.85 // of the fleet
	urgentTeam       = "team-urgent"
	urgentHeadroom   = 3 // times what runs on the average
	maxQuotaFactor   = 3 // a team's max by its min
)

// makeTeams divides the fleet among teams of very different size.
func makeTeams(s *Settings) []Team {
	perMachine := math.Floor(s.MachineCPUs/s.TaskCPUs) * s.TaskCPUs
	fleet := perMachine * float64(s.Workers)
	sum := 0.0
	teams := make([]Team, s.Teams)
	last := len(teams) - 1
	for i := range teams[:last] {
		teams[i].weight = math.Pow(float64(i+1), -teamSizeExponent)
		sum += teams[i].weight
	}
	for i := range teams[:last] {
		t := &teams[i]
		t.Name = fmt.Sprintf("team-%03d", i+1)
		t.weight /= sum
		t.CPUs = max(math.Floor(guaranteedShare*fleet*t.weight), s.TaskCPUs)
		t.CPUsMax = max(maxQuotaFactor*t.CPUs, 20*s.TaskCPUs)
	}
	// Urgent work has a team whose guarantee covers it: beyond a guarantee it waits for room
	// as all work does.
	guarantee := math.Ceil(urgentHeadroom*s.UrgentPerS*urgentRunS) * s.TaskCPUs
	teams[last] = Team{Name: urgentTeam, CPUs: max(guarantee, s.TaskCPUs), CPUsMax: max(2*guarantee, s.TaskCPUs)}
	return teams
}

const (
	tasksPerService     = 20
	firstServiceAfter   = 12 * time.Second // until the controllers know the fleet
	serviceSubmitPeriod = 40 * time.Second // they are all submitted
	firstArrivalAfter   = 20 * time.Second
	urgentRunS          = 10
	imageCount          = 8
	imageGB             = 0.2
	taskMemGB           = 8
	jobPollInterval     = 5 * time.Second
	submitRetryInterval = time.Second
	submitTimeout       = 60 * time.Second
)

// users submit jobs and ask about them.
type users struct {
	run               *Run
	http              *http.Client
	wg                sync.WaitGroup
	mu                sync.Mutex
	random            *simulator.Streams // by class, so that the load of a seed is the same in each run
	lastJob           int
	jobs              map[string]*simulator.Spec
	urgentSubmittedAt map[string]time.Time // urgent jobs, first attempt to submit

	submissionLatency *latencyHistogram // until it was accepted
	urgentLatency     *latencyHistogram // of urgent work
	urgentLate        int               // urgent work that began after what is wanted
	submittedByClass  map[string]int
	submissionsFailed int // submissions that were given up
	queries           int
	queriesUnanswered int
}

func newUsers(r *Run) *users {
	return &users{
		run: r, random: simulator.NewStreams(uint64(r.settings.Seed)), jobs: map[string]*simulator.Spec{}, urgentSubmittedAt: map[string]time.Time{},
		http:              &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		submissionLatency: newLatencyHistogram(), urgentLatency: newLatencyHistogram(), submittedByClass: map[string]int{},
	}
}

// drawn is what chance says of a job.
type randomJob struct {
	id            string
	team          string
	image         string
	runTimeFactor float64 // its run time by the mean
	tasks         int
}

func (u *users) drawJob(class string) randomJob {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastJob++
	random := u.random.Stream(class)
	d := randomJob{id: fmt.Sprintf("job-%06d", u.lastJob), image: fmt.Sprintf("image-%d", random.IntN(imageCount)), runTimeFactor: 0.5 + random.Float64()}
	mean := float64(u.run.settings.ArrayTasks)
	d.tasks = max(1, int(mean*(0.5+random.Float64())))
	at := random.Float64()
	for _, t := range u.run.teams {
		d.team = t.Name
		if at -= t.weight; at < 0 {
			break
		}
	}
	return d
}

func (u *users) spec(d randomJob, class string) *simulator.Spec {
	s := &u.run.settings
	j := &simulator.Spec{
		ID: d.id, Class: class, Team: d.team, Shape: "batch", Urgency: "standard", Tasks: d.tasks, CPUs: s.TaskCPUs, MemGB: taskMemGB,
		Image: d.image, ImageGB: imageGB, EstimateS: s.arrayRunS(), RunS: s.arrayRunS() * d.runTimeFactor,
	}
	switch class {
	case classService:
		j.Shape, j.Urgency, j.Tasks, j.EstimateS, j.RunS, j.Spread = "standing", "production", tasksPerService, 0, 0, true
	case classUrgent:
		j.Urgency, j.Tasks, j.EstimateS, j.RunS, j.Team = "high", 1, urgentRunS, urgentRunS, urgentTeam
	}
	return j
}

// load submits the run's load until ctx ends.
func (u *users) startLoad(ctx context.Context) {
	s := &u.run.settings
	services := int(float64(s.RunningTasks) * s.ServiceShare / tasksPerService)
	for i := range services {
		at := firstServiceAfter + time.Duration(float64(serviceSubmitPeriod)*float64(i)/float64(services))
		j := u.spec(u.drawJob(classService), classService)
		u.wg.Go(func() {
			if wait.For(ctx, at) {
				u.runJob(ctx, j)
			}
		})
	}
	u.wg.Go(func() { u.submitArrivals(ctx, classBatch, s.StartsPerS/float64(s.ArrayTasks)) })
	u.wg.Go(func() { u.submitArrivals(ctx, classUrgent, s.UrgentPerS) })
}

// arrive has jobs of a class come by a Poisson process.
func (u *users) submitArrivals(ctx context.Context, class string, perS float64) {
	if perS <= 0 || !wait.For(ctx, firstArrivalAfter) {
		return
	}
	for {
		u.mu.Lock()
		gap := u.random.Stream(class).ExpFloat64() / perS
		u.mu.Unlock()
		if !wait.For(ctx, seconds(gap)) {
			return
		}
		j := u.spec(u.drawJob(class), class)
		u.wg.Go(func() { u.runJob(ctx, j) })
	}
}

// live submits a job and asks about it until it is over.
func (u *users) runJob(ctx context.Context, j *simulator.Spec) {
	u.mu.Lock()
	u.jobs[j.ID] = j
	u.submittedByClass[j.Class]++
	if j.Class == classUrgent {
		u.urgentSubmittedAt[j.ID+"/0"] = time.Now()
	}
	u.mu.Unlock()
	if !u.submit(ctx, j) {
		return
	}
	for wait.For(ctx, jobPollInterval) {
		if u.pollJob(ctx, j.ID) {
			return
		}
	}
}

func (u *users) submit(ctx context.Context, j *simulator.Spec) bool {
	body, err := wire.Marshal(j)
	if err != nil {
		return false
	}
	begun := time.Now()
	for time.Since(begun) < submitTimeout {
		status, _ := u.request(ctx, http.MethodPost, wire.JobsPath, body, 5*time.Second)
		switch status {
		case http.StatusOK, http.StatusCreated:
			u.submissionLatency.add(time.Since(begun))
			u.run.recordNow(func() { u.run.rules.JobAccepted(j.ID) })
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.run.recordNow(func() { u.run.rules.JobRefused(j.ID, status) })
			u.countFailedSubmission()
			return false
		}
		if !wait.For(ctx, submitRetryInterval) {
			return false
		}
	}
	u.countFailedSubmission()
	return false
}

func (u *users) countFailedSubmission() {
	u.mu.Lock()
	u.submissionsFailed++
	u.mu.Unlock()
}

// ask asks about a job and reports whether it is over.
func (u *users) pollJob(ctx context.Context, id string) (over bool) {
	var before simulator.ObservedState
	u.run.recordNow(func() { before = u.run.rules.LastObserved(id) })
	status, body := u.request(ctx, http.MethodGet, path.Join(wire.JobsPath, id), nil, 2*time.Second)
	u.mu.Lock()
	u.queries++
	if status != http.StatusOK && status != http.StatusNotFound {
		u.queriesUnanswered++
	}
	u.mu.Unlock()
	var s wire.JobState
	switch {
	case status == http.StatusNotFound:
		s.State = "unknown"
	case status != http.StatusOK || wire.Unmarshal(body, &s) != nil:
		return false
	}
	u.run.recordNow(func() { u.run.rules.ObserveState(id, s.State, before) })
	return s.State == wire.StateDone || s.State == wire.StateCancelled
}

// request sends a request to a healthy controller.
func (u *users) request(ctx context.Context, method, at string, body []byte, timeout time.Duration) (int, []byte) {
	address := u.run.healthyController()
	if address == "" {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+at, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	status, b := simulator.Exchange(u.http, req)
	if status != 0 {
		u.run.messages.add("users "+method+" "+wire.JobsPath, len(body), len(b))
	}
	return status, b
}

// began notes that a task is on a machine.
func (u *users) taskStarted(task string, at time.Time) {
	u.mu.Lock()
	begun, ok := u.urgentSubmittedAt[task]
	delete(u.urgentSubmittedAt, task)
	u.mu.Unlock()
	if !ok {
		return
	}
	u.urgentLatency.add(at.Sub(begun))
	if at.Sub(begun) > seconds(u.run.settings.UrgentWithinS) {
		u.mu.Lock()
		u.urgentLate++
		u.mu.Unlock()
	}
}

// job is a job's description.
func (u *users) job(id string) *simulator.Spec {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id]
}

// ServeHTTP serves jobs' descriptions to workers.
func (u *users) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := u.job(path.Base(r.URL.Path))
	if j == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(j)
}
