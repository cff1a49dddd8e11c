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

// peerConn carries the gRPC calls of one controller to another through the simulated
// network.
type peerConn struct {
	cluster  *testCluster
	from, to string
}

func (p *peerConn) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	encodedArgs, err := codec.Marshal(args)
	if err != nil {
		return err
	}
	var encodedReply []byte
	err = p.cluster.network.Call(ctx, p.from, p.to, func() {
		p.cluster.mu.Lock()
		node := p.cluster.controllers[p.to]
		p.cluster.mu.Unlock()
		for _, methodDesc := range peer.Service.Methods {
			if node != nil && strings.HasSuffix(method, "/"+methodDesc.MethodName) {
				if response, err := methodDesc.Handler(node, context.Background(), func(in any) error { return codec.Unmarshal(encodedArgs, in) }, nil); err == nil {
					encodedReply, _ = codec.Marshal(response)
				}
			}
		}
	})
	if err != nil || encodedReply == nil {
		return status.Error(codes.Unavailable, "no answer")
	}
	return codec.Unmarshal(encodedReply, reply)
}

func (p *peerConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "the controllers' protocol has no streaming methods")
}
