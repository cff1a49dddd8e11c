package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
)

// Environment is the cloud, its workers and the users, with the checker that judges
// what they see. One mutex guards it all.
type Environment struct {
	Network *Network
	Store   *Store
	Cfg     config.Deployment
	*workloadClient

	life          context.Context
	mu            sync.Mutex
	types         map[string]protocol.MachineType
	capacity      map[string]int // per type, zone and kind; absent: plenty
	machines      map[string]*machineAgent
	provisioned   map[string][]string
	nextID        int
	jobs          map[protocol.JobID]*userJob
	violations    []string
	Calls         map[string]int             // calls of the cloud, by path
	LoseReply     func(path string) bool     // answers of the cloud that get lost
	CloudDown     bool                       // it answers 503 "trouble"
	PageMost      int                        // machines in a page of the list at most; 0: as many as asked for
	Saved         int                        // tasks that were stopped and saved
	LeaseExpiries int                        // leases that ran out with tasks
	Uneven        float64                    // how much longer each task of an array runs than the one before
	OnDone        func(jobID protocol.JobID) // told when the last task of an array has completed
	Step          time.Duration              // between two looks of a machine at what it runs
	LateStart     time.Duration              // the longest time from a confirmed cancellation to a start
	faultsEnded   bool                       // all troubles are over
	nodeAddrs     map[string]string          // node name -> address
	records       *runRecordReader
}

// workloadClient sends the users' requests to the controllers.
type workloadClient struct {
	Network *Network
	Nodes   []string // addresses of the users' side of the nodes
	Asked   []string // those that users ask; nil: all

	life context.Context
}

// userJob is a job as its user knows it.
type userJob struct {
	job                protocol.Job
	runS               float64
	submitted          bool
	accepted           bool
	cancelRequested    bool
	cancelConfirmed    time.Time // when the user was told
	ownCancelConfirmed time.Time // the same, of a job whose user asked for it
	doneConfirmed      bool      // the user was told
	finished           map[int]bool
	waitingSince       time.Time // since when it has waited although there was room; zero: it has not
}

// defaultStep is fine enough for the times in the rules; a world of thousands of machines
// may take longer steps.
const defaultStep = 50 * time.Millisecond

// NewEnvironment makes a world on a network. Its life ends with ctx.
func NewEnvironment(ctx context.Context, net *Network, cfg config.Deployment, types []protocol.MachineType) *Environment {
	e := &Environment{Network: net, Store: NewStore(), Cfg: cfg, workloadClient: &workloadClient{Network: net, life: ctx}, life: ctx, types: map[string]protocol.MachineType{},
		capacity: map[string]int{}, machines: map[string]*machineAgent{}, provisioned: map[string][]string{},
		jobs: map[protocol.JobID]*userJob{}, Step: defaultStep, Calls: map[string]int{}, nodeAddrs: map[string]string{}}
	for _, t := range types {
		e.types[t.Name] = t
	}
	e.records = newRunRecordReader(e.Store)
	e.Store.MaxOps, e.Store.MaxValue = cfg.State.TxnOps, int(cfg.State.ValueKB*1024)
	net.Listen("state", "state:1", e.Store)
	net.Listen("cloud", "cloud:1", http.HandlerFunc(e.serveCloud))
	go func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			e.checkCancelled()
			e.checkRunRecords()
			e.checkWaiting()
		}
	}()
	return e
}

// AddNode tells users and workers of a node.
func (e *Environment) AddNode(name, addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Nodes = append(e.Nodes, addr)
	e.nodeAddrs[name] = addr
}

// Limit sets how many machines of a type, zone and kind there are.
func (e *Environment) Limit(typ, zone string, spot bool, n int) {
	e.capacity[fmt.Sprint(typ, zone, spot)] = n
}

// Violations lists the rules broken so far.
func (e *Environment) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

func (e *Environment) addViolation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

// Machines lists the machines that are up.
func (e *Environment) Machines() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for id, machine := range e.machines {
		if machine.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// MachinesProvisioned is how many machines were ever rented.
func (e *Environment) MachinesProvisioned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nextID
}

