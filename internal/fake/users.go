package fake

import (
	"context"
	"net/http"
	"slices"
	"time"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

// userJob is a job from its user's view: its description, the user's requests and the answers.
type userJob struct {
	spec               protocol.Job
	runS               float64
	submitted          bool
	accepted           bool
	cancelRequested    bool
	cancelConfirmed    time.Time    // when the first answer reported the job as cancelled
	ownCancelConfirmed time.Time    // the same, if the job's own user had requested the cancellation
	doneConfirmed      bool         // an answer reported the job as done
	finished           map[int]bool // the tasks that are done, by index
	waitingSince       time.Time    // since when the job waits while there is capacity for it; zero: it does not
}

// complete reports whether all tasks of the job are done.
func (j *userJob) complete() bool { return len(j.finished) >= j.spec.Tasks }

// Register adds a job as if its user had submitted it and received the answer that it is accepted.
func (e *Environment) Register(job protocol.Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[job.ID] = &userJob{spec: job, submitted: true, accepted: true, finished: map[int]bool{}}
}

// Job returns a job as its user submitted it.
func (e *Environment) Job(jobID protocol.JobID) protocol.Job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[jobID].spec
}

// Cancelled reports whether the user of a job requested to cancel it.
func (e *Environment) Cancelled(jobID protocol.JobID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[jobID].cancelRequested
}

// Submit submits a job and retries until the outcome is known or 60 seconds have passed. It
// returns the status of the last answer. A repeated submission is idempotent, so a refusal of a
// job that was accepted before means that the controllers have lost the job, which is a violation.
func (e *Environment) Submit(job protocol.Job, runS float64) int {
	e.mu.Lock()
	if e.jobs[job.ID] == nil {
		e.jobs[job.ID] = &userJob{spec: job, runS: runS, finished: map[int]bool{}}
	}
	registered := e.jobs[job.ID]
	registered.submitted = true
	before := *registered
	e.mu.Unlock()
	status, jobStatus := e.sendRequest(http.MethodPost, "/v1/jobs", JobMap(&job), 5*time.Second, 60*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status == http.StatusOK || status == http.StatusCreated {
		registered.accepted = true
		e.checkJobStatus(registered, before, jobStatus)
	} else if before.accepted && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		e.addViolation("forgotten: %s submitted again gets %d", job.ID, status)
	}
	return status
}

