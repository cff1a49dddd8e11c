package server

import (
	"net"
	"net/http"

	"google.golang.org/grpc"

	"marblehaven/internal/config"
	"marblehaven/internal/peer"
	"marblehaven/internal/tuning"
)

// transports holds the connections through which a controller reaches the other parts of
// the system. Tests pass connections through a simulated network.
type transports struct {
	store, cloud, agents http.RoundTripper
	// peer returns a gRPC connection to another controller.
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

// newTransport returns an HTTP transport that keeps up to idleConns connections to each
// host for reuse.
func newTransport(idleConns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}

// newAgentTransport returns an HTTP transport that keeps up to one idle connection to each
// agent for reuse. Idle connections take at most half of the sockets, because commands in
// flight may use the other half.
func newAgentTransport(sockets int) *http.Transport {
	transport := newTransport(1)
	transport.MaxIdleConns = max(1, sockets/2)
	transport.IdleConnTimeout = tuning.ConnIdleTimeoutMin
	return transport
}
