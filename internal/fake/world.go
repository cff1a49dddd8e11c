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
	Nodes   []string // addresses of the users' side of the nodes
	Asked   []string // those that users ask; nil: all

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
	troublesOver  bool                       // all troubles are over
	addrNode      map[string]string          // node name -> address
	records       *recordChecker
}

// userJob is a job as its user knows it.
type userJob struct {
	job         protocol.Job
	runS        float64
	submitted   bool
	accepted    bool
	cancelAsked bool
	cancelled   time.Time // when the user was told
	cancelTold  time.Time // the same, of a job whose user asked for it
	done        bool      // the user was told
	finished    map[int]bool
	besideRoom  time.Time // since when it has waited although there was room; zero: it has not
}

// usualStep is fine enough for the times in the rules; a world of thousands of machines
// may take longer steps.
const usualStep = 50 * time.Millisecond

// NewEnvironment makes a world on a network. Its life ends with ctx.
func NewEnvironment(ctx context.Context, net *Network, cfg config.Deployment, types []protocol.MachineType) *Environment {
	w := &Environment{Network: net, Store: NewStore(), Cfg: cfg, life: ctx, types: map[string]protocol.MachineType{},
		capacity: map[string]int{}, machines: map[string]*machineAgent{}, provisioned: map[string][]string{},
		jobs: map[protocol.JobID]*userJob{}, Step: usualStep, Calls: map[string]int{}, addrNode: map[string]string{}}
	for _, t := range types {
		w.types[t.Name] = t
	}
	w.records = newRecordChecker(w.Store)
	w.Store.MaxOps, w.Store.MaxValue = cfg.State.TxnOps, int(cfg.State.ValueKB*1024)
	net.Listen("state", "state:1", w.Store)
	net.Listen("cloud", "cloud:1", http.HandlerFunc(w.cloud))
	go func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			w.checkCancelled()
			w.checkRecorded()
			w.checkWaiting()
		}
	}()
	return w
}

// AddNode tells users and workers of a node.
func (w *Environment) AddNode(name, addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Nodes = append(w.Nodes, addr)
	w.addrNode[name] = addr
}

// Limit sets how many machines of a type, zone and kind there are.
func (w *Environment) Limit(typ, zone string, spot bool, n int) {
	w.capacity[fmt.Sprint(typ, zone, spot)] = n
}

// Violations lists the rules broken so far.
func (w *Environment) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

func (w *Environment) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// Machines lists the machines that are up.
func (w *Environment) Machines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, machine := range w.machines {
		if machine.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// MachinesProvisioned is how many machines were ever rented.
func (w *Environment) MachinesProvisioned() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nextID
}

// MachinesOf lists the machines on which tasks of a job are, with or without image.
func (w *Environment) MachinesOf(jobID protocol.JobID) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, machine := range w.machines {
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
func (w *Environment) Cancelled(jobID protocol.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[jobID].cancelAsked
}

// Job is a job as its user submitted it.
func (w *Environment) Job(jobID protocol.JobID) protocol.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[jobID].job
}

// Random is between 0 and 1, by the network's seed.
func (w *Environment) Random() float64 { return w.Network.float() }

// Zone is a machine's zone.
func (w *Environment) Zone(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if machine := w.machines[id]; machine != nil {
		return machine.zone
	}
	return ""
}

// Kill takes a machine away without a word.
func (w *Environment) Kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(id)
}

func (w *Environment) remove(id string) {
	if machine := w.machines[id]; machine != nil {
		machine.end()
		delete(w.machines, id)
		w.Network.Listen(id, machine.addr, nil)
		w.gangsChanged()
	}
}

// NoticePreemption announces that a machine will be taken.
func (w *Environment) NoticePreemption(id string, in time.Duration) {
	w.mu.Lock()
	machine := w.machines[id]
	machine.notice = time.Now().Add(in)
	machine.changedNow()
	w.mu.Unlock()
	go func() {
		time.Sleep(in)
		w.Kill(id)
	}()
}

func (w *Environment) cloud(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Calls[r.URL.Path]++
	if w.CloudDown {
		answer(rw, 503, protocol.ErrorReply{Error: "trouble"})
		return
	}
	status, v := w.cloudCall(r, body)
	if w.LoseReply != nil && w.LoseReply(r.URL.Path) {
		status, v = 502, nil
	}
	answer(rw, status, v)
}

