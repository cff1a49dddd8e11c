package peer

import (
	"context"
	"net"

	"google.golang.org/grpc"

	"marblehaven/internal/tuning"
)

// Serve answers the calls of peers on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, local LocalNode) error {
	server := grpc.NewServer(grpc.ForceServerCodec(messageCodec{}), grpc.MaxRecvMsgSize(2*tuning.MaxBody))
	server.RegisterService(&Service, local)
	go func() {
		<-ctx.Done()
		server.Stop()
	}()
	return server.Serve(listener)
}
