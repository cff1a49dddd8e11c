package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// Status is the leader's summary for the status page. Controllers send it to each other
// under the short names of its tags.
type Status struct {
	Term     protocol.Term  `msgpack:"t"`
	CloudOK  bool           `msgpack:"c"` // the cloud answered the latest call
	Classes  []ClassStatus  `msgpack:"k"`
	Machines []MachineCount `msgpack:"m"`
	Overdue  []OverdueJob   `msgpack:"b"`
	// Format is the version of the record formats that the whole cluster uses, and
	// Versions lists the newest version that each controller has recorded as supported.
	Format   int           `msgpack:"f,omitempty"`
	Versions []NodeVersion `msgpack:"v,omitempty"`
	// UnknownTasks counts the tasks that agents report although no record names them, and
	// Unknown describes the first of these tasks.
	UnknownTasks int           `msgpack:"u,omitempty"`
	Unknown      []UnknownTask `msgpack:"x,omitempty"`
}

// UnknownTask is a task that an agent reports and that no record names. The leader orders
// the agent to stop it.
type UnknownTask struct {
	Task    string             `msgpack:"t"`
	Attempt uint64             `msgpack:"a"`
	State   protocol.TaskState `msgpack:"s"`
	Machine string             `msgpack:"m"`
	// Job describes the state of the task's job, for the readers of the status page.
	Job string `msgpack:"j"`
}

// NodeVersion is the newest format version that a controller has recorded as supported.
type NodeVersion struct {
	Node   string `msgpack:"n"`
	Format int    `msgpack:"f"`
}

// ClassStatus counts the open jobs of a class.
type ClassStatus struct {
	Class   string `msgpack:"c"`
	Waiting int    `msgpack:"w"`           // no task is on a machine
	Blocked int    `msgpack:"b,omitempty"` // wait for other jobs
	Running int    `msgpack:"r"`
	Late    int    `msgpack:"l"` // the deadline is missed or the slack spent
}

// MachineCount counts the machines of a type.
type MachineCount struct {
	Type  string `msgpack:"t"`
	Spot  bool   `msgpack:"s"`
	Up    int    `msgpack:"u"`
	Other int    `msgpack:"o"` // starting or silent
}

// OverdueJob is a production job with replicas that have waited too long to be placed.
type OverdueJob struct {
	Job     protocol.JobID `msgpack:"j"`
	Class   string         `msgpack:"c"`
	Missing int            `msgpack:"m"` // replicas that are on no machine
	SinceS  float64        `msgpack:"s"` // seconds since the job was ready to start
}

// statusReporter makes the summary for the status page.
type statusReporter struct {
	current         Status
	summarizedAt    time.Time
	overdueLoggedAt time.Time
}

// due reports whether a new summary is due, and if so records now as its time.
func (r *statusReporter) due(now time.Time) bool {
	if now.Sub(r.summarizedAt) < tuning.StatusInterval {
		return false
	}
	r.summarizedAt = now
	return true
}

// statusRequest asks for the latest summary.
type statusRequest struct{ reply chan Status }

func (r statusRequest) apply(leader *Leader, _ time.Time) { r.reply <- leader.status.current }

