package leader

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// recordingTransport is an HTTP transport that records the host of each request. A request
// waits for a value on answer, or for answer to be closed, and then gets status 503. With a
// nil answer it waits until its context ends.
type recordingTransport struct {
	mu     sync.Mutex
	hosts  []string
	answer chan struct{}
}

func (c *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	c.hosts = append(c.hosts, r.URL.Hostname())
	c.mu.Unlock()
	select {
	case <-c.answer:
		return &http.Response{StatusCode: 503, Body: http.NoBody}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func (c *recordingTransport) requestedHosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// withUnresponsiveStore gives a leader a key-value store that never answers, so that a commit
// stays in flight. The returned function ends the calls to the store.
func withUnresponsiveStore(t *testing.T, leader *Leader) (end func()) {
	t.Helper()
	leader.Store = kvstore.New("state:1", &recordingTransport{}, httpclient.NewMalformedLog(leader.Log), leader.Config.Deployment.State)
	ctx, cancel := context.WithCancel(t.Context())
	leader.Bind(ctx)
	return func() {
		cancel()
		synctest.Wait()
	}
}

// removeAllPlacements removes all placements of some jobs.
func removeAllPlacements(now time.Time, jobs ...*jobState) {
	for _, job := range jobs {
		for _, placement := range job.placements {
			placement.Machine.RemovePlacement(placement, now)
		}
		clear(job.placements)
	}
}

// newLoadedLeader returns a leader with a number of machines, each full with 4 tasks, and a
// number of jobs of 60 tasks each. The tasks that are on no machine wait.
func newLoadedLeader(machines, jobs int) (*Leader, time.Time) {
	cfg := &config.Config{Operator: config.DefaultOperator()}
	d := &cfg.Deployment
	d.Workers = config.Workers{ReportS: 2.5, LeaseS: 12, GangWaitS: 35, GangPeerS: 4, CancelS: 37}
	d.State = config.State{StateLimits: config.StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 32, TxnOps: 20}}
	d.Cloud = config.Cloud{RPS: 4, ListLagS: 10}
	d.Limits = config.Limits{CPUShare: 0.1, MemoryMB: 200, Sockets: 4000}
	for i := range 10 {
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprint("t", i), GuaranteedCores: 900, CoresMax: 10000})
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	store := kvstore.New("state:1", &recordingTransport{}, httpclient.NewMalformedLog(log), d.State)
	leader := New(Options{Config: cfg, Store: store, Log: log, OnNewerTerm: func(protocol.Term) {}, Resign: func() {}, RedirectedHeartbeats: func() int { return 0 }}, election.Leadership{Term: 1, TermVersion: 1})
	leader.Bind(context.Background())
	now := time.Now()
	leader.tookOverAt, leader.lease.confirmedByWatch, leader.lease.confirmedByTerm = now, now, now
	leader.setMachineTypes([]protocol.MachineType{{Name: "big", Cores: 16, MemGB: 64, CacheGB: 40, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 25, Zones: []string{"a", "b"}}})
	leader.catalog.loaded = true
	for i := range jobs {
		open := records.OpenJob{AcceptedMS: now.UnixMilli(), Job: protocol.Job{ID: protocol.JobID(fmt.Sprintf("req-%06d", i)), Class: "c", Team: fmt.Sprint("t", i%10),
			Kind: protocol.KindArray, Priority: protocol.PriorityStandard, Tasks: 60, Cores: 4, MemGB: 12, Image: fmt.Sprint("img", i%8), ImageGB: 2, Spot: true, EstimateS: 40}}
		raw, _ := codec.Marshal(open)
		leader.applyOpenRecord(records.OpenKey(open.Job.ID), raw, 1, now)
	}
	for i := range machines {
		machine := leader.ensureMachine(fmt.Sprintf("m-%06d", i), now)
		heartbeat := fullHeartbeat(leader, i, 1)
		for _, t := range heartbeat.Tasks {
			key, _ := parseTaskName(t.Task)
			placement := &cluster.Placement{TaskKey: key, Attempt: 1, Incarnation: 1, Machine: machine, Recorded: true, Sent: true, Since: now}
			machine.Placements[key] = placement
			leader.jobs.open[key.Job].placements[key.Task] = placement
		}
		leader.onHeartbeat(heartbeat, now)
	}
	return leader, now
}

func fullHeartbeat(leader *Leader, i int, seq uint64) *protocol.Heartbeat {
	heartbeat := &protocol.Heartbeat{Machine: fmt.Sprintf("m-%06d", i), Addr: "x:1", MachineType: "big", Zone: "a", Incarnation: 1, Sequence: seq, Token: leader.termToken()}
	for t := range 4 {
		n := i*4 + t
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: fmt.Sprintf("req-%06d/%d", n/60, n%60), Attempt: 1, State: protocol.TaskRunning})
	}
	return heartbeat
}
