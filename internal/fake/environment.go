// Package fake holds stand-ins for the state service, the cloud, workers and
// users, written from PROTOCOL, with a network between them that can be cut and
// that holds and repeats messages. Tests run the real controllers against them
// in synthetic time, and a checker judges each run by the rules.
package fake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

// Environment is the cloud, its workers and the users, with the checker that judges
// what they see. One mutex guards it all.
type Environment struct {
	Network *Network
	Store   *Store
	Cfg     config.Deployment
	*workloadClient

	life          context.Context
	mu            sync.Mutex
	types         map[string]protocol.MachineType
	capacity      map[string]int // per type, zone and kind; absent: plenty
	machines      map[string]*machineAgent
	provisioned   map[string][]string
	nextID        int
	jobs          map[protocol.JobID]*userJob
	violations    []string
	Calls         map[string]int             // calls of the cloud, by path
	LoseReply     func(path string) bool     // answers of the cloud that get lost
	CloudDown     bool                       // it answers 503 "trouble"
	PageMost      int                        // machines in a page of the list at most; 0: as many as asked for
	Saved         int                        // tasks that were stopped and saved
	LeaseExpiries int                        // leases that ran out with tasks
	Uneven        float64                    // how much longer each task of an array runs than the one before
	OnDone        func(jobID protocol.JobID) // told when the last task of an array has completed
	Step          time.Duration              // between two looks of a machine at what it runs
	LateStart     time.Duration              // the longest time from a confirmed cancellation to a start
	faultsEnded   bool                       // all troubles are over
	nodeAddrs     map[string]string          // node name -> address
	records       *runRecordReader
}

// defaultStep is fine enough for the times in the rules; a world of thousands of machines
// may take longer steps.
const defaultStep = 50 * time.Millisecond

// NewEnvironment makes a world on a network. Its life ends with ctx.
func NewEnvironment(ctx context.Context, net *Network, cfg config.Deployment, types []protocol.MachineType) *Environment {
	e := &Environment{Network: net, Store: NewStore(), Cfg: cfg, workloadClient: &workloadClient{Network: net, life: ctx}, life: ctx, types: map[string]protocol.MachineType{},
		capacity: map[string]int{}, machines: map[string]*machineAgent{}, provisioned: map[string][]string{},
		jobs: map[protocol.JobID]*userJob{}, Step: defaultStep, Calls: map[string]int{}, nodeAddrs: map[string]string{}}
	for _, t := range types {
		e.types[t.Name] = t
	}
	e.records = newRunRecordReader(e.Store)
	e.Store.MaxOps, e.Store.MaxValue = cfg.State.TxnOps, int(cfg.State.ValueKB*1024)
	net.Listen("state", "state:1", e.Store)
	net.Listen("cloud", "cloud:1", http.HandlerFunc(e.serveCloud))
	go func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			e.checkCancelled()
			e.checkRunRecords()
			e.checkWaiting()
		}
	}()
	return e
}

// AddNode tells users and workers of a node.
func (e *Environment) AddNode(name, addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Nodes = append(e.Nodes, addr)
	e.nodeAddrs[name] = addr
}

// Random is between 0 and 1, by the network's seed.
func (e *Environment) Random() float64 { return e.Network.randomFloat() }

func writeReply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if v != nil {
		b, err := codec.Marshal(v)
		if err != nil {
			panic(err)
		}
		w.Write(b)
	}
}
