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
	teamSkew        = 0.7  // the nth team's share falls with n to this power
	guaranteedShare = 0.85 // of the fleet
	urgentTeam      = "team-urgent"
	urgentRoom      = 3 // times what runs on the average
	borrowTimes     = 3 // a team's max by its min
)

// makeTeams divides the fleet among teams of very different size.
func makeTeams(s *Settings) []Team {
	perMachine := math.Floor(s.MachineCPUs/s.TaskCPUs) * s.TaskCPUs
	fleet := perMachine * float64(s.Workers)
	sum := 0.0
	teams := make([]Team, s.Teams)
	last := len(teams) - 1
	for i := range teams[:last] {
		teams[i].weight = math.Pow(float64(i+1), -teamSkew)
		sum += teams[i].weight
	}
	for i := range teams[:last] {
		t := &teams[i]
		t.Name = fmt.Sprintf("team-%03d", i+1)
		t.weight /= sum
		t.CPUs = max(math.Floor(guaranteedShare*fleet*t.weight), s.TaskCPUs)
		t.CPUsMax = max(borrowTimes*t.CPUs, 20*s.TaskCPUs)
	}
	// Urgent work has a team whose guarantee covers it: beyond a guarantee it waits for room
	// as all work does.
	guarantee := math.Ceil(urgentRoom*s.UrgentPerS*urgentRunS) * s.TaskCPUs
	teams[last] = Team{Name: urgentTeam, CPUs: max(guarantee, s.TaskCPUs), CPUsMax: max(2*guarantee, s.TaskCPUs)}
	return teams
}

const (
	serviceTasks = 20
	serviceFrom  = 12 * time.Second // until the controllers know the fleet
	serviceFor   = 40 * time.Second // they are all submitted
	arraysFrom   = 20 * time.Second
	urgentRunS   = 10
	images       = 8
	imageGB      = 0.2
	taskMemGB    = 8
	askEvery     = 5 * time.Second
	retryAfter   = time.Second
	submitFor    = 60 * time.Second
)

// users submit jobs and ask about them.
type users struct {
	run    *Run
	http   *http.Client
	group  sync.WaitGroup
	mu     sync.Mutex
	random *simulator.Streams // by class, so that the load of a seed is the same in each run
	next   int
	known  map[string]*simulator.Spec
	begun  map[string]time.Time // urgent jobs, first attempt to submit

	submission *latencies // until it was accepted
	started    *latencies // of urgent work
	late       int        // urgent work that began after what is wanted
	submitted  map[string]int
	failed     int // submissions that were given up
	asked      int
	unanswered int
}

func newUsers(r *Run) *users {
	return &users{
		run: r, random: simulator.NewStreams(uint64(r.settings.Seed)), known: map[string]*simulator.Spec{}, begun: map[string]time.Time{},
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		submission: newLatencies(), started: newLatencies(), submitted: map[string]int{},
	}
}

// drawn is what chance says of a job.
type drawn struct {
	id    string
	team  string
	image string
	times float64 // its run time by the mean
	tasks int
}

