package peer

import (
	"context"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Version is the version of the protocol between instances. It is incremented
// when an older instance could misinterpret a message; adding an optional field
// does not require that.
const Version = 1

const versionHeader = "hornbeamstage-protocol"

func withVersion(ctx context.Context, version int) context.Context {
	return metadata.AppendToOutgoingContext(ctx, versionHeader, strconv.Itoa(version))
}

// checkVersion rejects calls of another protocol version (rule 6).
func checkVersion(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	got := md.Get(versionHeader)
	if len(got) == 1 && got[0] == strconv.Itoa(Version) {
		return nil
	}
	return status.Errorf(codes.FailedPrecondition, "protocol version %q is not known; this instance speaks %d", got, Version)
}

func checkUnary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := checkVersion(ctx); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func checkStream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := checkVersion(stream.Context()); err != nil {
		return err
	}
	return next(srv, stream)
}