// Status returns the latest summary; ok is false if the term or ctx ends first.
func (l *Leader) Status(ctx context.Context) (status Status, ok bool) {
	reply := make(chan Status, 1)
	select {
	case l.inbox <- statusRequest{reply}:
	case <-l.ctx.Done():
		return Status{}, false
	case <-ctx.Done():
		return Status{}, false
	}
	select {
	case status := <-reply:
		return status, true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return Status{}, false
}

// summarize replaces the summary, and logs overdue player-facing work for the liaison at
// most once in tuning.OverdueLogInterval.
func (l *Leader) summarize(snapshot *scheduler.Snapshot, jobs []*jobState, plan scheduler.Plan, now time.Time) {
	status := Status{
		Term:     l.leadership.Term,
		CloudOK:  l.provisioner.cloudAvailable,
		Format:   l.formats.cluster,
		Versions: l.controllerVersions(),
		Classes:  classStatuses(snapshot, jobs, plan),
		Overdue:  overdueJobs(snapshot, jobs, now),
		Machines: l.countMachines(now),
	}
	l.addUnknownTasks(&status)
	l.status.current = status
	if len(status.Overdue) > 0 && now.Sub(l.status.overdueLoggedAt) > tuning.OverdueLogInterval {
		l.status.overdueLoggedAt = now
		l.Log.Error("liaison: player-facing production work is behind", "jobs", len(status.Overdue), "first", status.Overdue[0].Job)
	}
}

// classStatuses counts the open jobs by class.
func classStatuses(snapshot *scheduler.Snapshot, jobs []*jobState, plan scheduler.Plan) []ClassStatus {
	slackSpent := map[int]bool{}
	for _, i := range plan.JobsWithoutSlack {
		slackSpent[i] = true
	}
	byClass := map[string]*ClassStatus{}
	for i, job := range jobs {
		if job.cancelled {
			continue
		}
		class := byClass[job.spec.Class]
		if class == nil {
			class = &ClassStatus{Class: job.spec.Class}
			byClass[job.spec.Class] = class
		}
		switch {
		case len(job.pendingDependencies) > 0:
			class.Blocked++
		case job.unstarted() > 0 && len(job.placements) == 0:
			class.Waiting++
		default:
			class.Running++
		}
		entry := &snapshot.Jobs[i]
		missedDeadline := entry.DeadlineS < 0 && entry.Priority > protocol.LevelProduction
		if missedDeadline || slackSpent[i] {
			class.Late++
		}
	}
	var classes []ClassStatus
	for _, class := range byClass {
		classes = append(classes, *class)
	}
	slices.SortFunc(classes, func(a, b ClassStatus) int { return cmp.Compare(a.Class, b.Class) })
	return classes
}

// overdueJobs lists the production jobs that have waited too long for some of their
// replicas.
func overdueJobs(snapshot *scheduler.Snapshot, jobs []*jobState, now time.Time) (overdue []OverdueJob) {
	for i, job := range jobs {
		if job.cancelled || snapshot.Jobs[i].Priority != protocol.LevelProduction {
			continue
		}
		waited := now.Sub(job.readyAt)
		if job.unstarted() > 0 && len(job.pendingDependencies) == 0 && waited > tuning.ErrorLogInterval {
			overdue = append(overdue, OverdueJob{job.id, job.spec.Class, job.unstarted(), waited.Seconds()})
		}
	}
	return overdue
}

// countMachines counts the machines by type and by whether they are up.
func (l *Leader) countMachines(now time.Time) []MachineCount {
	type kind struct {
		machineType string
		spot        bool
	}
	byKind := map[kind]*MachineCount{}
	for _, machine := range l.machines.byID {
		key := kind{machine.Type, machine.Spot}
		count := byKind[key]
		if count == nil {
			count = &MachineCount{Type: machine.Type, Spot: machine.Spot}
			byKind[key] = count
		}
		if machine.Up && now.Sub(machine.LastContact) <= l.maxSchedulableSilence() {
			count.Up++
		} else {
			count.Other++
		}
	}
	var counts []MachineCount
	for _, count := range byKind {
		counts = append(counts, *count)
	}
	slices.SortFunc(counts, func(a, b MachineCount) int { return cmp.Compare(a.Type, b.Type) })
	return counts
}

// addUnknownTasks counts the reported tasks that no record names, and describes the first
// tuning.UnknownTasksShown of them.
func (l *Leader) addUnknownTasks(status *Status) {
	for _, machine := range l.machines.sorted {
		if machine.UnknownTaskCount == 0 {
			continue
		}
		status.UnknownTasks += machine.UnknownTaskCount
		for _, reported := range machine.UnknownTasks() {
			if len(status.Unknown) < tuning.UnknownTasksShown {
				status.Unknown = append(status.Unknown, l.describeUnknownTask(machine, &reported))
			}
		}
	}
}

// logUnknownTasks logs the tasks that the agent of a machine reports and no record names.
// Replies to the agent's heartbeats order it to stop them (see reconcileTask).
func (l *Leader) logUnknownTasks(machine *cluster.Machine) {
	for _, reported := range machine.UnknownTasks() {
		unknown := l.describeUnknownTask(machine, &reported)
		l.Log.Error("unknown task", "task", unknown.Task, "attempt", unknown.Attempt, "state", unknown.State,
			"machine", unknown.Machine, "incarnation", machine.Incarnation, "job", unknown.Job)
	}
}

func (l *Leader) describeUnknownTask(machine *cluster.Machine, reported *cluster.ReportedTask) UnknownTask {
	unknown := UnknownTask{Task: reported.Task, Attempt: reported.Attempt, State: reported.State, Machine: machine.ID, Job: "not open"}
	job := l.jobs.open[reported.Key.Job]
	switch {
	case job == nil:
	case job.placements[reported.Key.Task] != nil:
		unknown.Job = "the task is elsewhere or another try"
	case job.doneTasks.Has(reported.Key.Task):
		unknown.Job = "the task is done"
	case job.cancelled:
		unknown.Job = "cancelled"
	default:
		unknown.Job = "the task waits"
	}
	return unknown
}

// controllerVersions lists the controllers named in the settings, with the format version
// that each has recorded.
func (l *Leader) controllerVersions() []NodeVersion {
	names := []string{l.Config.Node}
	for _, peer := range l.Config.Peers {
		names = append(names, peer.Node)
	}
	slices.Sort(names)
	versions := make([]NodeVersion, len(names))
	for i, name := range names {
		versions[i] = NodeVersion{name, max(records.FormatWhole, l.formats.byController[name])}
	}
	return versions
}
