package cluster

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

func parseTask(name string) (TaskKey, bool) {
	jobID, number, found := strings.Cut(name, "/")
	task, _ := strconv.Atoi(number)
	return TaskKey{protocol.JobID(jobID), task}, found
}

const leaseDuration = 12 * time.Second

const firstToken = protocol.FencingToken(3) << tuning.TermShift

func newHeartbeat(incarnation protocol.Incarnation, sequence uint64, token protocol.FencingToken, tasks ...protocol.TaskStatus) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: "m-1", Incarnation: incarnation, Sequence: sequence, Token: token, Tasks: tasks}
}

// machineWithStart returns a machine with one placement whose start is in flight.
func machineWithStart(t *testing.T) (*Machine, *Placement, time.Time) {
	t.Helper()
	now := time.Now()
	machine := NewMachine("m-1", firstToken, now, now.Add(time.Hour))
	machine.ApplyStatus(newHeartbeat(1, 1, firstToken), parseTask, now, now.Add(leaseDuration))
	placement := &Placement{TaskKey: TaskKey{"req-1", 0}, Attempt: 1, Incarnation: 1, Machine: machine, Recorded: true}
	machine.Placements[placement.TaskKey] = placement
	machine.CommandInFlight = true
	machine.RecordStart(placement)
	return machine, placement, now
}
