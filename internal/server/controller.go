// Package server runs one controller process: it wires the packages together,
// starts and ends the leader with its term, and records the format version that
// this program reads.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"marblehaven/internal/agent"
	"marblehaven/internal/api"
	"marblehaven/internal/cloud"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/leader"
	"marblehaven/internal/peer"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

type controller struct {
	cfg          *config.Config
	log          *slog.Logger
	store        *kvstore.Client
	cloud        *cloud.Client
	candidate    *election.Candidate
	users        *api.Users
	agents       *agent.Client
	peers        *peer.Group
	api          *api.Server
	activeLeader atomic.Pointer[leader.Leader]
	format       int // the version of the formats of records that it reads and writes
}

// Run runs a controller until ctx ends. It only returns an error if it cannot
// start: whatever fails later is waited out.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger) error {
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(cfg.Deployment.Limits.MemoryMB * tuning.MemoryShare * (1 << 20)))
	apiLn, err := net.Listen("tcp", cfg.APIAddr)
	if err != nil {
		return fmt.Errorf("field api_addr: %w", err)
	}
	peerLn, err := net.Listen("tcp", cfg.PeerBind)
	if err != nil {
		return fmt.Errorf("field peer_bind: %w", err)
	}
	node, err := newController(cfg, log, transports{
		store: transport(tuning.StateConns), cloud: transport(tuning.CloudConns), agents: agentTransport(cfg.Deployment.Sockets(len(cfg.Peers)).Commands), peer: peer.Dial,
	})
	if err != nil {
		return fmt.Errorf("field peers: %w", err)
	}
	go func() {
		if err := peer.Serve(ctx, peerLn, node); err != nil && ctx.Err() == nil {
			log.Error("peers' address", "err", err)
		}
	}()
	node.start(ctx)
	log.Info("serving", "node", cfg.Node, "address", cfg.APIAddr)
	if err := node.api.Serve(ctx, apiLn); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newController(cfg *config.Config, log *slog.Logger, l transports) (*controller, error) {
	node := &controller{cfg: cfg, log: log, format: records.FormatSupported}
	cs := httpclient.NewMalformedLog(log)
	node.store = kvstore.New(cfg.Services.State, l.store, cs, cfg.Deployment.State)
	node.cloud = cloud.New(cfg.Services.Cloud, l.cloud, cs, cfg.Deployment.Cloud.RPS*cfg.Operator.CallBudget)
	node.agents = agent.New(l.agents, cs, cfg.Deployment.Sockets(len(cfg.Peers)).Commands/2)
	node.candidate = election.New(node.store, cfg.Node, log)
	node.users = api.NewUsers(cfg, node.store, log)
	var err error
	if node.peers, err = peer.NewGroup(cfg.Peers, l.peer, node, log); err != nil {
		return nil, err
	}
	node.api = api.NewServer(cfg, node.users, node, node.peers, log, cs)
	return node, nil
}

// start begins everything but serving; it ends with ctx.
func (n *controller) start(ctx context.Context) {
	n.peers.Run(ctx)
	go n.loadMachineTypes(ctx)
	if n.format > records.FormatWhole { // which was recorded by nobody
		go n.recordVersion(ctx)
	}
	go n.candidate.Run(ctx, n.lead)
}
