package memory

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// ResponseStep is the size of one reservation for a response, in bytes.
	ResponseStep = 8 << 10
	// freeResponseHeader is the memory of a header for which nothing is reserved, in bytes. Sound
	// endpoints' headers take less.
	freeResponseHeader = 16 << 10
)

// ErrResponses is returned for what exceeds the memory for responses.
var ErrResponses = errors.New("memory for responses is used up")

// Response holds back a response, or a part of it, in reserved memory. It is used by one
// goroutine at a time.
type Response struct {
	// Budget may be nil.
	Budget *Budget

	bytes int64
	// header is the part of bytes that the header takes.
	header int64
	// parts are the parts of the body that return to unusedParts.
	parts []*part
}

// part is memory for a step of a body. A bytes.Buffer in it never grows: that happens
// without room for one more read of the least size.
type part [ResponseStep + bytes.MinRead]byte

// unusedParts keeps the parts of ended attempts. Bodies without an end would otherwise
// be discarded faster than they are collected.
var unusedParts = sync.Pool{New: func() any { return new(part) }}

// Grow reserves one more step. It reports whether there was enough memory.
func (v *Response) Grow() bool {
	if !v.Budget.Take(ShareResponses, ResponseStep) {
		return false
	}
	v.bytes += ResponseStep
	return true
}

// GrowTo reserves n bytes beside what the header takes. It reports whether there was
// enough memory.
func (v *Response) GrowTo(n int64) bool {
	for v.bytes < v.header+n {
		if !v.Grow() {
			return false
		}
	}
	return true
}

// GrowHeader reserves the memory of a header of the given size so far, in bytes.
func (v *Response) GrowHeader(size int) error {
	v.header = max(int64(size)-freeResponseHeader, 0)
	if !v.GrowTo(0) {
		return ErrResponses
	}
	return nil
}

// Release returns the whole reservation. What Read returned must not be used any more.
func (v *Response) Release() {
	v.Budget.Release(ShareResponses, v.bytes)
	v.bytes, v.header = 0, 0
	for _, p := range v.parts {
		unusedParts.Put(p)
	}
	v.parts = nil
}

// newPart returns an empty buffer with room for n bytes, ResponseStep at most.
func (v *Response) newPart(n int64) *bytes.Buffer {
	if n < ResponseStep {
		return bytes.NewBuffer(make([]byte, 0, n+bytes.MinRead))
	}
	p, _ := unusedParts.Get().(*part)
	v.parts = append(v.parts, p)
	return bytes.NewBuffer(p[:0])
}

// Read reads body until it ends, until at least limit bytes were read or until the
// memory is used up. It takes little more memory than it reserves. length is that of the
// body, negative if it is unknown; whole reports whether body ended.
func (v *Response) Read(body io.Reader, length int64, limit int) (data [][]byte, whole bool, err error) {
	size := int64(ResponseStep)
	if length >= 0 {
		size = min(size, length)
	}
	for n := 0; n < limit && v.Grow(); {
		part := v.newPart(size)
		_, err := io.CopyN(part, body, ResponseStep)
		if part.Len() > 0 {
			data = append(data, part.Bytes())
			n += part.Len()
		}
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}
