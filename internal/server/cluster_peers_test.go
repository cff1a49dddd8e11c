package server

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marblehaven/internal/codec"
	"marblehaven/internal/peer"
)

// peerConn carries gRPC calls between the controllers through the simulated network.
type peerConn struct {
	c        *testCluster
	from, to string
}

func (p *peerConn) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	raw, err := codec.Marshal(args)
	if err != nil {
		return err
	}
	var out []byte
	err = p.c.network.Call(ctx, p.from, p.to, func() {
		p.c.mu.Lock()
		node := p.c.controllers[p.to]
		p.c.mu.Unlock()
		for _, m := range peer.Service.Methods {
			if node != nil && strings.HasSuffix(method, "/"+m.MethodName) {
				if v, err := m.Handler(node, context.Background(), func(in any) error { return codec.Unmarshal(raw, in) }, nil); err == nil {
					out, _ = codec.Marshal(v)
				}
			}
		}
	})
	if err != nil || out == nil {
		return status.Error(codes.Unavailable, "no answer")
	}
	return codec.Unmarshal(out, reply)
}

func (p *peerConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "no streams")
}
