//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// Times of users from their section of the protocol page.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryPause    = time.Second
)

// job is a job from outside: its description, and what its user and the workers know of it.
// The world's mutex guards the maps and the answers.
type job struct {
	spec      protocol.Job
	runS      float64 // how long a task runs; 0: until it is stopped
	mistaken  bool    // its tasks fail
	done      map[int]bool
	starts    map[int]int // how often each task began to run
	accepted  bool
	cancelled time.Time // when its user was told that it is cancelled
}

// newJob registers a job whose user is about to submit it.
func (w *world) newJob(spec protocol.Job, runS float64) *job {
	j := &job{spec: spec, runS: runS, done: map[int]bool{}, starts: map[int]int{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[spec.ID] = j
	return j
}

// submit submits a job and repeats the submission until it gets a final answer, or for 60
// seconds. It reports whether the job was accepted.
func (w *world) submit(j *job) bool {
	status, answer := w.call(http.MethodPost, "/v1/jobs", fake.JobMap(&j.spec), submitTimeout, 60*time.Second)
	w.rec.add("users", "submit %s: %d %s", j.spec.ID, status, answer.Phase)
	w.mu.Lock()
	defer w.mu.Unlock()
	j.accepted = status == http.StatusOK || status == http.StatusCreated
	return j.accepted
}

// poll asks for the state of a job once.
func (w *world) poll(j *job) (int, protocol.JobStatus) {
	status, answer := w.call(http.MethodGet, "/v1/jobs/"+string(j.spec.ID), nil, pollTimeout, 0)
	w.rec.add("users", "poll %s: %d %s, %d done, %d running", j.spec.ID, status, answer.Phase, answer.Done, answer.Running)
	return status, answer
}

// withdraw cancels a job and repeats the request until it is answered, or for 60 seconds.
func (w *world) withdraw(j *job) bool {
	status, answer := w.call(http.MethodPost, "/v1/jobs/"+string(j.spec.ID)+"/withdraw", nil, submitTimeout, 60*time.Second)
	w.rec.add("users", "withdraw %s: %d %s", j.spec.ID, status, answer.Phase)
	if status != http.StatusOK || answer.Phase != protocol.PhaseCancelled {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.cancelled = time.Now()
	return true
}

// call sends a request over a new connection to a node that counts as healthy, and retries
// until there is a final answer or the time is over.
func (w *world) call(method, path string, body any, timeout, total time.Duration) (status int, answer protocol.JobStatus) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); ; time.Sleep(retryPause) {
		n := w.nodes[rand.IntN(nodeCount)]
		for range 2 * nodeCount {
			if w.healthy(n) {
				break
			}
			n = w.nodes[rand.IntN(nodeCount)]
		}
		ctx, cancel := context.WithTimeout(w.ctx, timeout)
		encoded := []byte(nil)
		if body == nil && method == http.MethodGet {
			request, _ := http.NewRequestWithContext(ctx, method, "http://"+n.apiAddr+path, nil)
			status, encoded = send(client, request)
		} else {
			if body == nil {
				body = map[string]any{}
			}
			status, encoded = post(ctx, client, "http://"+n.apiAddr+path, body)
		}
		cancel()
		switch status {
		case http.StatusOK, http.StatusCreated:
			if codec.Unmarshal(encoded, &answer) != nil {
				status = 0
			}
			return status, answer
		case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
			return status, answer
		}
		if time.Since(start) >= total {
			return status, answer
		}
	}
}

// healthy asks a node for its health, as the load balancer does.
func (w *world) healthy(n *node) bool {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.apiAddr+"/up", nil)
	if err != nil {
		return false
	}
	status, _ := send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, request)
	return status == http.StatusOK
}

// awaitHealthy waits until a node is healthy.
func (w *world) awaitHealthy(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, n := range w.nodes {
			if w.healthy(n) {
				return true
			}
		}
	}
	return false
}
