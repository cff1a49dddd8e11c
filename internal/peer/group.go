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

// Group is a controller's view of its peers. It is safe for concurrent use.
type Group struct {
	local LocalNode
	log   *slog.Logger
	mu    sync.Mutex // guards what the links hold of the last exchanges
	links []*peerLink
}

// peerLink is the connection to one peer and the results of the exchanges over it.
type peerLink struct {
	name       string
	conn       grpc.ClientConnInterface
	last       exchange
	redirected redirectWindow
}

// redialMultiplier is the factor from one pause between dials to the next.
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

// NewGroup creates the view of the peers over the connections that dial prepares.
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

// Unreachable tells whether there are peers and none of them has answered for the
// given time.
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
