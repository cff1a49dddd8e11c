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
	first  = "req-000001"
	second = "req-000002" // waits for the first
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
	e.Register(protocol.Job{ID: first, Kind: protocol.KindArray, Tasks: 1, Cores: 1})
	e.Register(protocol.Job{ID: second, Kind: protocol.KindArray, Tasks: 1, Cores: 1, DependsOn: []protocol.JobID{first}})
	h := &history{Environment: e}
	e.mu.Lock()
	id := e.newMachine("big", "a", false)
	h.machine = e.machines[id]
	e.mu.Unlock()
	time.Sleep(time.Second) // it is up
	h.record(first, id)
	return h
}

func (h *history) record(jobID protocol.JobID, machine string) {
	h.Store.Put(records.SegmentKey(jobID, 0), records.RunRecord{NextAttempt: 2, Placements: []records.Placement{{Attempt: 1, Machine: machine}}})
}

// run makes a job's task run on the machine, as if a controller had started it.
func (h *history) run(jobID protocol.JobID) *agentTask {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := &agentTask{jobID: jobID, attempt: 1, state: protocol.TaskRunning, stateSince: time.Now(), remainingS: 1e6}
	h.machine.tasks = append(h.machine.tasks, running)
	h.checkStart(h.machine, running)
	return running
}

// tell judges that a job's user is told a phase.
func (h *history) tell(jobID protocol.JobID, phase protocol.JobPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	job := h.jobs[jobID]
	h.checkJobStatus(job, *job, protocol.JobStatus{ID: jobID, Phase: phase})
}

// cancel makes a job's user cancel it and be told so.
func (h *history) cancel(jobID protocol.JobID) {
	h.mu.Lock()
	h.jobs[jobID].cancelRequested = true
	h.mu.Unlock()
	h.tell(jobID, protocol.PhaseCancelled)
}

// The checker finds each broken rule in a history that breaks it, and none in the one
// that does not.
func TestCheckerFindsBrokenRules(t *testing.T) {
	const pastCancel = 40 * time.Second
	for _, b := range []struct {
		name string
		play func(h *history)
		want string // "": no rule is broken
	}{
		{"a recorded task runs", func(h *history) { h.run(first) }, ""},
		{"a task runs that no record names", func(h *history) { h.record(first, "m-000009"); h.run(first) }, "orphaned: no record names"},
		{"the record goes before the task", func(h *history) {
			h.run(first)
			h.Store.Remove(records.SegmentKey(first, 0))
		}, "orphaned: no record names"},
		{"a record that can't be read", func(h *history) { h.run(first); h.Store.Corrupt(records.SegmentKey(first, 0)) }, ""},
		{"a job starts before the one that it waits for is done", func(h *history) {
			h.record(second, h.machine.id)
			h.run(second)
		}, "too_early"},
		{"a job starts though the one that it waits for was cancelled at its end", func(h *history) {
			h.jobs[first].finished[0] = true
			h.cancel(first)
			h.record(second, h.machine.id)
			h.run(second)
		}, "too_early"},
		{"a cancelled job's task goes on", func(h *history) {
			h.run(first)
			h.cancel(first)
			time.Sleep(pastCancel)
		}, "ran_cancelled"},
		{"it ends in time", func(h *history) {
			running := h.run(first)
			h.cancel(first)
			h.mu.Lock()
			h.machine.exit(running, protocol.ExitStopped)
			h.mu.Unlock()
			time.Sleep(pastCancel)
		}, ""},
		{"a job's task goes on after one that it needs was cancelled", func(h *history) {
			h.record(second, h.machine.id)
			h.jobs[first].finished[0] = true
			h.run(second)
			h.cancel(first)
			time.Sleep(pastCancel)
		}, "ran_cancelled"},
		{"a job is called queued long after one that it needs was cancelled", func(h *history) {
			h.cancel(first)
			time.Sleep(pastCancel)
			h.tell(second, protocol.PhaseQueued)
		}, "orphaned: " + second},
		{"it is called cancelled", func(h *history) {
			h.cancel(first)
			time.Sleep(pastCancel)
			h.tell(second, protocol.PhaseCancelled)
		}, ""},
		{"a job is called done before it is", func(h *history) { h.run(first); h.tell(first, protocol.PhaseDone) }, "not_done"},
		{"a cancelled job is called queued", func(h *history) {
			h.cancel(first)
			h.tell(first, protocol.PhaseQueued)
		}, "went_back"},
		{"a task starts while it runs", func(h *history) { h.run(first); h.run(first) }, "ran_twice"},
	} {
		t.Run(b.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				h := newHistory(ctx)
				b.play(h)
				time.Sleep(time.Second)
				broken := strings.Join(h.Violations(), "\n")
				if (b.want == "" && broken != "") || !strings.Contains(broken, b.want) {
					t.Errorf("found %q, not %q", broken, b.want)
				}
				cancel()
				time.Sleep(time.Second) // all that is under way ends
			})
		})
	}
}
