package api

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/leader"
	"marblehaven/internal/peer"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// Node is the controller of this process, as its HTTP server sees it.
type Node interface {
	// LocalLeader is the leader that runs in this process, nil if the controller does
	// not lead.
	LocalLeader() *leader.Leader
	// Leader is the record of the current leader and term, as far as this controller
	// knows; not ok if it knows none.
	Leader() (records.LeaderRecord, bool)
	// Healthy is the answer to health checks: whether the controller can take requests.
	Healthy() bool
	// Summary fetches the leader's status, from this process or from a peer; not ok if
	// the leader does not answer.
	Summary(ctx context.Context) (leader.Status, bool)
	// StoreRefusesOnlyThisNode tells whether the key-value store refuses this controller while it
	// serves some peer. Users' calls are then forwarded.
	StoreRefusesOnlyThisNode() bool
	// StoreReachable tells whether the key-value store serves this controller.
	StoreReachable() bool
}

// Server is the HTTP server of a controller, for users, agents and health checks.
type Server struct {
	name        string
	users       *Users
	node        Node
	peers       *peer.Group
	log         *slog.Logger
	inFlight    chan struct{} // holds a value for each user's call being answered
	connections *connectionTable
	idleTimeout time.Duration // how long an idle connection is kept
	redirected  atomic.Uint64 // heartbeats that were redirected
	malformed   *httpclient.MalformedLog
}

// maxHeaderBytes limits the header of a request; agents and users send a few lines.
const maxHeaderBytes = 8 << 10

// NewServer creates the HTTP server of a controller.
func NewServer(cfg *config.Config, users *Users, node Node, peers *peer.Group, log *slog.Logger, malformed *httpclient.MalformedLog) *Server {
	sockets := cfg.Deployment.Sockets(len(cfg.Peers))
	heartbeatInterval := cfg.Deployment.Workers.HeartbeatInterval()
	return &Server{
		name:        cfg.Node,
		users:       users,
		node:        node,
		peers:       peers,
		log:         log,
		malformed:   malformed,
		inFlight:    make(chan struct{}, sockets.Users),
		connections: newConnectionTable(sockets.Incoming),
		idleTimeout: max(tuning.IncomingIdleTimeoutMin, tuning.IdleHeartbeats*heartbeatInterval),
	}
}

// Serve answers requests on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: tuning.UserDeadline,
		ReadTimeout:       2 * tuning.UserDeadline,
		IdleTimeout:       s.idleTimeout,
		ConnState:         s.connections.track,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	return server.Serve(listener)
}