// MachinesOf lists the machines on which tasks of a job are, with or without image.
func (e *Environment) MachinesOf(jobID protocol.JobID) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for id, machine := range e.machines {
		for _, task := range machine.tasks {
			if task.jobID == jobID && task.state != protocol.TaskExited {
				out = append(out, id)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Cancelled tells whether a job's user asked to cancel it.
func (e *Environment) Cancelled(jobID protocol.JobID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[jobID].cancelRequested
}

// Job is a job as its user submitted it.
func (e *Environment) Job(jobID protocol.JobID) protocol.Job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[jobID].job
}

// Random is between 0 and 1, by the network's seed.
func (e *Environment) Random() float64 { return e.Network.randomFloat() }

// Zone is a machine's zone.
func (e *Environment) Zone(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if machine := e.machines[id]; machine != nil {
		return machine.zone
	}
	return ""
}

// Kill takes a machine away without a word.
func (e *Environment) Kill(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(id)
}

func (e *Environment) remove(id string) {
	if machine := e.machines[id]; machine != nil {
		machine.markRemoved()
		delete(e.machines, id)
		e.Network.Listen(id, machine.addr, nil)
		e.updateGangs()
	}
}

// NoticePreemption announces that a machine will be taken.
func (e *Environment) NoticePreemption(id string, in time.Duration) {
	e.mu.Lock()
	machine := e.machines[id]
	machine.preemptionAt = time.Now().Add(in)
	machine.markStatusChanged()
	e.mu.Unlock()
	go func() {
		time.Sleep(in)
		e.Kill(id)
	}()
}

func (e *Environment) serveCloud(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Calls[r.URL.Path]++
	if e.CloudDown {
		writeReply(w, 503, protocol.ErrorReply{Error: "trouble"})
		return
	}
	status, v := e.dispatchCloudCall(r, body)
	if e.LoseReply != nil && e.LoseReply(r.URL.Path) {
		status, v = 502, nil
	}
	writeReply(w, status, v)
}

func (e *Environment) dispatchCloudCall(r *http.Request, body []byte) (int, any) {
	switch {
	case r.URL.Path == "/catalog":
		var c protocol.Catalog
		for _, t := range e.types {
			c.Types = append(c.Types, t)
		}
		slices.SortFunc(c.Types, func(a, b protocol.MachineType) int { return strings.Compare(a.Name, b.Name) })
		return 200, c
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		var req protocol.ProvisionRequest
		if codec.Unmarshal(body, &req) != nil || req.Count < 1 || req.Count > 50 {
			return 400, nil
		}
		if machineIDs, ok := e.provisioned[req.RequestID]; ok {
			return 200, protocol.MachineIDs{IDs: machineIDs}
		}
		n := req.Count
		if limit, ok := e.capacity[fmt.Sprint(req.Type, req.Zone, req.Spot)]; ok {
			for _, machine := range e.machines {
				if machine.machineType.Name == req.Type && machine.zone == req.Zone && machine.spot == req.Spot {
					limit--
				}
			}
			n = min(n, limit)
		}
		if n <= 0 {
			return 503, protocol.ErrorReply{Error: "no capacity"}
		}
		var machineIDs []string
		for range n {
			machineIDs = append(machineIDs, e.newMachine(req.Type, req.Zone, req.Spot))
		}
		e.provisioned[req.RequestID] = machineIDs
		return 200, protocol.MachineIDs{IDs: machineIDs}
	case r.URL.Path == "/rentals/return":
		var h protocol.MachineIDs
		if codec.Unmarshal(body, &h) != nil || len(h.IDs) > 100 {
			return 400, nil
		}
		for _, id := range h.IDs {
			e.remove(id)
		}
		return 200, nil
	case r.URL.Path == "/rentals":
		list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		for id, machine := range e.machines {
			if age := time.Since(machine.provisionedAt).Seconds(); age > e.Cfg.Cloud.ListLagS {
				phase := protocol.MachineStarting
				if machine.up {
					phase = "running"
				}
				list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, Addr: machine.addr, Type: machine.machineType.Name,
					Zone: machine.zone, Spot: machine.spot, State: phase, AgeS: age})
			}
		}
		slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
		e.paginate(&list, r.URL.Query())
		return 200, list
	}
	return 404, nil
}

