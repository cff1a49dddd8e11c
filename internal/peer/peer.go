// Package peer is what controllers say to each other, over gRPC: who leads,
// whether the state service answers them, and users' calls on behalf of a node
// that the state service refuses. Messages are MessagePack, as everywhere in
// the service, so no generated code is needed.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// Status is what a node says of itself.
type Status struct {
	Leader records.LeaderRecord `msgpack:"l"`
	// StateMS is the time since the state service last served the node.
	StateMS int64 `msgpack:"s"`
	// Acknowledged names the jobs that the node has told users are cancelled, if
	// asked for, and CompleteMS is the time since which none is missing there.
	Acknowledged []protocol.JobID `msgpack:"k,omitempty"`
	CompleteMS   int64            `msgpack:"c,omitempty"`
	// Redirected counts the workers' reports that the node sent on to others.
	Redirected uint64 `msgpack:"t"`
	// Summary is the leader's status, encoded; only if asked for.
	Summary []byte `msgpack:"y,omitempty"`
}

// StatusRequest asks for a node's status.
type StatusRequest struct {
	Leader       records.LeaderRecord `msgpack:"l"`
	Summary      bool                 `msgpack:"y,omitempty"`
	Acknowledged bool                 `msgpack:"k,omitempty"`
}

// Operation is what a user's call asks for.
type Operation string

// The operations of users; the values travel between controllers.
const (
	OperationSubmit Operation = "submit"
	OperationStatus Operation = "poll"
	OperationCancel Operation = "withdraw"
)

// UserCall is a user's call passed on.
type UserCall struct {
	Operation Operation      `msgpack:"o"`
	JobID     protocol.JobID `msgpack:"r"`
	Body      []byte         `msgpack:"b"`
}

// UserAnswer answers it.
type UserAnswer struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
}

// LocalNode is what a node offers its peers.
type LocalNode interface {
	Status(r *StatusRequest) Status
	// IsLeader tells whether the node leads, and so must know what others acknowledge.
	IsLeader() bool
	ObserveTerm(t records.LeaderRecord)
	UserCall(ctx context.Context, c *UserCall) *UserAnswer
}

type messageCodec struct{}

func (messageCodec) Marshal(v any) ([]byte, error)      { return codec.Marshal(v) }
func (messageCodec) Unmarshal(data []byte, v any) error { return codec.Unmarshal(data, v) }
func (messageCodec) Name() string                       { return "msgpack" }

const service = "marblehaven.Peer"

// Service describes the calls between peers.
var Service = grpc.ServiceDesc{
	ServiceName: service,
	HandlerType: (*LocalNode)(nil),
	Methods: []grpc.MethodDesc{
		unary("Status", func(l LocalNode, _ context.Context, r *StatusRequest) *Status {
			l.ObserveTerm(r.Leader)
			s := l.Status(r)
			return &s
		}),
		unary("UserCall", func(l LocalNode, ctx context.Context, c *UserCall) *UserAnswer { return l.UserCall(ctx, c) }),
	},
}

func unary[Req, Resp any](name string, f func(LocalNode, context.Context, *Req) *Resp) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := new(Req)
		if err := dec(in); err != nil {
			return nil, err
		}
		return f(srv.(LocalNode), ctx, in), nil
	}}
}

// Serve answers peers on the listener until ctx ends.
func Serve(ctx context.Context, ln net.Listener, local LocalNode) error {
	s := grpc.NewServer(grpc.ForceServerCodec(messageCodec{}), grpc.MaxRecvMsgSize(2*tuning.MaxBody))
	s.RegisterService(&Service, local)
	go func() {
		<-ctx.Done()
		s.Stop()
	}()
	return s.Serve(ln)
}

// statusAnswer is what a peer last answered. Its status was made between the two times.
type statusAnswer struct {
	asked, answered time.Time
	status          Status
}

type peerLink struct {
	name string
	conn grpc.ClientConnInterface
	last statusAnswer
	// What Redirected was at the two latest times that lie PeerWindow apart.
	redirected, before uint64
	markAt             time.Time
}

// Group is a node's view of its peers. It is safe for concurrent use.
type Group struct {
	local LocalNode
	log   *slog.Logger
	mu    sync.Mutex // guards the links' last answers
	links []*peerLink
}

// Dial prepares a connection to a peer; it is made when used.
func Dial(p config.Peer) (grpc.ClientConnInterface, error) {
	bo := backoff.Config{BaseDelay: tuning.PeerRedial, Multiplier: 1.5, MaxDelay: tuning.PeerExchangeInterval}
	return grpc.NewClient("passthrough:///"+p.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(messageCodec{})),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bo, MinConnectTimeout: tuning.PeerTimeout}),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig())
}

