package peer

import (
	"context"

	"google.golang.org/grpc"
)

// The names of the service and its methods. They are not generated from a
// .proto file, since messages are CBOR.
const (
	serviceName     = "hornbeamstage.peer"
	methodHeartbeat = "/" + serviceName + "/Heartbeats"
	methodPush      = "/" + serviceName + "/Push"
	methodPull      = "/" + serviceName + "/Pull"
	methodAsk       = "/" + serviceName + "/Ask"
)

// heartbeatStream describes the client stream of heartbeats.
var heartbeatStream = grpc.StreamDesc{StreamName: "Heartbeats", ClientStreams: true}

// service is the handler type of serviceDesc.
type service interface {
	heartbeats(stream grpc.ServerStream) error
	push(ctx context.Context, p *Push) (*Ack, error)
	pull(ctx context.Context, p *Pull) (*Updates, error)
	ask(ctx context.Context, q *Ask) (*Answer, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*service)(nil),
	Methods: []grpc.MethodDesc{
		{MethodName: "Push", Handler: unary(service.push)},
		{MethodName: "Pull", Handler: unary(service.pull)},
		{MethodName: "Ask", Handler: unary(service.ask)},
	},
	Streams: []grpc.StreamDesc{{
		StreamName:    heartbeatStream.StreamName,
		ClientStreams: true,
		Handler:       func(srv any, stream grpc.ServerStream) error { return srv.(service).heartbeats(stream) },
	}},
}

// unary adapts method to a grpc.MethodHandler.
func unary[Q, A any](method func(service, context.Context, *Q) (*A, error)) grpc.MethodHandler {
	return func(srv any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
		q := new(Q)
		if err := decode(q); err != nil {
			return nil, err
		}
		call := func(ctx context.Context, q any) (any, error) { return method(srv.(service), ctx, q.(*Q)) }
		if interceptor == nil {
			return call(ctx, q)
		}
		return interceptor(ctx, q, &grpc.UnaryServerInfo{Server: srv}, call)
	}
}