// paginate leaves the page of a list that was asked for.
func (e *Environment) paginate(list *protocol.MachineList, query url.Values) {
	after := query.Get("after")
	list.Machines = slices.DeleteFunc(list.Machines, func(m protocol.ListedMachine) bool { return m.ID <= after })
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil {
		most = len(list.Machines)
	}
	if e.PageMost > 0 {
		most = min(most, e.PageMost)
	}
	if len(list.Machines) > most {
		list.Machines, list.More = list.Machines[:most], true
	}
}

// Register makes a job one whose user has submitted it, and was told that it is
// accepted.
func (e *Environment) Register(job protocol.Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[job.ID] = &userJob{job: job, submitted: true, accepted: true, finished: map[int]bool{}}
}

// Submit registers a job (users upload its description) and submits it until
// it gets an answer that is not retried. It returns the status.
func (e *Environment) Submit(job protocol.Job, runS float64) int {
	e.mu.Lock()
	if e.jobs[job.ID] == nil {
		e.jobs[job.ID] = &userJob{job: job, runS: runS, finished: map[int]bool{}}
	}
	registered := e.jobs[job.ID]
	registered.submitted = true
	before := *registered
	e.mu.Unlock()
	status, st := e.ask(http.MethodPost, "/v1/jobs", JobMap(&job), 5*time.Second, 60*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status == 200 || status == 201 {
		registered.accepted = true
		e.checkJobStatus(registered, before, st)
	} else if before.accepted && (status == 400 || status == 422) {
		e.addViolation("forgotten: %s submitted again gets %d", job.ID, status)
	}
	return status
}

// JobMap spells a job as users do; only what has a value where null is allowed.
func JobMap(job *protocol.Job) map[string]any {
	m := map[string]any{"ref": job.ID, "workload": job.Class, "owner": job.Team, "shape": job.Kind, "rank": job.Priority,
		"pieces": job.Tasks, "cores": job.Cores, "cards": job.GPUs, "memGb": job.MemGB, "bundle": job.Image,
		"imageGb": job.ImageGB, "samePlace": job.OneZone, "spread": job.Spread, "loaners": job.Spot,
		"guessS": job.EstimateS, "snapshotS": job.CheckpointIntervalS, "flushS": job.CheckpointSaveS, "quarry": nil, "unheardOf": []int{1}}
	if job.MachineTypes != nil {
		m["flavors"] = job.MachineTypes
	}
	if job.Zone != "" {
		m["quarry"] = job.Zone
	}
	if job.DeadlineS > 0 {
		m["dueS"] = job.DeadlineS
	}
	if job.DependsOn != nil {
		m["awaits"] = job.DependsOn
	}
	return m
}

// Poll asks once for a job's state.
func (e *Environment) Poll(jobID protocol.JobID) (int, protocol.JobStatus) {
	e.mu.Lock()
	job := e.jobs[jobID]
	var before userJob // what the user had been told when it asked
	if job != nil {
		before = *job
	}
	e.mu.Unlock()
	status, st := e.ask(http.MethodGet, "/v1/jobs/"+string(jobID), nil, 2*time.Second, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	job = e.jobs[jobID]
	switch {
	case status == 200 && (job == nil || !job.submitted):
		e.addViolation("invented: %s", jobID)
	case status == 404 && before.accepted:
		e.addViolation("forgotten: %s gets 404", jobID)
	case status == 200:
		e.checkJobStatus(job, before, st)
	}
	return status, st
}

// checkJobStatus takes in what a user is told, who knew before what it asked with.
func (e *Environment) checkJobStatus(job *userJob, before userJob, st protocol.JobStatus) {
	switch {
	case before.doneConfirmed && st.Phase != protocol.PhaseDone, !before.cancelConfirmed.IsZero() && st.Phase != protocol.PhaseCancelled:
		e.addViolation("went_back: %s is called %s", job.job.ID, st.Phase)
	case st.Phase == protocol.PhaseCancelled && !job.cancelRequested:
		if asked, _ := e.dependencyCancelled(job); !asked {
			e.addViolation("went_back: %s is called cancelled, its user did not ask", job.job.ID)
		}
	case st.Phase == protocol.PhaseDone && len(job.finished) < job.job.Tasks:
		e.addViolation("not_done: %s is called done", job.job.ID)
	}
	e.checkDependentStatus(job, st.Phase)
	if st.Phase == protocol.PhaseDone {
		job.doneConfirmed = true
	}
	if st.Phase == protocol.PhaseCancelled && job.cancelConfirmed.IsZero() {
		job.cancelConfirmed = time.Now()
	}
	if st.Phase == protocol.PhaseCancelled && job.cancelRequested && job.ownCancelConfirmed.IsZero() {
		job.ownCancelConfirmed = time.Now()
	}
}

// Cancel cancels a job, repeating the request until it is answered.
func (e *Environment) Cancel(jobID protocol.JobID) (int, protocol.JobStatus) {
	e.mu.Lock()
	job := e.jobs[jobID]
	job.cancelRequested = true
	before := *job
	e.mu.Unlock()
	status, st := e.ask(http.MethodPost, "/v1/jobs/"+string(jobID)+"/withdraw", nil, 5*time.Second, 120*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status == 200 {
		e.checkJobStatus(job, before, st)
	}
	return status, st
}

// ask makes a call to some node, again and again until it is answered or the
// time is over.
func (w *workloadClient) ask(method, path string, in any, each, total time.Duration) (int, protocol.JobStatus) {
	start := time.Now()
	for {
		nodes := w.Nodes
		if w.Asked != nil {
			nodes = w.Asked
		}
		addr := nodes[int(w.Network.randomFloat()*float64(len(nodes)))]
		ctx, cancel := context.WithTimeout(w.life, each)
		var st protocol.JobStatus
		status, err := httpclient.Call(ctx, &http.Client{Transport: w.Network.From(w.life, "users")}, method, "http://"+addr+path, in,
			map[int]any{200: &st, 201: &st})
		cancel()
		if err == nil && status != 429 && status < 500 {
			return status, st
		}
		if w.life.Err() != nil || time.Since(start) > total {
			return status, st
		}
		time.Sleep(time.Second)
	}
}

// checkStart judges a task that begins to be on a machine.
func (e *Environment) checkStart(machine *machineAgent, task *agentTask) {
	job := e.jobs[task.jobID]
	spec := &job.job
	zones := map[string]int{}
	var cores, gpus float64
	for _, other := range e.machines {
		for _, running := range other.tasks {
			if !running.onMachine() || running == task {
				continue
			}
			if running.jobID == task.jobID && running.index == task.index {
				e.addViolation("ran_twice: %s/%d try %d on %s since %v and try %d on %s (hung %v, up %v, tenure %d) at %v", task.jobID, task.index, running.attempt, other.id, running.stateSince, task.attempt, machine.id, other.hung, other.up, other.incarnation, time.Now())
			}
			if running.jobID == task.jobID {
				zones[other.zone]++
			}
			if otherJob := e.jobs[running.jobID]; otherJob.job.Team == spec.Team {
				cores += otherJob.job.Cores
				gpus += otherJob.job.GPUs
			}
		}
	}
	for _, team := range e.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			e.addViolation("quota: %s with %s/%d on %s: %v of %v cores, %v of %v cards at %v", spec.Team, task.jobID, task.index, machine.id, cores+spec.Cores, team.CoresMax, gpus+spec.GPUs, team.GPUsMax, time.Now())
		}
	}
	zones[machine.zone]++
	switch {
	case len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name), spec.Zone != "" && spec.Zone != machine.zone, machine.spot && !spec.Spot,
		spec.OneZone && len(zones) > 1, spec.Spread && zones[machine.zone] > (spec.Tasks+1)/2:
		e.addViolation("wrong_place: %s/%d on %s", task.jobID, task.index, machine.id)
	}
	if !job.accepted && !job.submitted {
		e.addViolation("invented: %s runs", task.jobID)
	}
	if !e.dependenciesDone(job) {
		e.addViolation("too_early: %s/%d on %s at %v", task.jobID, task.index, machine.id, time.Now())
	}
	if !job.cancelConfirmed.IsZero() {
		e.LateStart = max(e.LateStart, time.Since(job.cancelConfirmed))
	}
	e.checkCancelledTask(machine, task)
}

