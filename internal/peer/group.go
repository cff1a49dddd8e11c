package peer

import (
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"marblehaven/internal/config"
	"marblehaven/internal/tuning"
)

type peerLink struct {
	name string
	conn grpc.ClientConnInterface
	last exchange
	// What the counter of redirected heartbeats was at the two latest times that lie PeerWindow apart.
	latestCount, earlierCount uint64
	markedAt                  time.Time
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
	redial := backoff.Config{BaseDelay: tuning.PeerRedial, Multiplier: 1.5, MaxDelay: tuning.PeerExchangeInterval}
	return grpc.NewClient("passthrough:///"+p.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(messageCodec{})),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: tuning.PeerTimeout}),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig())
}

// NewGroup makes the view of the peers over connections from dial.
func NewGroup(peers []config.Peer, dial func(config.Peer) (grpc.ClientConnInterface, error), local LocalNode, log *slog.Logger) (*Group, error) {
	group := &Group{local: local, log: log}
	for _, p := range peers {
		conn, err := dial(p)
		if err != nil {
			return nil, err
		}
		group.links = append(group.links, &peerLink{name: p.Node, conn: conn})
	}
	return group, nil
}

// Unreachable tells whether there are peers and none has answered for so long.
func (g *Group) Unreachable(silence time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		if time.Since(link.last.answeredAt) < silence {
			return false
		}
	}
	return len(g.links) > 0
}
