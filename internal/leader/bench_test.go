package leader

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// large is a leader with many machines, all full, and many jobs that wait.
func large(machines, jobs int) (*Leader, time.Time) {
	cfg := &config.Config{Operator: config.DefaultOperator()}
	d := &cfg.Deployment
	d.Workers = config.Workers{ReportS: 2.5, LeaseS: 12, GangWaitS: 35, GangPeerS: 4, CancelS: 37}
	d.State = config.State{StateLimits: config.StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 32, TxnOps: 20}}
	d.Cloud = config.Cloud{RPS: 4, ListLagS: 10}
	d.Limits = config.Limits{CPUShare: 0.1, MemoryMB: 200, Sockets: 4000}
	for i := range 10 {
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprint("t", i), Cores: 900, CoresMax: 10000})
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	store := kvstore.New("state:1", &calls{}, httpclient.NewMalformedLog(log), d.State)
	c := New(Dependencies{Config: cfg, Store: store, Log: log, OnNewerTerm: func(protocol.Term) {}, Resign: func() {}, Redirected: func() int { return 0 }}, election.Leadership{Term: 1, TermVersion: 1})
	c.Bind(context.Background())
	now := time.Now()
	c.tookOverAt, c.lease.confirmedByWatch, c.lease.confirmedByTerm = now, now, now
	c.setMachineTypes([]protocol.MachineType{{Name: "big", Cores: 16, MemGB: 64, CacheGB: 40, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 25, Zones: []string{"a", "b"}}})
	c.catalog.loaded = true
	for i := range jobs {
		o := records.OpenJob{AcceptedMS: now.UnixMilli(), Job: protocol.Job{ID: protocol.JobID(fmt.Sprintf("req-%06d", i)), Class: "c", Team: fmt.Sprint("t", i%10),
			Kind: protocol.KindArray, Priority: protocol.PriorityStandard, Tasks: 60, Cores: 4, MemGB: 12, Image: fmt.Sprint("img", i%8), ImageGB: 2, Spot: true, EstimateS: 40}}
		b, _ := codec.Marshal(o)
		c.applyOpenRecord(records.OpenKey(o.Job.ID), b, 1, now)
	}
	for i := range machines {
		machine := c.machineByID(fmt.Sprintf("m-%06d", i), now)
		heartbeat := fullReport(c, i, 1)
		for _, t := range heartbeat.Tasks {
			k, _ := parseTask(t.Task)
			placement := &cluster.Placement{TaskKey: k, Attempt: 1, Incarnation: 1, Machine: machine, Recorded: true, Sent: true, Since: now}
			machine.Placements[k] = placement
			c.jobs.open[k.Job].placements[k.Task] = placement
		}
		c.onHeartbeat(heartbeat, now)
	}
	return c, now
}

func fullReport(c *Leader, i int, seq uint64) *protocol.Heartbeat {
	heartbeat := &protocol.Heartbeat{Machine: fmt.Sprintf("m-%06d", i), Addr: "x:1", MachineType: "big", Zone: "a", Incarnation: 1, Sequence: seq, Token: c.termToken()}
	for t := range 4 {
		n := i*4 + t
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: fmt.Sprintf("req-%06d/%d", n/60, n%60), Attempt: 1, State: protocol.TaskRunning})
	}
	return heartbeat
}

// A report that says nothing new, at the size of the grown deployments.
func BenchmarkReport(b *testing.B) {
	c, now := large(1000, 300)
	raw, _ := codec.Marshal(fullReport(c, 0, 2))
	b.ReportAllocs()
	for i := range b.N {
		var r protocol.Heartbeat
		if err := codec.Unmarshal(raw, &r); err != nil {
			b.Fatal(err)
		}
		r.Sequence = uint64(2 + i)
		codec.Marshal(c.onHeartbeat(&r, now))
	}
}

// A decision pass in which nothing can be placed: every machine is full.
func BenchmarkPassFull(b *testing.B) {
	for _, machines := range []int{1000, 2100, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			c, now := large(machines, 300+machines/10)
			b.ReportAllocs()
			for range b.N {
				c.schedule(now)
			}
		})
	}
}

// What is done twice a second whatever happens, and handshakes with all machines at a
// takeover, but for the calls themselves.
func BenchmarkTick(b *testing.B) {
	for _, machines := range []int{1000, 2100, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			c, now := large(machines, 300+machines/10)
			c.provisioner.listInFlight, c.catalog.nextRead, c.images.nextSave = true, now.Add(time.Hour), now.Add(time.Hour)
			c.dispatcher.handshakesInFlight = tuning.HandshakesInFlight
			b.ReportAllocs()
			for range b.N {
				c.onTick(now)
			}
		})
	}
}
