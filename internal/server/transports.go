package server

import (
	"net"
	"net/http"

	"google.golang.org/grpc"

	"marblehaven/internal/config"
	"marblehaven/internal/peer"
	"marblehaven/internal/tuning"
)

// transports are a controller's connections to the other parts of the system. Tests
// give it connections through a simulated network.
type transports struct {
	store, cloud, agents http.RoundTripper
	// peer connects to another controller.
	peer func(config.Peer) (grpc.ClientConnInterface, error)
}

// networkTransports returns the transports of a process on a real network.
func networkTransports(cfg *config.Config) transports {
	return transports{
		store:  newTransport(tuning.StoreIdleConns),
		cloud:  newTransport(tuning.CloudIdleConns),
		agents: newAgentTransport(cfg.Deployment.Sockets(len(cfg.Peers)).Commands),
		peer:   peer.Dial,
	}
}

// newTransport returns an HTTP newTransport that keeps up to idleConns connections to each
// host for reuse.
func newTransport(idleConns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}

// newAgentTransport returns an HTTP transport that keeps one connection to each agent, as
// far as the sockets go: half of them may be idle while half are in use.
func newAgentTransport(sockets int) *http.Transport {
	transport := newTransport(1)
	transport.MaxIdleConns = max(1, sockets/2)
	transport.IdleConnTimeout = tuning.IncomingIdleTimeoutMin
	return transport
}
