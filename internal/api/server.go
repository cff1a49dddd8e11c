package api

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/leader"
	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
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
	name       string
	users      *Users
	node       Node
	peers      *peer.Group
	log        *slog.Logger
	slots      chan struct{}
	conns      *connectionTable
	idle       time.Duration // how long a connection is kept idle
	redirected atomic.Uint64 // reports that were sent on to another node
	malformed  *httpclient.MalformedLog
}

// NewServer makes the server of a node.
func NewServer(cfg *config.Config, users *Users, node Node, peers *peer.Group, log *slog.Logger, cs *httpclient.MalformedLog) *Server {
	sockets := cfg.Deployment.Sockets(len(cfg.Peers))
	reports := time.Duration(cfg.Deployment.Workers.ReportS * float64(time.Second))
	return &Server{name: cfg.Node, users: users, node: node, peers: peers, log: log, malformed: cs,
		slots: make(chan struct{}, sockets.Users), conns: newConnectionTable(sockets.Incoming),
		idle: max(tuning.IdleMin, tuning.IdleHeartbeats*reports)}
}

// Serve answers on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: tuning.UserDeadline,
		ReadTimeout:       2 * tuning.UserDeadline,
		IdleTimeout:       s.idle,
		ConnState:         s.conns.track,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	return srv.Serve(ln)
}

// ServeHTTP routes by hand: seven paths, and wrong methods need 405.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/hello":
		if requireMethod(w, r, http.MethodPost) {
			s.serveHeartbeat(w, r)
		}
	case path == "/up":
		if requireMethod(w, r, http.MethodGet) {
			if s.node.Healthy() {
				w.WriteHeader(http.StatusOK)
			} else {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
	case path == "/v1/jobs":
		if requireMethod(w, r, http.MethodPost) {
			if body, ok := readBody(w, r); ok {
				s.serveUser(w, r, peer.OperationSubmit, "", body)
			}
		}
	case strings.HasPrefix(path, "/v1/jobs/"):
		name := strings.TrimPrefix(path, "/v1/jobs/")
		if name, ok := strings.CutSuffix(name, "/withdraw"); ok {
			if requireMethod(w, r, http.MethodPost) {
				s.serveUser(w, r, peer.OperationCancel, protocol.JobID(name), nil)
			}
		} else if requireMethod(w, r, http.MethodGet) {
			s.serveUser(w, r, peer.OperationStatus, protocol.JobID(name), nil)
		}
	case path == "/":
		if requireMethod(w, r, http.MethodGet) {
			s.serveStatusPage(w, r)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func requireMethod(w http.ResponseWriter, r *http.Request, want string) bool {
	if r.Method == want || (want == http.MethodGet && r.Method == http.MethodHead) {
		return true
	}
	w.Header().Set("Allow", want)
	w.WriteHeader(http.StatusMethodNotAllowed)
	return false
}

// readBody reads a body up to the protocol's limit and no further.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxBody))
	if err == nil {
		return body, true
	}
	status := http.StatusBadRequest
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		status = http.StatusRequestEntityTooLarge
	}
	w.WriteHeader(status)
	return nil, false
}

func writeReply(w http.ResponseWriter, status int, body any) {
	var raw []byte
	if body != nil {
		if b, ok := body.([]byte); ok {
			raw = b
		} else {
			raw, _ = codec.Marshal(body)
		}
	}
	h := w.Header()
	if len(raw) > 0 {
		h.Set("Content-Type", "application/msgpack")
	}
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
		// Connections are not moved: a user whose node cannot answer would ask it
		// again and again while the others could.
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
	w.Write(raw)
}

// serveUser answers a user's call. When more come than can be worked on they are
// refused early, at once and alike.
func (s *Server) serveUser(w http.ResponseWriter, r *http.Request, operation peer.Operation, jobID protocol.JobID, body []byte) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	var a answer
	if !s.node.RefusedAlone() {
		a = s.users.Handle(r.Context(), operation, jobID, body)
	} else {
		a = refused
	}
	if a.refused {
		// The state service may refuse this node alone: a peer that it serves
		// can answer for us.
		if f, ok := s.peers.Forward(r.Context(), &peer.UserCall{Operation: operation, JobID: jobID, Body: body}); ok {
			writeReply(w, f.Status, f.Body)
			return
		}
	}
	writeReply(w, a.status, a.body)
}

func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var heartbeat protocol.Heartbeat
	err := codec.Unmarshal(body, &heartbeat)
	if err == nil {
		err = heartbeat.Check()
	}
	if err != nil {
		s.malformed.Record(r.RemoteAddr, err)
		writeReply(w, http.StatusBadRequest, nil)
		return
	}
	if c := s.node.LocalLeader(); c != nil {
		ctx, cancel := context.WithTimeout(r.Context(), tuning.HeartbeatDeadline)
		defer cancel()
		if h, err := c.Heartbeat(ctx, &heartbeat); err == nil {
			writeReply(w, http.StatusOK, h)
			return
		}
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	var to protocol.Redirect
	if t, ok := s.node.Leader(); ok && t.Node != s.name {
		to.Leader = t.Node
	}
	s.redirected.Add(1)
	writeReply(w, http.StatusMisdirectedRequest, to)
}

// Redirected counts the workers' reports that were not for this node.
func (s *Server) Redirected() uint64 { return s.redirected.Load() }
