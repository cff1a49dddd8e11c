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

// Group holds a controller's connections to its peers and the results of the latest status
// exchanges with them. It is safe for concurrent use.
type Group struct {
	local LocalNode
	log   *slog.Logger
	mu    sync.Mutex // guards last and redirected of each link
	links []*peerLink
}

// peerLink is the connection to one peer and the results of the exchanges over it.
type peerLink struct {
	name       string
	conn       grpc.ClientConnInterface
	last       exchange
	redirected redirectWindow
}

// redialMultiplier is the factor by which the pause between dials grows.
const redialMultiplier = 1.5

// Dial prepares a connection to a peer. The connection is established on first use.
func Dial(p config.Peer) (grpc.ClientConnInterface, error) {
	redial := backoff.Config{BaseDelay: tuning.PeerRedial, Multiplier: redialMultiplier, MaxDelay: tuning.PeerExchangeInterval}
	return grpc.NewClient("passthrough:///"+p.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(messageCodec{})),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: tuning.PeerTimeout}),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig())
}

// NewGroup creates a Group with the connections that dial prepares.
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

// Unreachable reports whether there are peers and none of them has replied within the given
// time.
func (g *Group) Unreachable(within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		if time.Since(link.last.receivedAt) < within {
			return false
		}
	}
	return len(g.links) > 0
}
