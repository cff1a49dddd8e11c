package leader

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// A job restored from its records waits for exactly what is neither done nor
// possibly on a machine, the lowest numbers first.
func TestRestore(t *testing.T) {
	now := time.Now()
	o := &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindArray, Tasks: 10}}
	job := newJob("req-1", o, 1, now)
	job.restore(&records.RunRecord{NextAttempt: 9, Done: records.TaskRanges{{0, 1}, {4, 4}}, Placements: []records.Placement{{Task: 6, Attempt: 8}}})
	job.placements[6] = &cluster.Placement{TaskKey: cluster.TaskKey{Job: "req-1", Task: 6}, Machine: &cluster.Machine{ID: "m"}}
	var got []int
	for job.waitingTasks() > 0 {
		n := job.takeTask()
		job.placements[n] = &cluster.Placement{TaskKey: cluster.TaskKey{Job: "req-1", Task: n}, Machine: &cluster.Machine{ID: "m"}}
		got = append(got, n)
	}
	if d := cmp.Diff([]int{2, 3, 5, 7, 8, 9}, got); d != "" {
		t.Error(d)
	}
	if r := job.segmentRecord(0); len(r.Placements) != 7 || r.NextAttempt != 9 || r.Done.Count() != 3 {
		t.Errorf("recorded as %+v", r)
	}
}

// The deadline counts from the submission, what objectives ask from when the last job
// that it needs was done. A job that can no longer keep its deadline is held to the
// multiple of it that an objective names, and then to nothing earlier.
func TestDueIn(t *testing.T) {
	c, now := large(0, 1)
	c.Config.Deployment.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "deadline", Class: "c", Times: 1.5},
		{Kind: "finished", Class: "c", WithinS: 500}, {Kind: "finished", Class: "other", WithinS: 1}}
	job := c.jobs.open["req-000000"]
	job.spec.DeadlineS = 100
	none := math.Inf(1)
	for _, w := range []struct{ age, ready, est, inherited, due float64 }{
		{10, 10, 20, none, 90},    // in time
		{90, 90, 20, none, 60},    // held to 1.5 times
		{140, 140, 20, none, 360}, // held to the objective
		{90, 5, 20, none, 60},     // ready late, due as before
		{140, 5, 20, none, 495},   // the objective counts from then
		{10, 10, 20, 50, 50},      // needed earlier by another
		{10, 10, 20, 15, 90},      // which cannot be kept
		{900, 900, 20, none, -400},
	} {
		job.acceptedAt = now.Add(-seconds(w.age))
		job.readyAt = now.Add(-seconds(w.ready))
		if due, _ := c.deadlineFor(job, w.est, w.inherited, false, now); math.Abs(due-w.due) > 1e-6 {
			t.Errorf("%+v: due in %v", w, due)
		}
	}
}

// A gang starts whole: nothing waits while a member may be on a machine.
func TestGangWaitsWhole(t *testing.T) {
	job := newJob("req-1", &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindGang, Tasks: 3}}, 1, time.Now())
	if job.waitingTasks() != 3 {
		t.Errorf("%d wait", job.waitingTasks())
	}
	job.placements[job.takeTask()] = &cluster.Placement{}
	if job.waitingTasks() != 0 {
		t.Errorf("%d wait while one may run", job.waitingTasks())
	}
}

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

// A late report of a machine that was given back, long after that was forgotten,
// does not make it one to place work on.
func TestReturnedMachineStaysGone(t *testing.T) {
	c, now := large(2, 1)
	machine := c.machines.byID["m-000000"]
	heartbeat := fullReport(c, 0, 7)
	heartbeat.Token, heartbeat.Tasks = machine.IssuedToken, nil
	c.onHeartbeat(heartbeat, now)
	c.provisioner.deprovisionInFlight = []*cluster.Machine{machine}
	c.onDeprovisionResult(deprovisionResult{}, now)
	if c.onHeartbeat(heartbeat, now); c.machines.byID["m-000000"] != nil {
		t.Error("a copy revived a machine just given back")
	}
	clear(c.machines.removed)
	c.onHeartbeat(heartbeat, now)
	if machine := c.machines.byID["m-000000"]; machine == nil || machine.Schedulable(now, time.Minute) {
		t.Error("a copy made a machine usable that is gone")
	}
	r2 := fullReport(c, 0, 8)
	r2.Token, r2.Tasks = c.machines.byID["m-000000"].IssuedToken, nil
	c.onHeartbeat(r2, now)
	if !c.machines.byID["m-000000"].Schedulable(now, time.Minute) {
		t.Error("a machine that is there, and shows it, is not usable")
	}
}

