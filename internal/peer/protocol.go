// Package peer implements the protocol between the controllers of a cluster, over gRPC.
// Controllers exchange who leads, whether the key-value store serves them and which
// cancellations they have acknowledged, and they answer users' calls for a controller that
// the store does not serve.
//
// The package owns the connections to the peers and each peer's last status. It never
// decides who leads and never accesses the key-value store: the controller behind LocalNode
// does both.
//
// Messages are MessagePack, as everywhere in the service, so no generated code is
// needed. The names of the gRPC service and its methods, the tags and the values of
// Operation are read by other versions during an upgrade and must not change.
package peer

import (
	"context"

	"google.golang.org/grpc"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// Status is the status of a controller as sent to its peers.
type Status struct {
	Leader records.LeaderRecord `msgpack:"l"`
	// SinceStoreServedMS is the time in milliseconds since the key-value store last served
	// the controller.
	SinceStoreServedMS int64 `msgpack:"s"`
	// AcknowledgedCancellations lists the jobs whose cancellation the controller has
	// acknowledged to users, if the request asks for them. The list is complete for the
	// last AcknowledgedCompleteMS milliseconds.
	AcknowledgedCancellations []protocol.JobID `msgpack:"k,omitempty"`
	AcknowledgedCompleteMS    int64            `msgpack:"c,omitempty"`
	// RedirectedHeartbeats counts the heartbeats that the controller redirected to others.
	RedirectedHeartbeats uint64 `msgpack:"t"`
	// Summary is the leader's status page data, encoded, if the request asks for it.
	Summary []byte `msgpack:"y,omitempty"`
}

// StatusRequest requests a controller's status. Leader is the newest leader record of the
// sender. Summary and AcknowledgedCancellations say whether the reply must contain the
// fields of these names in Status.
type StatusRequest struct {
	Leader                    records.LeaderRecord `msgpack:"l"`
	Summary                   bool                 `msgpack:"y,omitempty"`
	AcknowledgedCancellations bool                 `msgpack:"k,omitempty"`
}

// Operation is the kind of a user's call.
type Operation string

// The operations of users. Their values are sent between controllers.
const (
	OperationSubmit Operation = "submit"
	OperationStatus Operation = "poll"
	OperationCancel Operation = "withdraw"
)

// UserCall is a user's call that one controller forwards to another.
type UserCall struct {
	Operation Operation      `msgpack:"o"`
	JobID     protocol.JobID `msgpack:"r"`
	Body      []byte         `msgpack:"b"`
}

// UserAnswer is the answer to a UserCall: an HTTP status and an encoded body.
type UserAnswer struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
}

// LocalNode is the controller of this process, which answers the calls of its peers.
type LocalNode interface {
	// Status returns the controller's status, with the parts that the request asks for.
	Status(r *StatusRequest) Status
	// IsLeader reports whether the controller leads. A leader requests from its peers which
	// cancellations they have acknowledged.
	IsLeader() bool
	// ObserveTerm processes the leader and the term that a peer has sent.
	ObserveTerm(t records.LeaderRecord)
	// UserCall answers a user's call for a peer that the key-value store does not serve.
	UserCall(ctx context.Context, c *UserCall) *UserAnswer
}

type messageCodec struct{}

// Marshal encodes a message as MessagePack.
func (messageCodec) Marshal(v any) ([]byte, error) { return codec.Marshal(v) }

// Unmarshal decodes a message.
func (messageCodec) Unmarshal(data []byte, v any) error { return codec.Unmarshal(data, v) }

// Name is the codec's name in gRPC's content type.
func (messageCodec) Name() string { return "msgpack" }

// The names of the gRPC service and its methods.
const (
	serviceName    = "marblehaven.Peer"
	methodStatus   = "Status"
	methodUserCall = "UserCall"
)

// methodPath returns the full path of a method, as gRPC clients pass it to Invoke.
func methodPath(method string) string { return "/" + serviceName + "/" + method }

// Service describes the calls between peers.
var Service = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*LocalNode)(nil),
	Methods: []grpc.MethodDesc{
		unaryMethod(methodStatus, answerStatus),
		unaryMethod(methodUserCall, answerUserCall),
	},
}

func answerStatus(_ context.Context, node LocalNode, request *StatusRequest) *Status {
	node.ObserveTerm(request.Leader)
	status := node.Status(request)
	return &status
}

func answerUserCall(ctx context.Context, node LocalNode, call *UserCall) *UserAnswer {
	return node.UserCall(ctx, call)
}

// unaryMethod describes a method with one request and one response.
func unaryMethod[Request, Response any](name string, answer func(context.Context, LocalNode, *Request) *Response) grpc.MethodDesc {
	handler := func(node any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, err
		}
		return answer(ctx, node.(LocalNode), request), nil
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}
