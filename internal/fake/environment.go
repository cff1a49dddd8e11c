package fake

import (
	"context"
	"net/http"
	"sync"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

// Environment is the cloud, its workers and the users, with the checker that judges
// what they see. One mutex guards it all.
type Environment struct {
	Network *Network
	Store   *Store
	Cfg     config.Deployment
	agents
	*cloud
	*workloadClient
	*checker

	life      context.Context
	mu        sync.Mutex
	jobs      map[protocol.JobID]*userJob
	nodeAddrs map[string]string // node name -> address
}

// NewEnvironment makes a world on a network. Its life ends with ctx.
func NewEnvironment(ctx context.Context, net *Network, cfg config.Deployment, types []protocol.MachineType) *Environment {
	e := &Environment{
		Network:        net,
		Store:          NewStore(),
		Cfg:            cfg,
		agents:         agents{machines: map[string]*machineAgent{}, Step: defaultStep},
		workloadClient: &workloadClient{Network: net, life: ctx},
		life:           ctx,
		jobs:           map[protocol.JobID]*userJob{},
		nodeAddrs:      map[string]string{},
	}
	e.cloud = newCloud(e, types)
	e.checker = &checker{env: e, records: newRunRecordReader(e.Store)}
	e.Store.MaxOps, e.Store.MaxValue = cfg.State.TxnOps, int(cfg.State.ValueKB*1024)
	net.Listen("state", "state:1", e.Store)
	net.Listen("cloud", "cloud:1", http.HandlerFunc(e.serveCloud))
	go e.checkPeriodically(ctx)
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
