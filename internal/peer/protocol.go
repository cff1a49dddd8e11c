// Package peer is what controllers say to each other, over gRPC: who leads,
// whether the state service answers them, and users' calls on behalf of a node
// that the state service refuses. Messages are MessagePack, as everywhere in
// the service, so no generated code is needed.
package peer

import (
	"context"

	"google.golang.org/grpc"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// Status is what a node says of itself.
type Status struct {
	Leader records.LeaderRecord `msgpack:"l"`
	// StateMS is the time since the state service last served the node.
	StateMS int64 `msgpack:"s"`
	// Acknowledged names the jobs that the node has told users are cancelled, if
	// asked for, and CompleteMS is the time since which none is missing there.
	Acknowledged []protocol.JobID `msgpack:"k,omitempty"`
	CompleteMS   int64            `msgpack:"c,omitempty"`
	// Redirected counts the workers' reports that the node sent on to others.
	Redirected uint64 `msgpack:"t"`
	// Summary is the leader's status, encoded; only if asked for.
	Summary []byte `msgpack:"y,omitempty"`
}

// StatusRequest asks for a node's status.
type StatusRequest struct {
	Leader       records.LeaderRecord `msgpack:"l"`
	Summary      bool                 `msgpack:"y,omitempty"`
	Acknowledged bool                 `msgpack:"k,omitempty"`
}

// Operation is what a user's call asks for.
type Operation string

// The operations of users; the values travel between controllers.
const (
	OperationSubmit Operation = "submit"
	OperationStatus Operation = "poll"
	OperationCancel Operation = "withdraw"
)

// UserCall is a user's call passed on.
type UserCall struct {
	Operation Operation      `msgpack:"o"`
	JobID     protocol.JobID `msgpack:"r"`
	Body      []byte         `msgpack:"b"`
}

// UserAnswer answers it.
type UserAnswer struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
}

// LocalNode is what a node offers its peers.
type LocalNode interface {
	Status(r *StatusRequest) Status
	// IsLeader tells whether the node leads, and so must know what others acknowledge.
	IsLeader() bool
	ObserveTerm(t records.LeaderRecord)
	UserCall(ctx context.Context, c *UserCall) *UserAnswer
}

type messageCodec struct{}

func (messageCodec) Marshal(v any) ([]byte, error)      { return codec.Marshal(v) }
func (messageCodec) Unmarshal(data []byte, v any) error { return codec.Unmarshal(data, v) }
func (messageCodec) Name() string                       { return "msgpack" }

const serviceName = "marblehaven.Peer"

// Service describes the calls between peers.
var Service = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*LocalNode)(nil),
	Methods: []grpc.MethodDesc{
		unaryMethod("Status", func(node LocalNode, _ context.Context, request *StatusRequest) *Status {
			node.ObserveTerm(request.Leader)
			status := node.Status(request)
			return &status
		}),
		unaryMethod("UserCall", func(node LocalNode, ctx context.Context, call *UserCall) *UserAnswer { return node.UserCall(ctx, call) }),
	},
}

func unaryMethod[Request, Response any](name string, answer func(LocalNode, context.Context, *Request) *Response) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(node any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, err
		}
		return answer(node.(LocalNode), ctx, request), nil
	}}
}
