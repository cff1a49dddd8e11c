package fake

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

const (
	firstJob     = "req-000001"
	dependentJob = "req-000002" // depends on the first
)

// history is a world without controllers, whose history a test makes up.
type history struct {
	*Environment
	machine *machineAgent
}

// newHistory has two jobs of a task each, accepted, a machine that is up, and a record
// that places the first job's task there.
func newHistory(ctx context.Context) *history {
	cfg := config.Deployment{Workers: config.Workers{ReportS: 2.5, LeaseS: 1000, CancelS: 37}}
	e := NewEnvironment(ctx, NewNetwork(1), cfg, []protocol.MachineType{{Name: "big", Cores: 16, MemGB: 64, Zones: []string{"a"}}})
	e.Register(protocol.Job{ID: firstJob, Kind: protocol.KindArray, Tasks: 1, Cores: 1})
	e.Register(protocol.Job{ID: dependentJob, Kind: protocol.KindArray, Tasks: 1, Cores: 1, DependsOn: []protocol.JobID{firstJob}})
	h := &history{Environment: e}
	e.mu.Lock()
	id := e.newMachine("big", "a", false)
	h.machine = e.machines[id]
	e.mu.Unlock()
	time.Sleep(time.Second) // it is up
	h.recordPlacement(firstJob, id)
	return h
}

func (h *history) recordPlacement(jobID protocol.JobID, machine string) {
	h.Store.Put(records.SegmentKey(jobID, 0), records.RunRecord{NextAttempt: 2, Placements: []records.Placement{{Attempt: 1, Machine: machine}}})
}

// startTask makes a job's task run on the machine, as if a controller had started it.
func (h *history) startTask(jobID protocol.JobID) *agentTask {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := &agentTask{jobID: jobID, attempt: 1, state: protocol.TaskRunning, stateSince: time.Now(), remainingS: 1e6}
	h.machine.tasks = append(h.machine.tasks, running)
	h.checkStart(h.machine, running)
	return running
}

// answerUser judges that a job's user is told a phase.
func (h *history) answerUser(jobID protocol.JobID, phase protocol.JobPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[jobID]
	h.checkJobStatus(job, *job, protocol.JobStatus{ID: jobID, Phase: phase})
}

// cancelAndConfirm makes a job's user cancel it and be told so.
func (h *history) cancelAndConfirm(jobID protocol.JobID) {
	h.mu.Lock()
	h.jobs[jobID].cancelRequested = true
	h.mu.Unlock()
	h.answerUser(jobID, protocol.PhaseCancelled)
}

// The checker finds each broken rule in a history that breaks it, and none in the one
// that does not.
func TestCheckerFindsViolations(t *testing.T) {
	const cancelLimitPassed = 40 * time.Second
	for _, test := range []struct {
		name          string
		play          func(h *history)
		wantViolation string // "": no rule is broken
	}{
		{"recorded task runs", func(h *history) { h.startTask(firstJob) }, ""},
		{"task runs on a machine that its record does not name", func(h *history) { h.recordPlacement(firstJob, "m-000009"); h.startTask(firstJob) }, "orphaned: no record names"},
		{"record is removed before the task exits", func(h *history) {
			h.startTask(firstJob)
			h.Store.Remove(records.SegmentKey(firstJob, 0))
		}, "orphaned: no record names"},
		{"record is undecodable", func(h *history) { h.startTask(firstJob); h.Store.Corrupt(records.SegmentKey(firstJob, 0)) }, ""},
		{"job starts before its dependency is done", func(h *history) {
			h.recordPlacement(dependentJob, h.machine.id)
			h.startTask(dependentJob)
		}, "too_early"},
		{"job starts after its complete dependency was cancelled", func(h *history) {
			h.jobs[firstJob].finished[0] = true
			h.cancelAndConfirm(firstJob)
			h.recordPlacement(dependentJob, h.machine.id)
			h.startTask(dependentJob)
		}, "too_early"},
		{"task runs on after its job was cancelled", func(h *history) {
			h.startTask(firstJob)
			h.cancelAndConfirm(firstJob)
			time.Sleep(cancelLimitPassed)
		}, "ran_cancelled"},
		{"task exits in time after its job was cancelled", func(h *history) {
			running := h.startTask(firstJob)
			h.cancelAndConfirm(firstJob)
			h.mu.Lock()
			h.machine.exit(running, protocol.ExitStopped)
			h.mu.Unlock()
			time.Sleep(cancelLimitPassed)
		}, ""},
		{"task runs on after a dependency was cancelled", func(h *history) {
			h.recordPlacement(dependentJob, h.machine.id)
			h.jobs[firstJob].finished[0] = true
			h.startTask(dependentJob)
			h.cancelAndConfirm(firstJob)
			time.Sleep(cancelLimitPassed)
		}, "ran_cancelled"},
		{"job is called queued long after a dependency was cancelled", func(h *history) {
			h.cancelAndConfirm(firstJob)
			time.Sleep(cancelLimitPassed)
			h.answerUser(dependentJob, protocol.PhaseQueued)
		}, "orphaned: " + dependentJob},
		{"job is called cancelled after a dependency was cancelled", func(h *history) {
			h.cancelAndConfirm(firstJob)
			time.Sleep(cancelLimitPassed)
			h.answerUser(dependentJob, protocol.PhaseCancelled)
		}, ""},
		{"job is called done before it is done", func(h *history) { h.startTask(firstJob); h.answerUser(firstJob, protocol.PhaseDone) }, "not_done"},
		{"cancelled job is called queued", func(h *history) {
			h.cancelAndConfirm(firstJob)
			h.answerUser(firstJob, protocol.PhaseQueued)
		}, "went_back"},
		{"task starts while it runs already", func(h *history) { h.startTask(firstJob); h.startTask(firstJob) }, "ran_twice"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				h := newHistory(ctx)
				test.play(h)
				time.Sleep(time.Second)
				violations := strings.Join(h.Violations(), "\n")
				if (test.wantViolation == "" && violations != "") || !strings.Contains(violations, test.wantViolation) {
					t.Errorf("found %q, not %q", violations, test.wantViolation)
				}
				cancel()
				time.Sleep(time.Second) // all that is under way ends
			})
		})
	}
}
