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

// controller is one controller process. It serves users and peers for as long as the
// process runs, and runs a leader while it holds a term.
type controller struct {
	cfg       *config.Config
	log       *slog.Logger
	store     *kvstore.Client
	cloud     *cloud.Client
	candidate *election.Candidate
	users     *api.Users
	agents    *agent.Client
	peers     *peer.Group
	api       *api.Server
	// activeLeader is the leader that runs in this process, nil while this controller
	// does not lead.
	activeLeader atomic.Pointer[leader.Leader]
	// supportedFormat is the latest version of the record formats that this
	// controller reads and writes.
	supportedFormat int
}

// Run runs a controller until ctx ends. It returns an error if the controller cannot
// start or its HTTP server for users and agents fails. Other failures do not end the
// process: failed calls are retried.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger) error {
	limitMemory(cfg.Deployment.Limits.MemoryMB)
	apiListener, err := net.Listen("tcp", cfg.APIAddr)
	if err != nil {
		return fmt.Errorf("field api_addr: %w", err)
	}
	peerListener, err := net.Listen("tcp", cfg.PeerBind)
	if err != nil {
		return fmt.Errorf("field peer_bind: %w", err)
	}
	c, err := newController(cfg, log, networkTransports(cfg))
	if err != nil {
		return fmt.Errorf("field peers: %w", err)
	}
	go c.servePeers(ctx, peerListener)
	c.start(ctx)
	log.Info("serving", "node", cfg.Node, "address", cfg.APIAddr)
	if err := c.api.Serve(ctx, apiListener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// limitMemory keeps the process within its share of the deployment's memory limit, in MB.
func limitMemory(limitMB float64) {
	const bytesPerMB = 1 << 20
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(limitMB * tuning.MemoryShare * bytesPerMB))
}

// servePeers answers the other controllers until ctx ends. If the server fails before
// that, the failure is logged and the process keeps running, because the controller can
// still serve users.
func (c *controller) servePeers(ctx context.Context, listener net.Listener) {
	if err := peer.Serve(ctx, listener, c); err != nil && ctx.Err() == nil {
		c.log.Error("serving peers failed; other controllers get no answers from this one", "err", err)
	}
}

// newController creates a controller that reaches the other parts of the system through
// the given connections. Its background work begins with start.
func newController(cfg *config.Config, log *slog.Logger, conns transports) (*controller, error) {
	c := &controller{cfg: cfg, log: log, supportedFormat: records.FormatSupported}
	malformed := httpclient.NewMalformedLog(log)
	c.store = kvstore.New(cfg.Services.State, conns.store, malformed, cfg.Deployment.State)
	c.cloud = cloud.New(cfg.Services.Cloud, conns.cloud, malformed, cfg.Deployment.Cloud.RPS*cfg.Operator.CloudCallShare)
	c.agents = agent.New(conns.agents, malformed, cfg.Deployment.Sockets(len(cfg.Peers)).Commands/2)
	c.candidate = election.New(c.store, cfg.Node, log)
	c.users = api.NewUsers(cfg, c.store, log)
	var err error
	if c.peers, err = peer.NewGroup(cfg.Peers, conns.peer, c, log); err != nil {
		return nil, err
	}
	c.api = api.NewServer(cfg, c.users, c, c.peers, log, malformed)
	return c, nil
}

// start begins all background work except serving requests. Each goroutine ends when ctx
// ends, or earlier when its one task is done. Nothing waits for the goroutines: what an
// interrupted one leaves unfinished in the key-value store is no worse than what a crash
// at that moment would leave.
func (c *controller) start(ctx context.Context) {
	c.peers.Run(ctx)
	go c.loadMachineTypes(ctx)
	// FormatWhole is the format of the first version of this program, which recorded no
	// format version.
	if c.supportedFormat > records.FormatWhole {
		go c.recordFormatVersion(ctx)
	}
	go c.candidate.Run(ctx, c.lead)
}
