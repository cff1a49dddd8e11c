package fake

import (
	"context"
	"slices"
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

	cancelLimit = 37 * time.Second // how long a task may run after its job was cancelled
	// unknownMachine is the ID of a machine that the cloud never provisioned.
	unknownMachine = "m-000009"
)

// history is an environment without controllers, in which a test causes each event itself.
type history struct {
	*Environment
	machine *machineAgent
}

// newHistory returns a history with two accepted jobs of one task each, and with a machine that
// is up. A run record places the first job's task on the machine.
func newHistory(ctx context.Context) *history {
	cfg := config.Deployment{Workers: config.Workers{ReportS: 2.5, LeaseS: 1000, CancelS: cancelLimit.Seconds()}}
	e := NewEnvironment(ctx, NewNetwork(1), cfg, []protocol.MachineType{{Name: "big", Cores: 16, MemGB: 64, Zones: []string{"a"}}})
	e.Register(protocol.Job{ID: firstJob, Kind: protocol.KindArray, Tasks: 1, Cores: 1})
	e.Register(protocol.Job{ID: dependentJob, Kind: protocol.KindArray, Tasks: 1, Cores: 1, DependsOn: []protocol.JobID{firstJob}})
	h := &history{Environment: e}
	e.mu.Lock()
	id := e.newMachine("big", "a", false)
	h.machine = e.machines[id]
	e.mu.Unlock()
	time.Sleep(time.Second) // the machine boots
	h.recordPlacement(firstJob, id)
	return h
}

// recordPlacement stores a run record that places a job's task on a machine.
func (h *history) recordPlacement(jobID protocol.JobID, machine string) {
	placement := records.Placement{Attempt: 1, Machine: machine}
	h.Store.Put(records.SegmentKey(jobID, 0), records.RunRecord{NextAttempt: 2, Placements: []records.Placement{placement}})
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

// startRecordedTask records the placement of a job's task on the machine and starts it there.
func (h *history) startRecordedTask(jobID protocol.JobID) {
	h.recordPlacement(jobID, h.machine.id)
	h.startTask(jobID)
}

// stopTask makes a task exit as if a controller had stopped it.
func (h *history) stopTask(running *agentTask) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine.exit(running, protocol.ExitStopped)
}

// completeJob marks the only task of a job as done.
func (h *history) completeJob(jobID protocol.JobID) {
	h.jobs[jobID].finished[0] = true
}

// answerUser passes to the checker an answer that reports a job's phase to its user.
func (h *history) answerUser(jobID protocol.JobID, phase protocol.JobPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[jobID]
	h.checkJobStatus(job, *job, protocol.JobStatus{ID: jobID, Phase: phase})
}

// cancelAndConfirm cancels a job at its user's request and answers that it is cancelled.
func (h *history) cancelAndConfirm(jobID protocol.JobID) {
	h.mu.Lock()
	h.jobs[jobID].cancelRequested = true
	h.mu.Unlock()
	h.answerUser(jobID, protocol.PhaseCancelled)
}

// exceedCancelLimit waits until the time is over for which tasks of a cancelled job are still
// allowed to run.
func exceedCancelLimit() { time.Sleep(cancelLimit + 3*time.Second) }

// checkerTest is a history with the violation that the checker must find in it.
type checkerTest struct {
	name          string
	steps         func(h *history)
	wantViolation string // "": no rule is broken
}

// recordTests are histories of run records that do or do not name the tasks.
var recordTests = []checkerTest{
	{"recorded task runs", func(h *history) { h.startTask(firstJob) }, ""},
	{"task runs on a machine that its record does not name", func(h *history) {
		h.recordPlacement(firstJob, unknownMachine)
		h.startTask(firstJob)
	}, "orphaned: no record names"},
	{"record is removed before the task exits", func(h *history) {
		h.startTask(firstJob)
		h.Store.Remove(records.SegmentKey(firstJob, 0))
	}, "orphaned: no record names"},
	{"record is undecodable", func(h *history) {
		h.startTask(firstJob)
		h.Store.Corrupt(records.SegmentKey(firstJob, 0))
	}, ""},
	{"task starts while it runs already", func(h *history) {
		h.startTask(firstJob)
		h.startTask(firstJob)
	}, "ran_twice"},
}

