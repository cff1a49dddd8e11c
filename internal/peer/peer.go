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

	"marblehaven/internal/config"
	"marblehaven/internal/ledger"
	"marblehaven/internal/tuning"
	"marblehaven/internal/wire"
)

// Word is what a node says of itself.
type Word struct {
	Leader ledger.Term `msgpack:"l"`
	// StateMS is the time since the state service last served the node.
	StateMS int64 `msgpack:"s"`
	// AckMS is the time since the node last told a user of a cancellation, or
	// since it started if it has not.
	AckMS int64 `msgpack:"a"`
	// Turned counts the workers' reports that the node sent on to others.
	Turned uint64 `msgpack:"t"`
	// Summary is the leader's status, encoded; only if asked for.
	Summary []byte `msgpack:"y,omitempty"`
}

// Ask asks for a node's word.
type Ask struct {
	Leader  ledger.Term `msgpack:"l"`
	Summary bool        `msgpack:"y,omitempty"`
}

// UserCall is a user's call passed on.
type UserCall struct {
	Op   string `msgpack:"o"`
	Ref  string `msgpack:"r"`
	Body []byte `msgpack:"b"`
}

// UserAnswer answers it.
type UserAnswer struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
}

// Local is what a node offers its peers.
type Local interface {
	Word(summary bool) Word
	Heard(t ledger.Term)
	UserCall(ctx context.Context, c *UserCall) *UserAnswer
}

type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return wire.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return wire.Unmarshal(data, v) }
func (codec) Name() string                       { return "msgpack" }

const service = "marblehaven.Peer"

// Service describes the calls between peers.
var Service = grpc.ServiceDesc{
	ServiceName: service,
	HandlerType: (*Local)(nil),
	Methods: []grpc.MethodDesc{
		unary("Word", func(l Local, _ context.Context, a *Ask) *Word {
			l.Heard(a.Leader)
			w := l.Word(a.Summary)
			return &w
		}),
		unary("UserCall", func(l Local, ctx context.Context, c *UserCall) *UserAnswer { return l.UserCall(ctx, c) }),
	},
}

func unary[Req, Resp any](name string, f func(Local, context.Context, *Req) *Resp) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := new(Req)
		if err := dec(in); err != nil {
			return nil, err
		}
		return f(srv.(Local), ctx, in), nil
	}}
}

// Serve answers peers on the listener until ctx ends.
func Serve(ctx context.Context, ln net.Listener, local Local) error {
	s := grpc.NewServer(grpc.ForceServerCodec(codec{}), grpc.MaxRecvMsgSize(2*tuning.MaxBody))
	s.RegisterService(&Service, local)
	go func() {
		<-ctx.Done()
		s.Stop()
	}()
	return s.Serve(ln)
}

// heard is the last word of a peer.
type heard struct {
	asked, answered time.Time
	word            Word
}

type link struct {
	name string
	conn grpc.ClientConnInterface
	last heard
	// What Turned was at the two latest times that lie PeerWindow apart.
	turned, before uint64
	markAt         time.Time
}

// Group is a node's view of its peers. It is safe for concurrent use.
type Group struct {
	local Local
	log   *slog.Logger
	mu    sync.Mutex // guards the links' last words
	links []*link
}

// Dial prepares a connection to a peer; it is made when used.
func Dial(p config.Peer) (grpc.ClientConnInterface, error) {
	bo := backoff.Config{BaseDelay: tuning.PeerRedial, Multiplier: 1.5, MaxDelay: tuning.PeerEvery}
	return grpc.NewClient("passthrough:///"+p.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{})),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bo, MinConnectTimeout: tuning.PeerTimeout}),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig())
}

// NewGroup makes the view of the peers over connections from dial.
func NewGroup(peers []config.Peer, dial func(config.Peer) (grpc.ClientConnInterface, error), local Local, log *slog.Logger) (*Group, error) {
	g := &Group{local: local, log: log}
	for _, p := range peers {
		conn, err := dial(p)
		if err != nil {
			return nil, err
		}
		g.links = append(g.links, &link{name: p.Node, conn: conn})
	}
	return g, nil
}

// Run exchanges words with all peers until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for _, l := range g.links {
		go func() {
			t := time.NewTicker(tuning.PeerEvery)
			defer t.Stop()
			for {
				g.ask(ctx, l, false)
				select {
				case <-ctx.Done():
					return
				case <-t.C:
				}
			}
		}()
	}
}

func (g *Group) ask(ctx context.Context, l *link, summary bool) (Word, bool) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	h := heard{asked: time.Now()}
	mine := g.local.Word(false)
	err := l.conn.Invoke(ctx, "/"+service+"/Word", &Ask{Leader: mine.Leader, Summary: summary}, &h.word)
	if err != nil {
		g.log.Debug("peer silent", "peer", l.name, "err", err)
		return Word{}, false
	}
	h.answered = time.Now()
	g.local.Heard(h.word.Leader)
	g.mu.Lock()
	l.last = h
	if h.answered.Sub(l.markAt) >= tuning.PeerWindow {
		l.before, l.turned, l.markAt = l.turned, h.word.Turned, h.answered
	}
	g.mu.Unlock()
	return h.word, true
}

// Confirm returns the latest time up to which all peers have confirmed that
// none of them told a user of a cancellation since the given time; zero if one
// has not. A peer that restarted counts as having told one when it started.
func (g *Group) Confirm(since time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var at time.Time
	for _, l := range g.links {
		told := l.last.answered.Add(-time.Duration(l.last.word.AckMS) * time.Millisecond)
		if l.last.asked.IsZero() || !told.Before(since) {
			return time.Time{}
		}
		if at.IsZero() || l.last.asked.Before(at) {
			at = l.last.asked
		}
	}
	return at
}

// Turned is how many workers' reports the peers that can be heard have sent on to
// other nodes lately.
func (g *Group) Turned() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := uint64(0)
	for _, l := range g.links {
		switch t := l.last.word.Turned; {
		case time.Since(l.last.answered) > tuning.PeerFresh:
		case t < l.before: // a new process
			n += t
		default:
			n += t - l.before
		}
	}
	return int(n)
}

// Silent tells whether there are peers and none has answered for so long.
func (g *Group) Silent(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		if time.Since(l.last.answered) < d {
			return false
		}
	}
	return len(g.links) > 0
}

// ServedAfter tells whether the state service has served some peer after the
// given time, and lately.
func (g *Group) ServedAfter(t time.Time) bool {
	_, ok := g.servedAfter(t)
	return ok
}

func (g *Group) servedAfter(t time.Time) (*link, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		at := l.last.answered.Add(-time.Duration(l.last.word.StateMS) * time.Millisecond)
		if !l.last.asked.IsZero() && at.After(t) && time.Since(at) < tuning.PeerFresh {
			return l, true
		}
	}
	return nil, false
}

// Forward passes a user's call to a peer that the state service serves.
func (g *Group) Forward(ctx context.Context, c *UserCall) (*UserAnswer, bool) {
	l, ok := g.servedAfter(time.Time{})
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.ForwardTimeout)
	defer cancel()
	a := new(UserAnswer)
	if err := l.conn.Invoke(ctx, "/"+service+"/UserCall", c, a); err != nil {
		return nil, false
	}
	return a, true
}

// Summary fetches the leader's summary.
func (g *Group) Summary(ctx context.Context, node string) []byte {
	for _, l := range g.links {
		if l.name == node {
			w, _ := g.ask(ctx, l, true)
			return w.Summary
		}
	}
	return nil
}
