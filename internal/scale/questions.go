package scale

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// The question storm: one team asks the leader for all versions of a large job file again and again.
// The team is at its maximum, so that no task of the job file is ever started.
const (
	stormTeam         = "team-storm"
	stormJob          = "large"
	stormVersions     = 6
	stormText         = "a line of text that compresses well\n"
	stormTextLines    = 13_600 // the job file has 490 KB
	stormTimeout      = 10 * time.Second
	stormLeaveAfter   = 300 * time.Millisecond // until a client goes that does not wait for its answer
	stormLeaveEvery   = 3                      // one of so many clients does so
	stormRetryPause   = time.Second
	stormKeyFile      = "storm.key"
	stormKeyBytes     = 32
	stormServiceTasks = 1
)

// StormResult counts the answers to the question storm.
type StormResult struct {
	Answered   int `json:"answered"`
	Refused    int `json:"refused"`    // 429 or 503
	Unanswered int `json:"unanswered"` // other statuses, or none
	Left       int `json:"left"`       // clients that did not wait
}

// questionStorm asks the leader for job files at a rate.
type questionStorm struct {
	run   *Run
	http  *http.Client
	token string

	mu     sync.Mutex
	result StormResult
}

// newQuestionStorm returns a storm with a new token.
func newQuestionStorm(r *Run) *questionStorm {
	return &questionStorm{
		run: r, token: rand.Text(),
		http: &http.Client{Timeout: stormTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
	}
}

// team returns the storm's team, whose maximum is one task.
func (q *questionStorm) team() Team {
	cpus := q.run.settings.TaskCPUs
	return Team{Name: stormTeam, CPUs: cpus, CPUsMax: cpus}
}

// writeKey writes the key of the tokens' hashes to dir.
func (q *questionStorm) writeKey(dir string) error {
	key := make([]byte, stormKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, stormKeyFile), []byte(hex.EncodeToString(key)), 0o600)
}

// settings returns the operators' settings by which controller i serves the storm's team.
func (q *questionStorm) settings(dir string, i int) (string, error) {
	b, err := os.ReadFile(filepath.Join(dir, stormKeyFile))
	if err != nil {
		return "", err
	}
	key, err := config.TokenKey(stormKeyFile, b)
	if err != nil {
		return "", err
	}
	hash := httpapi.HashToken(key, q.token)
	return fmt.Sprintf(`:nomad {:listen %q :token-key-file %q :tokens {%q [%q]}}`, q.run.at.nomad(i), stormKeyFile, stormTeam, hex.EncodeToString(hash[:])), nil
}

// prepare has the team use up its maximum, and registers the job file's versions.
func (q *questionStorm) prepare(ctx context.Context) {
	service := q.run.users.spec(q.run.users.drawJob(classService), classService)
	service.Team, service.Tasks = stormTeam, stormServiceTasks
	q.run.users.wg.Go(func() { q.run.users.runJob(ctx, service) })
	for q.run.runningTasksOf(service) < stormServiceTasks {
		if !wait.For(ctx, stormRetryPause) {
			return
		}
	}
	for version := range stormVersions {
		for q.request(ctx, http.MethodPut, "/v1/jobs", q.jobFile(version)) != http.StatusOK {
			if !wait.For(ctx, stormRetryPause) {
				return
			}
		}
	}
}

// jobFile returns a version of the job file.
func (q *questionStorm) jobFile(version int) []byte {
	b, err := json.Marshal(map[string]any{"Job": map[string]any{
		"ID": stormJob, "Type": "batch", "Datacenters": []string{"*"},
		"Meta": map[string]string{
			"version": fmt.Sprint(version), "text": strings.Repeat(stormText, stormTextLines),
			"aspenstall_class": classBatch, "aspenstall_expect_s": fmt.Sprint(urgentRunS), "aspenstall_image_gb": fmt.Sprint(imageGB),
		},
		"TaskGroups": []any{map[string]any{"Name": "g", "Count": 1, "Tasks": []any{map[string]any{
			"Name": "t", "Driver": "docker", "Config": map[string]any{"image": "image-0"},
			"Resources": map[string]any{"Cores": int(math.Ceil(q.run.settings.TaskCPUs)), "MemoryMB": 1024},
		}}}},
	}})
	if err != nil {
		panic(err) // maps of strings and numbers can be encoded
	}
	return b
}

// ask asks at a rate until ctx ends.
func (q *questionStorm) ask(ctx context.Context, perS float64) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; wait.For(ctx, seconds(1/perS)); n++ {
		clients.Go(func() {
			ctx, cancel := ctx, context.CancelFunc(func() {})
			leaves := n%stormLeaveEvery == 0
			if leaves {
				ctx, cancel = context.WithTimeout(ctx, stormLeaveAfter)
			}
			defer cancel()
			q.count(q.request(ctx, http.MethodGet, "/v1/job/"+stormJob+"/versions", nil), leaves)
		})
	}
}

// count counts an answer.
func (q *questionStorm) count(status int, leaves bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case status == http.StatusOK:
		q.result.Answered++
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		q.result.Refused++
	case leaves && status == 0:
		q.result.Left++
	default:
		q.result.Unanswered++
	}
}

// request sends a request of the team to the leader, and returns status 0 without an answer.
func (q *questionStorm) request(ctx context.Context, method, path string, body []byte) int {
	leader := q.run.leaderIndex()
	if leader < 0 {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.run.at.nomad(leader)+path, strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	req.Header.Set("X-Nomad-Token", q.token)
	resp, err := q.http.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// leaderIndex returns the index of the leading controller, or -1.
func (r *Run) leaderIndex() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.controllers {
		if c.name == r.leader {
			return c.index
		}
	}
	return -1
}

// runningTasksOf returns how many tasks of a job users are told to run.
func (r *Run) runningTasksOf(j *simulator.Spec) int {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	status, body := r.users.request(ctx, http.MethodGet, wire.JobsPath+"/"+j.ID, nil, submitRetryInterval)
	var s wire.JobState
	if status != http.StatusOK || wire.Unmarshal(body, &s) != nil {
		return 0
	}
	return s.Running
}
