package peer

import (
	"context"
	"net"

	"google.golang.org/grpc"

	"marblehaven/internal/tuning"
)

// Serve answers peers on the listener until ctx ends.
func Serve(ctx context.Context, ln net.Listener, local LocalNode) error {
	s := grpc.NewServer(grpc.ForceServerCodec(messageCodec{}), grpc.MaxRecvMsgSize(2*tuning.MaxBody))
	s.RegisterService(&Service, local)
	go func() {
		<-ctx.Done()
		s.Stop()
	}()
	return s.Serve(ln)
}
