package leader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/cluster"
	"marblehaven/internal/election"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// A completion is recorded before the worker may forget it: a leader that dies
// in between would leave nothing that shows it.
func TestDoneIsRecordedBeforeReap(t *testing.T) {
	now := time.Now()
	c := &Leader{jobs: jobTable{open: map[protocol.JobID]*jobState{}}, leadership: election.Leadership{Term: 1}}
	job := newJob("req-1", &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindArray, Tasks: 2}}, 1, now)
	c.jobs.open["req-1"] = job
	machine := cluster.NewMachine("m-1", c.termToken(), now, now.Add(time.Hour))
	machine.ApplyStatus(&protocol.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 1, Token: c.termToken(), Tasks: []protocol.TaskStatus{
		{Task: "req-1/0", Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone}}}, parseTask, now, now)
	job.unrecordedDone[0] = true
	if o := c.reconcileCommands(machine); len(o) > 0 {
		t.Errorf("ordered %v before the completion was recorded", o)
	}
	delete(job.unrecordedDone, 0)
	if o := c.reconcileCommands(machine); len(o) != 1 || o[0].Verb != protocol.VerbRelease {
		t.Errorf("ordered %v after it", o)
	}
}

// A task that a worker reports and no record names is stopped, counted and described.
func TestUnknownTask(t *testing.T) {
	c, now := large(2, 1)
	heartbeat := fullReport(c, 0, 2)
	stray := protocol.TaskStatus{Task: "req-000000/59", Attempt: 9, State: protocol.TaskRunning}
	heartbeat.Tasks = append(heartbeat.Tasks, stray, protocol.TaskStatus{Task: "req-999999/0", Attempt: 1, State: protocol.TaskExited},
		protocol.TaskStatus{Task: "nonsense", Attempt: 1, State: protocol.TaskFetching})
	var stopped []string
	for _, order := range c.onHeartbeat(heartbeat, now).Commands {
		if order.Verb == protocol.VerbStop {
			stopped = append(stopped, order.Task)
		}
	}
	if d := cmp.Diff([]string{stray.Task, "nonsense"}, stopped); d != "" {
		t.Error("stopped", d)
	}
	c.schedule(now)
	want := []UnknownTask{
		{Task: stray.Task, Attempt: 9, State: protocol.TaskRunning, Machine: "m-000000", Job: "the task waits"},
		{Task: "nonsense", Attempt: 1, State: protocol.TaskFetching, Machine: "m-000000", Job: "not open"},
	}
	if d := cmp.Diff(want, c.status.current.Unknown); d != "" || c.status.current.UnknownTasks != 2 {
		t.Errorf("%d unknown tasks, %s", c.status.current.UnknownTasks, d)
	}
	c.onHeartbeat(fullReport(c, 0, 3), now)
	c.status.summarizedAt = time.Time{}
	if c.schedule(now); c.status.current.UnknownTasks != 0 {
		t.Errorf("%d unknown tasks after they have ended", c.status.current.UnknownTasks)
	}
}
