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

// Node is the part of this process's controller that its HTTP server uses.
type Node interface {
	// LocalLeader returns the leader that runs in this process, or nil if the controller
	// does not lead.
	LocalLeader() *leader.Leader
	// KnownLeader returns the newest record of a leader and its term that this controller has
	// received, or false if it has received none.
	KnownLeader() (records.LeaderRecord, bool)
	// Healthy reports whether the controller can take requests. It is the answer to health
	// checks.
	Healthy() bool
	// Summary returns the leader's status, from this process or from a peer, or false if
	// the leader does not answer.
	Summary(ctx context.Context) (leader.Status, bool)
	// StoreFailureIsLocal reports whether the key-value store serves some peer but not
	// this controller, or whether this controller reaches neither the store nor any peer.
	// Users' calls are then forwarded to a peer that the store serves, if there is one.
	StoreFailureIsLocal() bool
	// StoreReachable reports whether the key-value store serves this controller.
	StoreReachable() bool
}

// Server is the HTTP server of a controller, for users, agents and health checks.
type Server struct {
	name        string
	users       *Users
	node        Node
	peers       *peer.Group
	log         *slog.Logger
	inFlight    chan struct{} // semaphore with one value for each user's call in progress
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
		idleTimeout: max(tuning.ConnIdleTimeoutMin, tuning.ConnIdleHeartbeats*heartbeatInterval),
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