func (w *Environment) cloudCall(r *http.Request, body []byte) (int, any) {
	switch {
	case r.URL.Path == "/catalog":
		var c protocol.Catalog
		for _, t := range w.types {
			c.Types = append(c.Types, t)
		}
		slices.SortFunc(c.Types, func(a, b protocol.MachineType) int { return strings.Compare(a.Name, b.Name) })
		return 200, c
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		var req protocol.ProvisionRequest
		if codec.Unmarshal(body, &req) != nil || req.Count < 1 || req.Count > 50 {
			return 400, nil
		}
		if hosts, ok := w.provisioned[req.RequestID]; ok {
			return 200, protocol.MachineIDs{IDs: hosts}
		}
		n := req.Count
		if limit, ok := w.capacity[fmt.Sprint(req.Type, req.Zone, req.Spot)]; ok {
			for _, machine := range w.machines {
				if machine.machineType.Name == req.Type && machine.zone == req.Zone && machine.spot == req.Spot {
					limit--
				}
			}
			n = min(n, limit)
		}
		if n <= 0 {
			return 503, protocol.ErrorReply{Error: "no capacity"}
		}
		var hosts []string
		for range n {
			hosts = append(hosts, w.newMachine(req.Type, req.Zone, req.Spot))
		}
		w.provisioned[req.RequestID] = hosts
		return 200, protocol.MachineIDs{IDs: hosts}
	case r.URL.Path == "/rentals/return":
		var h protocol.MachineIDs
		if codec.Unmarshal(body, &h) != nil || len(h.IDs) > 100 {
			return 400, nil
		}
		for _, id := range h.IDs {
			w.remove(id)
		}
		return 200, nil
	case r.URL.Path == "/rentals":
		list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		for id, machine := range w.machines {
			if age := time.Since(machine.rented).Seconds(); age > w.Cfg.Cloud.ListLagS {
				phase := protocol.MachineStarting
				if machine.up {
					phase = "running"
				}
				list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, Addr: machine.addr, Type: machine.machineType.Name,
					Zone: machine.zone, Spot: machine.spot, State: phase, AgeS: age})
			}
		}
		slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
		w.cutPage(&list, r.URL.Query())
		return 200, list
	}
	return 404, nil
}

// cutPage leaves the page of a list that was asked for.
func (w *Environment) cutPage(list *protocol.MachineList, query url.Values) {
	after := query.Get("after")
	list.Machines = slices.DeleteFunc(list.Machines, func(m protocol.ListedMachine) bool { return m.ID <= after })
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil {
		most = len(list.Machines)
	}
	if w.PageMost > 0 {
		most = min(most, w.PageMost)
	}
	if len(list.Machines) > most {
		list.Machines, list.More = list.Machines[:most], true
	}
}

// Register makes a job one whose user has submitted it, and was told that it is
// accepted.
func (w *Environment) Register(job protocol.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.ID] = &userJob{job: job, submitted: true, accepted: true, finished: map[int]bool{}}
}