// checkCancelledTask judges a task on a machine whose job is cancelled, by its own user or with
// one that it needs.
func (e *Environment) checkCancelledTask(machine *machineAgent, task *agentTask) {
	job := e.jobs[task.jobID]
	since := job.cancelConfirmed
	if _, told := e.dependencyCancelled(job); since.IsZero() || (!told.IsZero() && told.Before(since)) {
		since = told
	}
	if !since.IsZero() && time.Since(since).Seconds() > e.Cfg.Workers.CancelS && task.onMachine() {
		e.addViolation("ran_cancelled: %s/%d on %s", task.jobID, task.index, machine.id)
	}
}

func (e *Environment) checkCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, machine := range e.machines {
		for _, task := range machine.tasks {
			e.checkCancelledTask(machine, task)
		}
	}
}

// EndTroubles says that all troubles are over: from now on no job may be left waiting.
func (e *Environment) EndTroubles() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultsEnded = true
}

// maxWaitWithCapacity is how long a job may wait beside a machine that fits and has room,
// as the operators say.
const maxWaitWithCapacity = 90 * time.Second

// checkWaiting judges the jobs that wait although there is room. Gangs, for which
// much must be free at once, are not among them.
func (e *Environment) checkWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faultsEnded {
		return
	}
	for _, job := range e.jobs {
		if !job.accepted || job.job.Kind == protocol.KindGang || !e.isStartable(job) || !e.hasCapacityFor(job) {
			job.waitingSince = time.Time{}
			continue
		}
		if job.waitingSince.IsZero() {
			job.waitingSince = time.Now()
		}
		if d := time.Since(job.waitingSince); d > maxWaitWithCapacity {
			e.addViolation("left waiting: %s beside room for %v", job.job.ID, d)
			job.waitingSince = time.Now()
		}
	}
}

