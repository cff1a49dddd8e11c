package server

import (
	"net"
	"net/http"

	"google.golang.org/grpc"

	"marblehaven/internal/config"
	"marblehaven/internal/tuning"
)

// transports are a node's ways to the other parts of the system.
type transports struct {
	store, cloud, agents http.RoundTripper
	peer                 func(config.Peer) (grpc.ClientConnInterface, error)
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