// Submit registers a job (users upload its description) and submits it until
// it gets an answer that is not retried. It returns the status.
func (w *Environment) Submit(job protocol.Job, runS float64) int {
	w.mu.Lock()
	if w.jobs[job.ID] == nil {
		w.jobs[job.ID] = &userJob{job: job, runS: runS, finished: map[int]bool{}}
	}
	u := w.jobs[job.ID]
	u.submitted = true
	before := *u
	w.mu.Unlock()
	status, st := w.ask(http.MethodPost, "/v1/jobs", JobMap(&job), 5*time.Second, 60*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == 200 || status == 201 {
		u.accepted = true
		w.checkAnswer(u, before, st)
	} else if before.accepted && (status == 400 || status == 422) {
		w.violate("forgotten: %s submitted again gets %d", job.ID, status)
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
func (w *Environment) Poll(jobID protocol.JobID) (int, protocol.JobStatus) {
	w.mu.Lock()
	job := w.jobs[jobID]
	var before userJob // what the user had been told when it asked
	if job != nil {
		before = *job
	}
	w.mu.Unlock()
	status, st := w.ask(http.MethodGet, "/v1/jobs/"+string(jobID), nil, 2*time.Second, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	job = w.jobs[jobID]
	switch {
	case status == 200 && (job == nil || !job.submitted):
		w.violate("invented: %s", jobID)
	case status == 404 && before.accepted:
		w.violate("forgotten: %s gets 404", jobID)
	case status == 200:
		w.checkAnswer(job, before, st)
	}
	return status, st
}

// checkAnswer takes in what a user is told, who knew before what it asked with.
func (w *Environment) checkAnswer(job *userJob, before userJob, st protocol.JobStatus) {
	switch {
	case before.done && st.Phase != protocol.PhaseDone, !before.cancelled.IsZero() && st.Phase != protocol.PhaseCancelled:
		w.violate("went_back: %s is called %s", job.job.ID, st.Phase)
	case st.Phase == protocol.PhaseCancelled && !job.cancelAsked:
		if asked, _ := w.cancelledBefore(job); !asked {
			w.violate("went_back: %s is called cancelled, its user did not ask", job.job.ID)
		}
	case st.Phase == protocol.PhaseDone && len(job.finished) < job.job.Tasks:
		w.violate("not_done: %s is called done", job.job.ID)
	}
	w.checkDependentAnswer(job, st.Phase)
	if st.Phase == protocol.PhaseDone {
		job.done = true
	}
	if st.Phase == protocol.PhaseCancelled && job.cancelled.IsZero() {
		job.cancelled = time.Now()
	}
	if st.Phase == protocol.PhaseCancelled && job.cancelAsked && job.cancelTold.IsZero() {
		job.cancelTold = time.Now()
	}
}

// Cancel cancels a job, repeating the request until it is answered.
func (w *Environment) Cancel(jobID protocol.JobID) (int, protocol.JobStatus) {
	w.mu.Lock()
	job := w.jobs[jobID]
	job.cancelAsked = true
	before := *job
	w.mu.Unlock()
	status, st := w.ask(http.MethodPost, "/v1/jobs/"+string(jobID)+"/withdraw", nil, 5*time.Second, 120*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == 200 {
		w.checkAnswer(job, before, st)
	}
	return status, st
}

// ask makes a call to some node, again and again until it is answered or the
// time is over.
func (w *Environment) ask(method, path string, in any, each, total time.Duration) (int, protocol.JobStatus) {
	start := time.Now()
	for {
		nodes := w.Nodes
		if w.Asked != nil {
			nodes = w.Asked
		}
		addr := nodes[int(w.Network.float()*float64(len(nodes)))]
		ctx, cancel := context.WithTimeout(w.life, each)
		var st protocol.JobStatus
		client := httpclient.Client{HTTP: &http.Client{Transport: w.Network.From(w.life, "users")}}
		status := answeredStatus(client.Do(ctx, httpclient.Request{Method: method, URL: "http://" + addr + path, Body: in,
			Responses: map[int]any{200: &st, 201: &st}}))
		cancel()
		if status != 0 && status != 429 && status < 500 {
			return status, st
		}
		if w.life.Err() != nil || time.Since(start) > total {
			return status, st
		}
		time.Sleep(time.Second)
	}
}

// checkStart judges a task that begins to be on a machine.
func (w *Environment) checkStart(machine *machineAgent, task *agentTask) {
	job := w.jobs[task.jobID]
	spec := &job.job
	zones := map[string]int{}
	var cores, gpus float64
	for _, o := range w.machines {
		for _, x := range o.tasks {
			if !x.onMachine() || x == task {
				continue
			}
			if x.jobID == task.jobID && x.index == task.index {
				w.violate("ran_twice: %s/%d try %d on %s since %v and try %d on %s (hung %v, up %v, tenure %d) at %v", task.jobID, task.index, x.attempt, o.id, x.since, task.attempt, machine.id, o.hung, o.up, o.incarnation, time.Now())
			}
			if x.jobID == task.jobID {
				zones[o.zone]++
			}
			if y := w.jobs[x.jobID]; y.job.Team == spec.Team {
				cores += y.job.Cores
				gpus += y.job.GPUs
			}
		}
	}
	for _, team := range w.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			w.violate("quota: %s with %s/%d on %s: %v of %v cores, %v of %v cards at %v", spec.Team, task.jobID, task.index, machine.id, cores+spec.Cores, team.CoresMax, gpus+spec.GPUs, team.GPUsMax, time.Now())
		}
	}
	zones[machine.zone]++
	switch {
	case len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name), spec.Zone != "" && spec.Zone != machine.zone, machine.spot && !spec.Spot,
		spec.OneZone && len(zones) > 1, spec.Spread && zones[machine.zone] > (spec.Tasks+1)/2:
		w.violate("wrong_place: %s/%d on %s", task.jobID, task.index, machine.id)
	}
	if !job.accepted && !job.submitted {
		w.violate("invented: %s runs", task.jobID)
	}
	if !w.mayStart(job) {
		w.violate("too_early: %s/%d on %s at %v", task.jobID, task.index, machine.id, time.Now())
	}
	if !job.cancelled.IsZero() {
		w.LateStart = max(w.LateStart, time.Since(job.cancelled))
	}
	w.checkCancelledTask(machine, task)
}

// checkCancelledTask judges a task on a machine whose job is cancelled, by its own user or with
// one that it needs.
func (w *Environment) checkCancelledTask(machine *machineAgent, task *agentTask) {
	job := w.jobs[task.jobID]
	since := job.cancelled
	if _, told := w.cancelledBefore(job); since.IsZero() || (!told.IsZero() && told.Before(since)) {
		since = told
	}
	if !since.IsZero() && time.Since(since).Seconds() > w.Cfg.Workers.CancelS && task.onMachine() {
		w.violate("ran_cancelled: %s/%d on %s", task.jobID, task.index, machine.id)
	}
}

func (w *Environment) checkCancelled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.machines {
		for _, task := range machine.tasks {
			w.checkCancelledTask(machine, task)
		}
	}
}

// EndTroubles says that all troubles are over: from now on no job may be left waiting.
func (w *Environment) EndTroubles() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.troublesOver = true
}

