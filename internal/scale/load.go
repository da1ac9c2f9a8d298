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

// Team is a team with its quota. Its guarantee is CPUs, its limit CPUsMax.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
	weight        float64 // share of the jobs
}

const (
	teamSizeExponent = 0.7  // the share of the nth team is proportional to 1/n^teamSizeExponent
	guaranteedShare  = 0.85 // of the fleet's CPUs, all teams but urgentTeam together
	urgentTeam       = "team-urgent"
	urgentHeadroom   = 3 // guarantee of the urgent team, as a multiple of the CPUs it uses on average
	maxQuotaFactor   = 3 // limit of a team, as a multiple of its guarantee
)

// makeTeams divides the fleet's guaranteed CPUs among teams whose sizes follow a power law. The
// last team is urgentTeam.
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
	// The guarantee of the urgent team covers all urgent work: tasks beyond a guarantee wait for
	// capacity, whatever their priority.
	guarantee := math.Ceil(urgentHeadroom*s.UrgentPerS*urgentRunS) * s.TaskCPUs
	teams[last] = Team{Name: urgentTeam, CPUs: max(guarantee, s.TaskCPUs), CPUsMax: max(2*guarantee, s.TaskCPUs)}
	return teams
}

// Parameters of the load.
const (
	tasksPerService     = 20
	firstServiceAfter   = 12 * time.Second // the controllers know the fleet by then
	serviceSubmitPeriod = 40 * time.Second // all services are submitted within it
	firstArrivalAfter   = 20 * time.Second
	urgentRunS          = 10
	imageCount          = 8
	imageGB             = 0.2
	taskMemGB           = 8
	jobPollInterval     = 5 * time.Second
	submitRetryInterval = time.Second
	submitTimeout       = 60 * time.Second
)

// users simulates users, who submit jobs and poll their states.
type users struct {
	run               *Run
	http              *http.Client
	wg                sync.WaitGroup
	mu                sync.Mutex
	random            *simulator.Streams // one stream per class, so that a seed gives the same load in each run
	lastJob           int
	jobs              map[string]*simulator.Spec
	urgentSubmittedAt map[string]time.Time // by task: first attempt to submit its job

	submissionLatency *latencyHistogram // from the first attempt until the job was accepted
	urgentLatency     *latencyHistogram // of urgent jobs, from the first attempt to submit until the task started
	urgentLate        int               // urgent tasks that started later than Settings.UrgentWithinS
	submittedByClass  map[string]int
	submissionsFailed int // refused, or not accepted within submitTimeout
	queries           int
	queriesUnanswered int
}

// newUsers returns users that have not submitted any jobs.
func newUsers(r *Run) *users {
	return &users{
		run: r, random: simulator.NewStreams(uint64(r.settings.Seed)), jobs: map[string]*simulator.Spec{}, urgentSubmittedAt: map[string]time.Time{},
		http:              &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		submissionLatency: newLatencyHistogram(), urgentLatency: newLatencyHistogram(), submittedByClass: map[string]int{},
	}
}

// randomJob is the random part of a job's description.
type randomJob struct {
	id            string
	team          string
	image         string
	runTimeFactor float64 // run time, as a multiple of the mean
	tasks         int
}

// drawJob draws a job of a class: its team by weight, its image, size and run time.
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

// spec returns the description of a job of a class.
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

// startLoad starts to submit the run's load, which goes on until ctx ends.
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

// submitArrivals submits jobs of a class as a Poisson process of ratePerS jobs per second.
func (u *users) submitArrivals(ctx context.Context, class string, ratePerS float64) {
	if ratePerS <= 0 || !wait.For(ctx, firstArrivalAfter) {
		return
	}
	for {
		u.mu.Lock()
		delay := u.random.Stream(class).ExpFloat64() / ratePerS
		u.mu.Unlock()
		if !wait.For(ctx, seconds(delay)) {
			return
		}
		j := u.spec(u.drawJob(class), class)
		u.wg.Go(func() { u.runJob(ctx, j) })
	}
}

// runJob submits a job and polls its state until it has finished.
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

// submit submits a job until it is accepted or refused, for at most submitTimeout. It reports
// whether the job was accepted.
func (u *users) submit(ctx context.Context, j *simulator.Spec) bool {
	body, err := wire.Marshal(j)
	if err != nil {
		return false
	}
	submittedAt := time.Now()
	for time.Since(submittedAt) < submitTimeout {
		status, _ := u.request(ctx, http.MethodPost, wire.JobsPath, body, 5*time.Second)
		switch status {
		case http.StatusOK, http.StatusCreated:
			u.submissionLatency.add(time.Since(submittedAt))
			u.run.recordNow(func() { u.run.checker.JobAccepted(j.ID) })
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.run.recordNow(func() { u.run.checker.JobRefused(j.ID, status) })
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

// countFailedSubmission counts a submission that was refused or timed out.
func (u *users) countFailedSubmission() {
	u.mu.Lock()
	u.submissionsFailed++
	u.mu.Unlock()
}

// pollJob requests a job's state and reports whether the job has finished.
func (u *users) pollJob(ctx context.Context, id string) (finished bool) {
	var before simulator.ObservedState
	u.run.recordNow(func() { before = u.run.checker.LastObserved(id) })
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
	u.run.recordNow(func() { u.run.checker.ObserveState(id, s.State, before) })
	return s.State == wire.StateDone || s.State == wire.StateCancelled
}

// request sends a request to a healthy controller. It returns status 0 without an answer.
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

// taskStarted records the start of a task. Only urgent tasks count.
func (u *users) taskStarted(task string, at time.Time) {
	u.mu.Lock()
	submittedAt, ok := u.urgentSubmittedAt[task]
	delete(u.urgentSubmittedAt, task)
	u.mu.Unlock()
	if !ok {
		return
	}
	u.urgentLatency.add(at.Sub(submittedAt))
	if at.Sub(submittedAt) > seconds(u.run.settings.UrgentWithinS) {
		u.mu.Lock()
		u.urgentLate++
		u.mu.Unlock()
	}
}

// job returns the description of a submitted job, or nil.
func (u *users) job(id string) *simulator.Spec {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id]
}

// ServeHTTP serves job descriptions to workers.
func (u *users) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := u.job(path.Base(r.URL.Path))
	if j == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(j)
}