// dependencyTests are histories of a job and the one that depends on it.
var dependencyTests = []checkerTest{
	{"job starts before its dependency is done", func(h *history) {
		h.startRecordedTask(dependentJob)
	}, "too_early"},
	{"job starts after its complete dependency was cancelled", func(h *history) {
		h.completeJob(firstJob)
		h.cancelAndConfirm(firstJob)
		h.startRecordedTask(dependentJob)
	}, "too_early"},
	{"task runs on after a dependency was cancelled", func(h *history) {
		h.recordPlacement(dependentJob, h.machine.id)
		h.completeJob(firstJob)
		h.startTask(dependentJob)
		h.cancelAndConfirm(firstJob)
		exceedCancelLimit()
	}, "ran_cancelled"},
	{"job is called queued long after a dependency was cancelled", func(h *history) {
		h.cancelAndConfirm(firstJob)
		exceedCancelLimit()
		h.answerUser(dependentJob, protocol.PhaseQueued)
	}, "orphaned: " + dependentJob},
	{"job is called cancelled after a dependency was cancelled", func(h *history) {
		h.cancelAndConfirm(firstJob)
		exceedCancelLimit()
		h.answerUser(dependentJob, protocol.PhaseCancelled)
	}, ""},
}

// cancellationTests are histories of a job that its user cancels, and of wrong answers.
var cancellationTests = []checkerTest{
	{"task runs on after its job was cancelled", func(h *history) {
		h.startTask(firstJob)
		h.cancelAndConfirm(firstJob)
		exceedCancelLimit()
	}, "ran_cancelled"},
	{"task exits in time after its job was cancelled", func(h *history) {
		running := h.startTask(firstJob)
		h.cancelAndConfirm(firstJob)
		h.stopTask(running)
		exceedCancelLimit()
	}, ""},
	{"job is called done before it is done", func(h *history) {
		h.startTask(firstJob)
		h.answerUser(firstJob, protocol.PhaseDone)
	}, "not_done"},
	{"cancelled job is called queued", func(h *history) {
		h.cancelAndConfirm(firstJob)
		h.answerUser(firstJob, protocol.PhaseQueued)
	}, "went_back"},
}

// waitingTests are histories of jobs that wait beside a machine that has capacity for them.
var waitingTests = []checkerTest{
	{"job waits for a start", func(h *history) {
		h.EndFaults()
		exceedMaxWait()
	}, "left waiting: " + firstJob},
	{"job waits although its dependency is closed", func(h *history) {
		h.completeJob(firstJob)
		h.Store.Put(records.FinalKey(firstJob), records.FinalRecord{})
		h.EndFaults()
		exceedMaxWait()
	}, "left waiting: " + dependentJob},
	{"job waits, and nobody knows that its dependency is complete", func(h *history) {
		h.jobs[firstJob].spec.Kind = protocol.KindGang // gangs are not checked
		h.completeJob(firstJob)
		h.EndFaults()
		exceedMaxWait()
	}, ""},
	{"completion is lost and its task is not started again", func(h *history) {
		h.completeJob(firstJob)
		h.EndFaults()
		exceedMaxWait()
	}, "left waiting: " + firstJob},
}

// exceedMaxWait waits until the time is over for which a job is allowed to wait beside capacity.
func exceedMaxWait() { time.Sleep(maxWaitWithCapacity + 3*time.Second) }

// TestCheckerFindsBrokenRules checks that the checker reports the rule that a history breaks,
// and reports nothing for a history that breaks no rule.
func TestCheckerFindsBrokenRules(t *testing.T) {
	for _, test := range slices.Concat(recordTests, dependencyTests, cancellationTests, waitingTests) {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(t) })
		})
	}
}

// run carries out the history's steps in synthetic time and compares the violations found.
func (test checkerTest) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	h := newHistory(ctx)
	test.steps(h)
	time.Sleep(time.Second)
	violations := strings.Join(h.Violations(), "\n")
	if (test.wantViolation == "" && violations != "") || !strings.Contains(violations, test.wantViolation) {
		t.Errorf("checker found violations %q, want %q", violations, test.wantViolation)
	}
	cancel()
	time.Sleep(time.Second) // the environment's goroutines end
}