// waitsAtMost is how long a job may wait beside a machine that fits and has room,
// as the operators say.
const waitsAtMost = 90 * time.Second

// checkWaiting judges the jobs that wait although there is room. Gangs, for which
// much must be free at once, are not among them.
func (w *Environment) checkWaiting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.troublesOver {
		return
	}
	for _, job := range w.jobs {
		if !job.accepted || job.job.Kind == protocol.KindGang || !w.mustStart(job) || !w.roomFor(job) {
			job.besideRoom = time.Time{}
			continue
		}
		if job.besideRoom.IsZero() {
			job.besideRoom = time.Now()
		}
		if d := time.Since(job.besideRoom); d > waitsAtMost {
			w.violate("left waiting: %s beside room for %v", job.job.ID, d)
			job.besideRoom = time.Now()
		}
	}
}

// roomFor tells whether a task of a job waits while a machine could take it.
func (w *Environment) roomFor(job *userJob) bool {
	spec := &job.job
	on, zones := 0, map[string]int{}
	var cores, gpus float64
	for _, machine := range w.machines {
		for _, task := range machine.tasks {
			if task.state == protocol.TaskExited {
				continue
			}
			y := &w.jobs[task.jobID].job
			if y.Team == spec.Team {
				cores, gpus = cores+y.Cores, gpus+y.GPUs
			}
			if task.jobID == spec.ID {
				on++
				zones[machine.zone]++
			}
		}
	}
	if on+len(job.finished) >= spec.Tasks {
		return false
	}
	for _, team := range w.Cfg.Teams {
		if team.Name == spec.Team && ((team.CoresMax > 0 && cores+spec.Cores > team.CoresMax+1e-6) || (team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+1e-6)) {
			return false
		}
	}
	for _, machine := range w.machines {
		if !machine.up || machine.hung || !machine.notice.IsZero() || (machine.spot && !spec.Spot) || (spec.Zone != "" && spec.Zone != machine.zone) ||
			(len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, machine.machineType.Name)) ||
			(spec.OneZone && len(zones) > 0 && zones[machine.zone] == 0) || (spec.Spread && zones[machine.zone]+1 > (spec.Tasks+1)/2) {
			continue
		}
		free := machine.machineType
		for _, task := range machine.tasks {
			if task.state != protocol.TaskExited {
				y := &w.jobs[task.jobID].job
				free.Cores, free.GPUs, free.MemGB = free.Cores-y.Cores, free.GPUs-y.GPUs, free.MemGB-y.MemGB
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
func (w *Environment) Refused(job protocol.Job, change func(m map[string]any), want int) {
	m := JobMap(&job)
	change(m)
	status, _ := w.ask(http.MethodPost, "/v1/jobs", m, 5*time.Second, 60*time.Second)
	answered := status > 0 && status < 500 && status != http.StatusTooManyRequests // else its user asks again
	if answered && status != want {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.violate("accepted: a job that cannot be, %v, gets %d instead of %d", m, status, want)
	}
}

func parseTask(s string) (protocol.JobID, int) {
	jobID, index, _ := strings.Cut(s, "/")
	n, _ := strconv.Atoi(index)
	return protocol.JobID(jobID), n
}
