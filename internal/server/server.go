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
	"time"

	"google.golang.org/grpc"

	"marblehaven/internal/agent"
	"marblehaven/internal/api"
	"marblehaven/internal/clock"
	"marblehaven/internal/cloud"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/election"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/leader"
	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
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

// transports are a node's ways to the other parts of the system.
type transports struct {
	store, cloud, agents http.RoundTripper
	peer                 func(config.Peer) (grpc.ClientConnInterface, error)
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

func (n *controller) lead(ctx context.Context, held election.Leadership) {
	c := leader.New(leader.Dependencies{
		Config: n.cfg, Store: n.store, Cloud: n.cloud, Agents: n.agents, Log: n.log,
		OnNewerTerm:  func(t protocol.Term) { n.candidate.ObserveTerm(records.LeaderRecord{Term: t}) },
		Resign:       n.candidate.Resign,
		Redirected:   n.peers.Redirected,
		Acknowledged: n.acknowledged,
	}, held)
	c.Bind(ctx)
	n.activeLeader.Store(c)
	defer n.activeLeader.Store(nil)
	c.Run()
}

func transport(conns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}

// agentTransport keeps a connection to each worker, as far as the sockets go:
// half of them may be idle, half in use.
func agentTransport(sockets int) *http.Transport {
	t := transport(1)
	t.MaxIdleConns = max(1, sockets/2)
	t.IdleConnTimeout = tuning.IdleMin
	return t
}

// loadMachineTypes finds out once which machine types there are: from the leader's
// copy, so that the cloud's call budget is not spent by every node, or from
// the cloud.
func (n *controller) loadMachineTypes(ctx context.Context) {
	for !n.users.HasTypes() {
		var types []protocol.MachineType
		entry, err := n.store.Get(ctx, records.KeyCatalog)
		if err == nil {
			err = codec.Unmarshal(entry.Value, &types)
		}
		if err != nil || len(types) == 0 {
			types, err = n.cloud.Catalog(ctx)
		}
		if err == nil {
			n.users.SetTypes(types)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tuning.ElectionRetry):
		}
	}
}

// recordVersion records once which formats of records this program reads, for the
// leader to learn when all controllers do. A controller never goes back to an
// earlier version, so the record holds for good.
func (n *controller) recordVersion(ctx context.Context) {
	for {
		err := n.writeVersion(ctx)
		if err == nil {
			return
		}
		n.log.Debug("recording the version", "err", err)
		if !clock.Sleep(ctx, tuning.ElectionRetry) {
			return
		}
	}
}

func (n *controller) writeVersion(ctx context.Context) error {
	key := records.NodeKey(n.cfg.Node)
	entry, err := n.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	var v records.FormatVersion
	if err == nil && codec.Unmarshal(entry.Value, &v) == nil && v.Format >= n.format {
		return nil
	}
	_, err = n.store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: key, Version: entry.Version}},
		Mutations:     []protocol.Mutation{{Set: key, Value: records.FormatVersion{Format: n.format}}},
	})
	return err
}

// LocalLeader is the leader of this node's term, nil if it has none.
func (n *controller) LocalLeader() *leader.Leader { return n.activeLeader.Load() }

// Leader is who leads, as far as known.
func (n *controller) Leader() (records.LeaderRecord, bool) {
	t, ok := n.candidate.Leader()
	return t, ok && t.Node != ""
}

// StoreReachable tells whether the state service serves this node.
func (n *controller) StoreReachable() bool { return n.store.SinceServed() < tuning.StoreServedAge }

// RefusedAlone tells whether the state service refuses this node while it serves
// others: they were served well after this node was. At the edges of an outage
// nodes notice at slightly different times, which must not look like this: the
// load balancer takes a node back later each time it was removed.
func (n *controller) RefusedAlone() bool {
	return !n.StoreReachable() && (n.peers.StoreServedAfter(time.Now().Add(tuning.RefusedAloneLag-n.store.SinceServed())) || n.isolated())
}

// isolated tells whether neither the state service nor any other controller has
// been heard for a while: then it is most likely this node that is cut off, and
// users must not be sent to it.
func (n *controller) isolated() bool {
	return n.store.SinceServed() > tuning.IsolatedAfter && n.peers.Unreachable(tuning.IsolatedAfter)
}

// Healthy is off while the state service refuses this node alone. While it serves
// nobody the node stays up: removing all nodes would only add to the outage.
func (n *controller) Healthy() bool { return n.users.HasTypes() && !n.RefusedAlone() }

// Summary is the leader's status, from whichever node.
func (n *controller) Summary(ctx context.Context) (s leader.Status, ok bool) {
	if c := n.activeLeader.Load(); c != nil {
		return c.Status(ctx)
	}
	t, known := n.Leader()
	if !known {
		return s, false
	}
	raw := n.peers.Summary(ctx, t.Node)
	return s, raw != nil && codec.Unmarshal(raw, &s) == nil
}

// acknowledged returns the jobs that controllers, this one included, have told
// users are cancelled, and the time up to which none of those told after since is
// missing; ok is false if one of them cannot tell.
func (n *controller) acknowledged(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	now := time.Now() // what this node tells users from here on is later than asOf
	own, complete := n.users.Acknowledged()
	if !complete.Before(since) {
		return asOf, nil, false
	}
	asOf, jobIDs, ok = n.peers.Acknowledged(since)
	if asOf.IsZero() {
		asOf = now
	}
	return asOf, append(own, jobIDs...), ok
}

// Status is what this node says to its peers.
func (n *controller) Status(r *peer.StatusRequest) peer.Status {
	s := peer.Status{StateMS: n.store.SinceServed().Milliseconds(), Redirected: n.api.Redirected()}
	s.Leader, _ = n.candidate.Leader()
	if r.Acknowledged {
		var since time.Time
		s.Acknowledged, since = n.users.Acknowledged()
		s.CompleteMS = time.Since(since).Milliseconds()
	}
	if c := n.activeLeader.Load(); r.Summary && c != nil {
		ctx, cancel := context.WithTimeout(context.Background(), tuning.PeerTimeout)
		defer cancel()
		if sum, ok := c.Status(ctx); ok {
			s.Summary, _ = codec.Marshal(sum)
		}
	}
	return s
}

// IsLeader tells whether this node leads.
func (n *controller) IsLeader() bool { return n.activeLeader.Load() != nil }

// ObserveTerm takes in a term that a peer has named.
func (n *controller) ObserveTerm(t records.LeaderRecord) {
	if t.Term > 0 {
		n.candidate.ObserveTerm(t)
	}
}

// UserCall answers a user's call for a peer.
func (n *controller) UserCall(ctx context.Context, c *peer.UserCall) *peer.UserAnswer {
	return n.users.UserCall(ctx, c)
}
