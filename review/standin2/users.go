//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"

	"marblehaven/internal/protocol"
)

// job is a job as its user submitted it, with what the workers know of it.
type job struct {
	spec protocol.Job
	runS float64 // how long each task runs
	done map[int]bool
}

// submit submits a job to one controller after another until one accepts it, for 60 s at most.
func (w *world) submit(spec protocol.Job, runS float64) bool {
	w.mu.Lock()
	w.jobs[string(spec.ID)] = &job{spec: spec, runS: runS, done: map[int]bool{}}
	w.mu.Unlock()
	start := time.Now()
	for number := 0; time.Since(start) < time.Minute; number++ {
		c := w.controllers[number%len(w.controllers)]
		var reply protocol.JobStatus
		status := call(w.client, http.MethodPost, "http://"+c.api+"/v1/jobs", submission(&spec), &reply, userTimeout)
		w.record.add("user: submits %s to %s: %d %s", spec.ID, c.name, status, reply.Phase)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// submission returns the body of a submission. A job without a deadline or a zone leaves these
// fields out.
func submission(spec *protocol.Job) map[string]any {
	body := map[string]any{
		"ref": string(spec.ID), "workload": spec.Class, "owner": spec.Team, "shape": string(spec.Kind), "rank": string(spec.Priority),
		"pieces": spec.Tasks, "cores": spec.Cores, "cards": spec.GPUs, "memGb": spec.MemGB, "bundle": spec.Image, "imageGb": spec.ImageGB,
		"samePlace": spec.OneZone, "spread": spec.Spread, "loaners": spec.Spot,
		"guessS": spec.EstimateS, "snapshotS": spec.CheckpointIntervalS, "flushS": spec.CheckpointSaveS,
	}
	if len(spec.MachineTypes) > 0 {
		body["flavors"] = spec.MachineTypes
	}
	if spec.Zone != "" {
		body["quarry"] = spec.Zone
	}
	if len(spec.DependsOn) > 0 {
		body["awaits"] = spec.DependsOn
	}
	return body
}

// poll asks each controller for the state of a job.
func (w *world) poll(id protocol.JobID) {
	for _, c := range w.controllers {
		var reply protocol.JobStatus
		status := call(w.client, http.MethodGet, fmt.Sprintf("http://%s/v1/jobs/%s", c.api, id), nil, &reply, pollTimeout)
		w.record.add("user: asks %s about %s: %d %s, %d done, %d running", c.name, id, status, reply.Phase, reply.Done, reply.Running)
	}
}

// running returns how many tasks of a job are on machines.
func (w *world) running(id protocol.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.job.spec.ID == id && t.onMachine() {
				count++
			}
		}
	}
	return count
}

// leader returns the controller that answered most of the workers' latest reports, or nil.
func (w *world) leader() *controller {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, m := range w.machines {
		if m.isUp && !m.gone {
			count[m.answeredFrom]++
		}
	}
	var found *controller
	for _, c := range w.controllers {
		if count[c.name] > 0 && (found == nil || count[c.name] > count[found.name]) {
			found = c
		}
	}
	return found
}
