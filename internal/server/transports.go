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
		store:  transport(tuning.StoreIdleConns),
		cloud:  transport(tuning.CloudIdleConns),
		agents: agentTransport(cfg.Deployment.Sockets(len(cfg.Peers)).Commands),
		peer:   peer.Dial,
	}
}

// transport returns an HTTP transport that keeps up to idleConns connections to each
// host for reuse.
func transport(idleConns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: tuning.DialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}

// agentTransport returns an HTTP transport that keeps one connection to each agent, as
// far as the sockets go: half of them may be idle while half are in use.
func agentTransport(sockets int) *http.Transport {
	agents := transport(1)
	agents.MaxIdleConns = max(1, sockets/2)
	agents.IdleConnTimeout = tuning.IncomingIdleTimeoutMin
	return agents
}
