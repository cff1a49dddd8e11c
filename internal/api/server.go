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

// Node is what the server asks about its node.
type Node interface {
	// LocalLeader is the leader of this node's term, nil if it has none.
	LocalLeader() *leader.Leader
	// Leader is who leads, as far as known.
	Leader() (records.LeaderRecord, bool)
	// Healthy tells whether the node can take requests.
	Healthy() bool
	// Summary is the leader's status, from whichever node.
	Summary(ctx context.Context) (leader.Status, bool)
	// RefusedAlone tells whether it serves others but not this node.
	RefusedAlone() bool
	// StoreReachable tells whether the state service serves this node.
	StoreReachable() bool
}

// Server serves the users' address.
type Server struct {
	name        string
	users       *Users
	node        Node
	peers       *peer.Group
	log         *slog.Logger
	inFlight    chan struct{}
	connections *connectionTable
	idleTimeout time.Duration // how long a connection is kept idle
	redirected  atomic.Uint64 // reports that were sent on to another node
	malformed   *httpclient.MalformedLog
}

// NewServer makes the server of a node.
func NewServer(cfg *config.Config, users *Users, node Node, peers *peer.Group, log *slog.Logger, malformed *httpclient.MalformedLog) *Server {
	sockets := cfg.Deployment.Sockets(len(cfg.Peers))
	return &Server{name: cfg.Node, users: users, node: node, peers: peers, log: log, malformed: malformed,
		inFlight: make(chan struct{}, sockets.Users), connections: newConnectionTable(sockets.Incoming),
		idleTimeout: max(tuning.IdleMin, tuning.IdleHeartbeats*cfg.Deployment.Workers.HeartbeatInterval())}
}

// Serve answers on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: tuning.UserDeadline,
		ReadTimeout:       2 * tuning.UserDeadline,
		IdleTimeout:       s.idleTimeout,
		ConnState:         s.connections.track,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	return server.Serve(listener)
}