// NewGroup makes the view of the peers over connections from dial.
func NewGroup(peers []config.Peer, dial func(config.Peer) (grpc.ClientConnInterface, error), local LocalNode, log *slog.Logger) (*Group, error) {
	g := &Group{local: local, log: log}
	for _, p := range peers {
		conn, err := dial(p)
		if err != nil {
			return nil, err
		}
		g.links = append(g.links, &peerLink{name: p.Node, conn: conn})
	}
	return g, nil
}

// Run exchanges statuses with all peers until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for _, link := range g.links {
		go func() {
			t := time.NewTicker(tuning.PeerExchangeInterval)
			defer t.Stop()
			for {
				g.exchangeStatus(ctx, link, false)
				select {
				case <-ctx.Done():
					return
				case <-t.C:
				}
			}
		}()
	}
}

func (g *Group) exchangeStatus(ctx context.Context, link *peerLink, summary bool) (Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	a := statusAnswer{asked: time.Now()}
	req := &StatusRequest{Leader: g.local.Status(&StatusRequest{}).Leader, Summary: summary, Acknowledged: g.local.IsLeader()}
	err := link.conn.Invoke(ctx, "/"+service+"/Status", req, &a.status)
	if err != nil {
		g.log.Debug("peer silent", "peer", link.name, "err", err)
		return Status{}, false
	}
	a.answered = time.Now()
	g.local.ObserveTerm(a.status.Leader)
	g.mu.Lock()
	link.last = a
	if a.answered.Sub(link.markAt) >= tuning.PeerWindow {
		link.before, link.redirected, link.markAt = link.redirected, a.status.Redirected, a.answered
	}
	g.mu.Unlock()
	return a.status, true
}

// Acknowledged returns the jobs that the peers have told users are cancelled, and
// the latest time up to which none of those told after since is missing; it is
// zero without peers. A peer that restarted after since, or has told users of
// more jobs than it names, cannot say, nor can one that has not been asked.
func (g *Group) Acknowledged(since time.Time) (asOf time.Time, jobIDs []protocol.JobID, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		// The peer reckoned CompleteMS before it answered, so this is too late
		// rather than too early.
		complete := link.last.answered.Add(-time.Duration(link.last.status.CompleteMS) * time.Millisecond)
		if link.last.asked.IsZero() || !complete.Before(since) {
			return time.Time{}, nil, false
		}
		jobIDs = append(jobIDs, link.last.status.Acknowledged...)
		if asOf.IsZero() || link.last.asked.Before(asOf) {
			asOf = link.last.asked
		}
	}
	return asOf, jobIDs, true
}

// Redirected is how many workers' reports the peers that can be heard have sent on
// to other nodes lately.
func (g *Group) Redirected() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := uint64(0)
	for _, link := range g.links {
		switch t := link.last.status.Redirected; {
		case time.Since(link.last.answered) > tuning.PeerFresh:
		case t < link.before: // a new process
			n += t
		default:
			n += t - link.before
		}
	}
	return int(n)
}

// Unreachable tells whether there are peers and none has answered for so long.
func (g *Group) Unreachable(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		if time.Since(link.last.answered) < d {
			return false
		}
	}
	return len(g.links) > 0
}

// StoreServedAfter tells whether the state service has served some peer after the
// given time, and lately.
func (g *Group) StoreServedAfter(t time.Time) bool {
	_, ok := g.servedAfter(t)
	return ok
}

func (g *Group) servedAfter(t time.Time) (*peerLink, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		at := link.last.answered.Add(-time.Duration(link.last.status.StateMS) * time.Millisecond)
		if !link.last.asked.IsZero() && at.After(t) && time.Since(at) < tuning.PeerFresh {
			return link, true
		}
	}
	return nil, false
}

// Forward passes a user's call to a peer that the state service serves.
func (g *Group) Forward(ctx context.Context, c *UserCall) (*UserAnswer, bool) {
	link, ok := g.servedAfter(time.Time{})
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.ForwardTimeout)
	defer cancel()
	a := new(UserAnswer)
	if err := link.conn.Invoke(ctx, "/"+service+"/UserCall", c, a); err != nil {
		return nil, false
	}
	return a, true
}

// Summary fetches the leader's summary.
func (g *Group) Summary(ctx context.Context, node string) []byte {
	for _, link := range g.links {
		if link.name == node {
			s, _ := g.exchangeStatus(ctx, link, true)
			return s.Summary
		}
	}
	return nil
}
