package fake

import (
	"context"
	"net/http"
	"sync"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

// Environment simulates everything outside the controllers: the network, the key-value store,
// the cloud, the agents and the users. It includes the checker of the rules. One mutex guards
// all of it except the network and the store, which have their own.
type Environment struct {
	Network *Network
	Store   *Store
	Cfg     config.Deployment
	agents
	*cloud
	*userClient
	*checker

	ctx        context.Context
	mu         sync.Mutex
	jobs       map[protocol.JobID]*userJob
	addrByNode map[string]string // by node name
}

// NewEnvironment returns an environment without machines and jobs, with the store and the cloud
// served on the network. The environment's goroutines end after ctx does.
func NewEnvironment(ctx context.Context, net *Network, cfg config.Deployment, types []protocol.MachineType) *Environment {
	e := &Environment{
		Network:    net,
		Store:      NewStore(),
		Cfg:        cfg,
		agents:     agents{machines: map[string]*machineAgent{}, step: defaultStep},
		ctx:        ctx,
		jobs:       map[protocol.JobID]*userJob{},
		addrByNode: map[string]string{},
	}
	e.cloud = newCloud(e, types)
	e.userClient = &userClient{env: e}
	e.checker = &checker{env: e, runRecords: newRunRecordReader(e.Store)}
	e.Store.maxOps, e.Store.maxValue = cfg.State.TxnOps, int(cfg.State.ValueKB*1024)
	net.Listen("state", "state:1", e.Store)
	net.Listen("cloud", "cloud:1", http.HandlerFunc(e.serveCloud))
	go e.checkPeriodically(ctx)
	return e
}

// AddNode adds a controller node by its name, which redirects use, and by the address at which
// it serves the HTTP requests of users and agents.
func (e *Environment) AddNode(name, addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodeAddrs = append(e.nodeAddrs, addr)
	e.addrByNode[name] = addr
}

// Random draws the next number between 0 and 1 from the network's seeded sequence. The network
// draws the delays of messages from the same sequence, so an extra draw changes every later one.
func (e *Environment) Random() float64 { return e.Network.randomFloat() }