// QueryStatus queries the status of a job once, without retries, and checks the answer.
func (e *Environment) QueryStatus(jobID protocol.JobID) (int, protocol.JobStatus) {
	e.mu.Lock()
	job := e.jobs[jobID]
	var before userJob // the job's state before the request was sent
	if job != nil {
		before = *job
	}
	e.mu.Unlock()
	status, jobStatus := e.sendRequest(http.MethodGet, "/v1/jobs/"+string(jobID), nil, 2*time.Second, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	job = e.jobs[jobID]
	switch {
	case status == http.StatusOK && (job == nil || !job.submitted):
		e.addViolation("invented: %s", jobID)
	case status == http.StatusNotFound && before.accepted:
		e.addViolation("forgotten: %s gets 404", jobID)
	case status == http.StatusOK:
		e.checkJobStatus(job, before, jobStatus)
	}
	return status, jobStatus
}

// Cancel cancels a job, retries until the outcome is known or 120 seconds have passed, and checks
// the answer.
func (e *Environment) Cancel(jobID protocol.JobID) (int, protocol.JobStatus) {
	e.mu.Lock()
	job := e.jobs[jobID]
	job.cancelRequested = true
	before := *job
	e.mu.Unlock()
	status, jobStatus := e.sendRequest(http.MethodPost, "/v1/jobs/"+string(jobID)+"/withdraw", nil, 5*time.Second, 120*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status == http.StatusOK {
		e.checkJobStatus(job, before, jobStatus)
	}
	return status, jobStatus
}

// SubmitInvalid submits a job that must not be accepted, and checks that the answer has the
// status that the protocol requires. The argument change makes the job invalid.
func (e *Environment) SubmitInvalid(job protocol.Job, change func(fields map[string]any), want int) {
	fields := JobMap(&job)
	change(fields)
	status, _ := e.sendRequest(http.MethodPost, "/v1/jobs", fields, 5*time.Second, 60*time.Second)
	answered := status > 0 && status < http.StatusInternalServerError && status != http.StatusTooManyRequests // otherwise the user would retry
	if answered && status != want {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.addViolation("accepted: a job that cannot be, %v, gets %d instead of %d", fields, status, want)
	}
}

// userClient sends the users' requests to the controllers.
type userClient struct {
	env        *Environment
	nodeAddrs  []string // addresses of the controllers' nodes
	askedAddrs []string // addresses of the nodes that users send requests to; nil: all nodes
}

// NodeAddrs returns the addresses of the controllers' nodes.
func (u *userClient) NodeAddrs() []string {
	u.env.mu.Lock()
	defer u.env.mu.Unlock()
	return slices.Clone(u.nodeAddrs)
}

// SetAskedNodes sets the addresses of the nodes that users send requests to; none: all nodes.
func (u *userClient) SetAskedNodes(addrs ...string) {
	u.env.mu.Lock()
	defer u.env.mu.Unlock()
	u.askedAddrs = addrs
}

// askedNodes returns the addresses of the nodes that users send requests to.
func (u *userClient) askedNodes() []string {
	u.env.mu.Lock()
	defer u.env.mu.Unlock()
	if u.askedAddrs != nil {
		return u.askedAddrs
	}
	return u.nodeAddrs
}

// sendRequest sends a request to a random node, and retries until it gets a final answer or
// retryTimeout has passed. Throttling and server errors are not final.
func (u *userClient) sendRequest(method, path string, body any, attemptTimeout, retryTimeout time.Duration) (int, protocol.JobStatus) {
	start := time.Now()
	for {
		nodes := u.askedNodes()
		addr := nodes[int(u.env.Network.randomFloat()*float64(len(nodes)))]
		ctx, cancel := context.WithTimeout(u.env.ctx, attemptTimeout)
		var jobStatus protocol.JobStatus
		client := httpclient.Client{HTTP: &http.Client{Transport: u.env.Network.From(u.env.ctx, "users")}}
		status := answeredStatus(client.Do(ctx, httpclient.Request{Method: method, URL: "http://" + addr + path, Body: body,
			Responses: map[int]any{http.StatusOK: &jobStatus, http.StatusCreated: &jobStatus}}))
		cancel()
		if status != 0 && status != http.StatusTooManyRequests && status < http.StatusInternalServerError {
			return status, jobStatus
		}
		if u.env.ctx.Err() != nil || time.Since(start) > retryTimeout {
			return status, jobStatus
		}
		time.Sleep(time.Second)
	}
}

// JobMap returns a job in the form in which users submit it, with a field of an unknown name, which
// the controllers must ignore. Fields without a value are left out or null, as the protocol allows.
func JobMap(job *protocol.Job) map[string]any {
	fields := map[string]any{"ref": job.ID, "workload": job.Class, "owner": job.Team, "shape": job.Kind, "rank": job.Priority,
		"pieces": job.Tasks, "cores": job.Cores, "cards": job.GPUs, "memGb": job.MemGB, "bundle": job.Image,
		"imageGb": job.ImageGB, "samePlace": job.OneZone, "spread": job.Spread, "loaners": job.Spot,
		"guessS": job.EstimateS, "snapshotS": job.CheckpointIntervalS, "flushS": job.CheckpointSaveS, "quarry": nil, "unheardOf": []int{1}}
	if job.MachineTypes != nil {
		fields["flavors"] = job.MachineTypes
	}
	if job.Zone != "" {
		fields["quarry"] = job.Zone
	}
	if job.DeadlineS > 0 {
		fields["dueS"] = job.DeadlineS
	}
	if job.DependsOn != nil {
		fields["awaits"] = job.DependsOn
	}
	return fields
}