// hasCapacityFor tells whether a task of a job waits while a machine could take it.
func (e *Environment) hasCapacityFor(job *userJob) bool {
	spec := &job.job
	placed, zones := 0, map[string]int{}
	var cores, gpus float64
	for _, machine := range e.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			otherJob := &e.jobs[task.jobID].job
			if otherJob.Team == spec.Team {
				cores, gpus = cores+otherJob.Cores, gpus+otherJob.GPUs
			}
			if task.jobID == spec.ID {
				placed++
				zones[machine.zone]++
			}
		}
	}
	if placed+len(job.finished) >= spec.Tasks {
		return false
	}
	for _, team := range e.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			return false
		}
	}
	for _, machine := range e.machines {
		if !machine.up || machine.hung || !machine.preemptionAt.IsZero() || (machine.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != machine.zone) ||
			(len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name)) ||
			(spec.OneZone && len(zones) > 0 && zones[machine.zone] == 0) || (spec.Spread && zones[machine.zone]+1 > (spec.Tasks+1)/2) {
			continue
		}
		free := machine.machineType
		for _, task := range machine.tasks {
			if task.state != protocol.TaskExited {
				otherJob := &e.jobs[task.jobID].job
				free.Cores, free.GPUs, free.MemGB = free.Cores-otherJob.Cores, free.GPUs-otherJob.GPUs, free.MemGB-otherJob.MemGB
			}
		}
		if spec.Cores <= free.Cores+1e-6 && spec.GPUs <= free.GPUs+1e-6 && spec.MemGB <= free.MemGB+1e-6 {
			return true
		}
	}
	return false
}

// Refused submits a job that must not be accepted, and judges the answer: change
// makes it so, and want is the status that PROTOCOL names.
func (e *Environment) Refused(job protocol.Job, change func(m map[string]any), want int) {
	m := JobMap(&job)
	change(m)
	status, _ := e.ask(http.MethodPost, "/v1/jobs", m, 5*time.Second, 60*time.Second)
	answered := status > 0 && status < 500 && status != http.StatusTooManyRequests // else its user asks again
	if answered && status != want {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.addViolation("accepted: a job that cannot be, %v, gets %d instead of %d", m, status, want)
	}
}

func parseTaskName(s string) (protocol.JobID, int) {
	jobID, index, _ := strings.Cut(s, "/")
	n, _ := strconv.Atoi(index)
	return protocol.JobID(jobID), n
}
