package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Codec is the gRPC codec of this package's messages. Unmarshal also validates
// the decoded message.
type Codec struct{}

const (
	maxElements = 1 << 17
	maxNesting  = 16
)

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// must panics on an error, which only invalid options can cause.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

type validator interface{ Validate() error }

// Marshal implements grpc/encoding.Codec.
func (Codec) Marshal(v any) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encode %T", v) }()
	return encMode.Marshal(v)
}

// Unmarshal implements grpc/encoding.Codec.
func (Codec) Unmarshal(data []byte, v any) (err error) {
	defer func() { err = errors.Wrapf(err, "decode %T", v) }()
	if err := decMode.Unmarshal(data, v); err != nil {
		return err
	}
	if c, ok := v.(validator); ok {
		return c.Validate()
	}
	return nil
}

// Name implements grpc/encoding.Codec.
func (Codec) Name() string { return "cbor" }