// A new leader knows from the hints of the last which images a machine has.
func TestHints(t *testing.T) {
	c, now := large(2, 1)
	machine := c.machines.byID["m-000001"]
	for _, name := range []string{"a", "b", "c"} {
		machine.RecordImageUse(name, 10, 40)
	}
	hint, _ := newImageInventory(c.machines.sorted, 32<<10)
	raw, _ := codec.Marshal(hint)
	next, _ := large(0, 1)
	var h records.ImageInventory
	if err := codec.Unmarshal(raw, &h); err != nil {
		t.Fatal(err)
	}
	next.images.inherited["m-000001"] = &h
	next.onHeartbeat(&protocol.Heartbeat{Machine: "m-000001", Addr: "x:1", MachineType: "big", Zone: "a", Incarnation: 1, Sequence: 9}, now)
	if d := cmp.Diff(machine.Images(), next.machines.byID["m-000001"].Images()); d != "" {
		t.Error(d)
	}
}

// Controllers may name a job as cancelled before its record with that was read. It is
// stopped at once, but nothing is written on the version that is known: it would fail,
// and with it every other write of the same commit.
func TestNamedBeforeItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, now := large(8, 2)
		defer withSilentStore(t, c)()
		named, other := c.jobs.open["req-000000"], c.jobs.open["req-000001"]
		dropAll(now, named, other)
		late := now.Add(time.Minute)
		c.Acknowledged = func(time.Time) (time.Time, []protocol.JobID, bool) { return late, []protocol.JobID{named.id}, true }
		c.confirmByPeers(late)
		if !named.cancelled || other.cancelled || !c.lease.lastProof().Equal(late) {
			t.Fatalf("cancelled %v and %v, authority %v", named.cancelled, other.cancelled, c.lease.lastProof().Sub(now))
		}
		c.commit(late)
		if c.writer.inFlight != nil {
			t.Error("a job was closed on a version that is behind")
		}
		o := records.OpenJob{AcceptedMS: now.UnixMilli(), Job: named.spec, Cancelled: true}
		b, _ := codec.Marshal(o)
		c.applyOpenRecord(records.OpenKey(named.id), b, named.openVersion+1, late)
		c.commit(late)
		isNamed := func(cl jobClosing) bool { return cl.job == named }
		if c.writer.inFlight == nil || !slices.ContainsFunc(c.writer.inFlight.closed, isNamed) {
			t.Error("a job whose record was read is not closed")
		}
	})
}

// A reading of the open jobs that began before a job was closed may arrive at any time
// after. It doesn't open the job again: each write for it would fail, and with it all
// others of the same commit. Once a later reading is in, nothing need be remembered.
func TestReadingFromBeforeClosing(t *testing.T) {
	c, now := large(0, 1)
	job := c.jobs.open["req-000000"]
	raw, _ := codec.Marshal(records.OpenJob{AcceptedMS: now.UnixMilli(), Job: job.spec})
	record := protocol.KeyValue{Key: records.OpenKey(job.id), Value: raw, Version: job.openVersion}
	reading := watchResult{events: []protocol.WatchEvent{{Set: record.Key, Value: raw, Version: record.Version}}, asOf: now.Add(time.Second)}
	c.dependencies.lookupInFlight, c.dependencies.lookupBegan = true, now.Add(time.Second)
	c.onJobClosed(jobClosing{job, records.FinalRecord{Phase: protocol.PhaseDone, ClosedMS: now.UnixMilli()}}, now.Add(2*time.Second))
	long := now.Add(2 * tuning.RereadInterval)
	c.pruneClosedJobs()
	c.onWatchResult(reading, long)
	c.pruneClosedJobs()
	c.onWatchResult(watchResult{asOf: now.Add(3 * time.Second)}, long)
	c.pruneClosedJobs()
	c.onDependencyLookup(dependencyLookup{open: []protocol.KeyValue{record}}, long)
	if len(c.jobs.open) > 0 {
		t.Error("a closed job was opened again")
	}
	if c.pruneClosedJobs(); len(c.jobs.closed) > 0 {
		t.Error("a closed job is remembered though no reading can name it")
	}
}

// A job of whose run record a part can't be read rests until what that may have named is
// surely over, whatever becomes of the tasks that the rest names.
func TestRestIsNotShortened(t *testing.T) {
	c, now := large(1, 1)
	job, machine := c.jobs.open["req-000000"], c.machines.byID["m-000000"]
	until := now.Add(time.Hour)
	job.recordUnreadable = true
	job.backOff(until)
	for _, cause := range []protocol.ExitReason{protocol.ExitError, protocol.ExitUnknownTask} {
		for _, placement := range machine.Placements {
			c.endPlacements([]cluster.EndedPlacement{{Placement: placement, ExitReason: cause}}, now)
			break
		}
	}
	if !job.backoffUntil.Equal(until) {
		t.Errorf("a rest of an hour became one of %v", job.backoffUntil.Sub(now))
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