func (u *users) draw(class string) drawn {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	random := u.random.Of(class)
	d := drawn{id: fmt.Sprintf("job-%06d", u.next), image: fmt.Sprintf("image-%d", random.IntN(images)), times: 0.5 + random.Float64()}
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

func (u *users) spec(d drawn, class string) *simulator.Spec {
	s := &u.run.settings
	j := &simulator.Spec{
		ID: d.id, Class: class, Team: d.team, Shape: "batch", Urgency: "standard", Tasks: d.tasks, CPUs: s.TaskCPUs, MemGB: taskMemGB,
		Image: d.image, ImageGB: imageGB, EstimateS: s.arrayRunS(), RunS: s.arrayRunS() * d.times,
	}
	switch class {
	case classService:
		j.Shape, j.Urgency, j.Tasks, j.EstimateS, j.RunS, j.Spread = "standing", "production", serviceTasks, 0, 0, true
	case classUrgent:
		j.Urgency, j.Tasks, j.EstimateS, j.RunS, j.Team = "high", 1, urgentRunS, urgentRunS, urgentTeam
	}
	return j
}

// load submits the run's load until ctx ends.
func (u *users) load(ctx context.Context) {
	s := &u.run.settings
	services := int(float64(s.RunningTasks) * s.ServiceShare / serviceTasks)
	for i := range services {
		at := serviceFrom + time.Duration(float64(serviceFor)*float64(i)/float64(services))
		j := u.spec(u.draw(classService), classService)
		u.group.Go(func() {
			if wait.For(ctx, at) {
				u.live(ctx, j)
			}
		})
	}
	u.group.Go(func() { u.arrive(ctx, classBatch, s.StartsPerS/float64(s.ArrayTasks)) })
	u.group.Go(func() { u.arrive(ctx, classUrgent, s.UrgentPerS) })
}

// arrive has jobs of a class come by a Poisson process.
func (u *users) arrive(ctx context.Context, class string, perS float64) {
	if perS <= 0 || !wait.For(ctx, arraysFrom) {
		return
	}
	for {
		u.mu.Lock()
		gap := u.random.Of(class).ExpFloat64() / perS
		u.mu.Unlock()
		if !wait.For(ctx, seconds(gap)) {
			return
		}
		j := u.spec(u.draw(class), class)
		u.group.Go(func() { u.live(ctx, j) })
	}
}

// live submits a job and asks about it until it is over.
func (u *users) live(ctx context.Context, j *simulator.Spec) {
	u.mu.Lock()
	u.known[j.ID] = j
	u.submitted[j.Class]++
	if j.Class == classUrgent {
		u.begun[j.ID+"/0"] = time.Now()
	}
	u.mu.Unlock()
	if !u.submit(ctx, j) {
		return
	}
	for wait.For(ctx, askEvery) {
		if u.ask(ctx, j.ID) {
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
	for time.Since(begun) < submitFor {
		status, _ := u.request(ctx, http.MethodPost, wire.JobsPath, body, 5*time.Second)
		switch status {
		case http.StatusOK, http.StatusCreated:
			u.submission.add(time.Since(begun))
			u.run.happens(func() { u.run.rules.Accepted(j.ID) })
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.run.happens(func() { u.run.rules.Refused(j.ID, status) })
			u.giveUp()
			return false
		}
		if !wait.For(ctx, retryAfter) {
			return false
		}
	}
	u.giveUp()
	return false
}

func (u *users) giveUp() {
	u.mu.Lock()
	u.failed++
	u.mu.Unlock()
}

// ask asks about a job and reports whether it is over.
func (u *users) ask(ctx context.Context, id string) (over bool) {
	var before simulator.Asked
	u.run.happens(func() { before = u.run.rules.Asks(id) })
	status, body := u.request(ctx, http.MethodGet, path.Join(wire.JobsPath, id), nil, 2*time.Second)
	u.mu.Lock()
	u.asked++
	if status != http.StatusOK && status != http.StatusNotFound {
		u.unanswered++
	}
	u.mu.Unlock()
	var s wire.JobState
	switch {
	case status == http.StatusNotFound:
		s.State = "unknown"
	case status != http.StatusOK || wire.Unmarshal(body, &s) != nil:
		return false
	}
	u.run.happens(func() { u.run.rules.Takes(id, s.State, before) })
	return s.State == wire.StateDone || s.State == wire.StateCancelled
}

// request sends a request to a healthy controller.
func (u *users) request(ctx context.Context, method, at string, body []byte, timeout time.Duration) (int, []byte) {
	address := u.run.healthy()
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
		u.run.counts.add("users "+method+" "+wire.JobsPath, len(body), len(b))
	}
	return status, b
}

// began notes that a task is on a machine.
func (u *users) began(task string, at time.Time) {
	u.mu.Lock()
	begun, ok := u.begun[task]
	delete(u.begun, task)
	u.mu.Unlock()
	if !ok {
		return
	}
	u.started.add(at.Sub(begun))
	if at.Sub(begun) > seconds(u.run.settings.UrgentWithinS) {
		u.mu.Lock()
		u.late++
		u.mu.Unlock()
	}
}

// job is a job's description.
func (u *users) job(id string) *simulator.Spec {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.known[id]
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
