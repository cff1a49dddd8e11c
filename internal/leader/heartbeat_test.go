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

// A completion is recorded before the agent may forget the attempt: if the leader failed
// in between, neither the store nor the agent would have the completion.
func TestCompletionIsRecordedBeforeRelease(t *testing.T) {
	now := time.Now()
	leader := &Leader{jobs: jobTable{open: map[protocol.JobID]*jobState{}}, leadership: election.Leadership{Term: 1}}
	job := newJob("req-1", &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindArray, Tasks: 2}}, 1, now)
	leader.jobs.open["req-1"] = job
	machine := cluster.NewMachine("m-1", leader.termToken(), now, now.Add(time.Hour))
	machine.ApplyStatus(&protocol.Heartbeat{Machine: "m-1", Incarnation: 1, Sequence: 1, Token: leader.termToken(), Tasks: []protocol.TaskStatus{
		{Task: "req-1/0", Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone}}}, parseTaskName, now, now)
	job.unrecordedDone[0] = true
	if commands := leader.reconcileCommands(machine); len(commands) > 0 {
		t.Errorf("commands %v before the completion was recorded", commands)
	}
	delete(job.unrecordedDone, 0)
	if commands := leader.reconcileCommands(machine); len(commands) != 1 || commands[0].Verb != protocol.VerbRelease {
		t.Errorf("commands %v after the completion was recorded, want one release", commands)
	}
}

// A task that an agent reports and no record names is stopped, counted and described.
func TestUnknownTask(t *testing.T) {
	leader, now := newLoadedLeader(2, 1)
	heartbeat := fullHeartbeat(leader, 0, 2)
	unknown := protocol.TaskStatus{Task: "req-000000/59", Attempt: 9, State: protocol.TaskRunning}
	heartbeat.Tasks = append(heartbeat.Tasks, unknown, protocol.TaskStatus{Task: "req-999999/0", Attempt: 1, State: protocol.TaskExited},
		protocol.TaskStatus{Task: "nonsense", Attempt: 1, State: protocol.TaskFetching})
	var stopped []string
	for _, command := range leader.onHeartbeat(heartbeat, now).Commands {
		if command.Verb == protocol.VerbStop {
			stopped = append(stopped, command.Task)
		}
	}
	if d := cmp.Diff([]string{unknown.Task, "nonsense"}, stopped); d != "" {
		t.Error("wrong tasks were stopped (-want +got):", d)
	}
	leader.schedule(now)
	want := []UnknownTask{
		{Task: unknown.Task, Attempt: 9, State: protocol.TaskRunning, Machine: "m-000000", Job: "the task waits"},
		{Task: "nonsense", Attempt: 1, State: protocol.TaskFetching, Machine: "m-000000", Job: "not open"},
	}
	if d := cmp.Diff(want, leader.status.current.Unknown); d != "" || leader.status.current.UnknownTasks != 2 {
		t.Errorf("%d unknown tasks, descriptions differ (-want +got): %s", leader.status.current.UnknownTasks, d)
	}
	leader.onHeartbeat(fullHeartbeat(leader, 0, 3), now)
	leader.status.summarizedAt = time.Time{}
	if leader.schedule(now); leader.status.current.UnknownTasks != 0 {
		t.Errorf("%d unknown tasks after they have ended", leader.status.current.UnknownTasks)
	}
}
