package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/scheduler"
	"marblehaven/internal/tuning"
)

// Status is the summary on the status page.
type Status struct {
	Term     protocol.Term  `msgpack:"t"`
	CloudOK  bool           `msgpack:"c"`
	Classes  []ClassStatus  `msgpack:"k"`
	Machines []MachineCount `msgpack:"m"`
	Overdue  []OverdueJob   `msgpack:"b"`
	// Format is the version of the formats that the whole cluster uses, and
	// Versions what each controller reads.
	Format   int           `msgpack:"f,omitempty"`
	Versions []NodeVersion `msgpack:"v,omitempty"`
	// UnknownTasks counts the tasks on machines that no record names, and Unknown
	// describes the first of them.
	UnknownTasks int           `msgpack:"u,omitempty"`
	Unknown      []UnknownTask `msgpack:"x,omitempty"`
}

// UnknownTask is a task that a worker reports and no record names. It is stopped.
type UnknownTask struct {
	Task    string             `msgpack:"t"`
	Attempt uint64             `msgpack:"a"`
	State   protocol.TaskState `msgpack:"s"`
	Machine string             `msgpack:"m"`
	// Job is what is known of its job.
	Job string `msgpack:"j"`
}

// NodeVersion is the version of the formats that a controller has recorded.
type NodeVersion struct {
	Node   string `msgpack:"n"`
	Format int    `msgpack:"f"`
}

// ClassStatus counts the open jobs of a class.
type ClassStatus struct {
	Class   string `msgpack:"c"`
	Waiting int    `msgpack:"w"`
	Blocked int    `msgpack:"b,omitempty"` // wait for other jobs
	Running int    `msgpack:"r"`
	Late    int    `msgpack:"l"`
}

// MachineCount counts machines of a type.
type MachineCount struct {
	Type  string `msgpack:"t"`
	Spot  bool   `msgpack:"s"`
	Up    int    `msgpack:"u"`
	Other int    `msgpack:"o"`
}

// OverdueJob is player-facing production work that waits longer than it should.
type OverdueJob struct {
	Job     protocol.JobID `msgpack:"j"`
	Class   string         `msgpack:"c"`
	Missing int            `msgpack:"m"`
	SinceS  float64        `msgpack:"s"`
}

func (c *Leader) summarize(snapshot *scheduler.Snapshot, jobs []*jobState, plan scheduler.Plan, now time.Time) {
	st := Status{Term: c.leadership.Term, CloudOK: c.provisioner.cloudAvailable, Format: c.formats.cluster, Versions: c.nodeVersions()}
	late := map[int]bool{}
	for _, i := range plan.SlackSpent {
		late[i] = true
	}
	classes := map[string]*ClassStatus{}
	for i, job := range jobs {
		if job.cancelled {
			continue
		}
		k := classes[job.spec.Class]
		if k == nil {
			k = &ClassStatus{Class: job.spec.Class}
			classes[job.spec.Class] = k
		}
		waiting := job.spec.Tasks - job.doneCount - len(job.placements)
		switch {
		case len(job.pendingDependencies) > 0:
			k.Blocked++
		case waiting > 0 && len(job.placements) == 0:
			k.Waiting++
		default:
			k.Running++
		}
		if snapshot.Jobs[i].DeadlineS < 0 && snapshot.Jobs[i].Priority > 0 || late[i] {
			k.Late++
		}
		if snapshot.Jobs[i].Priority == 0 && waiting > 0 && len(job.pendingDependencies) == 0 && now.Sub(job.readyAt) > tuning.ErrorLogInterval {
			st.Overdue = append(st.Overdue, OverdueJob{job.id, job.spec.Class, waiting, now.Sub(job.readyAt).Seconds()})
		}
	}
	for _, k := range classes {
		st.Classes = append(st.Classes, *k)
	}
	slices.SortFunc(st.Classes, func(a, b ClassStatus) int { return cmp.Compare(a.Class, b.Class) })
	counts := map[[2]any]*MachineCount{}
	for _, machine := range c.machines.byID {
		key := [2]any{machine.Type, machine.Spot}
		k := counts[key]
		if k == nil {
			k = &MachineCount{Type: machine.Type, Spot: machine.Spot}
			counts[key] = k
		}
		if c.up(machine, now) {
			k.Up++
		} else {
			k.Other++
		}
	}
	for _, k := range counts {
		st.Machines = append(st.Machines, *k)
	}
	c.addUnknown(&st)
	slices.SortFunc(st.Machines, func(a, b MachineCount) int { return cmp.Compare(a.Type, b.Type) })
	c.status.current = st
	if len(st.Overdue) > 0 && now.Sub(c.status.overdueLoggedAt) > tuning.OverdueLogInterval {
		c.status.overdueLoggedAt = now
		c.Log.Error("liaison: player-facing production work is behind", "jobs", len(st.Overdue), "first", st.Overdue[0].Job)
	}
}

// addUnknown counts and names the tasks that no record names.
func (c *Leader) addUnknown(st *Status) {
	for _, machine := range c.machines.sorted {
		if machine.UnknownTaskCount == 0 {
			continue
		}
		st.UnknownTasks += machine.UnknownTaskCount
		for _, t := range machine.UnknownTasks() {
			if len(st.Unknown) < tuning.UnknownTasksShown {
				st.Unknown = append(st.Unknown, c.describeUnknown(machine, &t))
			}
		}
	}
}

// logUnknown logs the tasks of a machine that no record names.
func (c *Leader) logUnknown(machine *cluster.Machine) {
	for _, t := range machine.UnknownTasks() {
		u := c.describeUnknown(machine, &t)
		c.Log.Error("unknown task", "task", u.Task, "try", u.Attempt, "state", u.State, "machine", u.Machine, "session", machine.Incarnation, "job", u.Job)
	}
}

func (c *Leader) describeUnknown(machine *cluster.Machine, t *cluster.ReportedTask) UnknownTask {
	u := UnknownTask{Task: t.Task, Attempt: t.Attempt, State: t.State, Machine: machine.ID, Job: "not open"}
	job := c.jobs.open[t.Key.Job]
	switch {
	case job == nil:
	case job.placements[t.Key.Task] != nil:
		u.Job = "the task is elsewhere or another try"
	case job.doneTasks.Has(t.Key.Task):
		u.Job = "the task is done"
	case job.cancelled:
		u.Job = "cancelled"
	default:
		u.Job = "the task waits"
	}
	return u
}

// nodeVersions lists the controllers of the settings with what they have recorded.
func (c *Leader) nodeVersions() []NodeVersion {
	names := []string{c.Config.Node}
	for _, p := range c.Config.Peers {
		names = append(names, p.Node)
	}
	slices.Sort(names)
	out := make([]NodeVersion, len(names))
	for i, name := range names {
		out[i] = NodeVersion{name, max(records.FormatWhole, c.formats.byController[name])}
	}
	return out
}

func (c *Leader) up(machine *cluster.Machine, now time.Time) bool {
	return machine.Up && now.Sub(machine.LastContact) <= c.schedulableSilence()
}
