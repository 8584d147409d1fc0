package forward

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// defaultBufferBytes is the value of Sender.BufferBytes if it is 0.
	defaultBufferBytes = 32 << 20
	// bufferStep is the size of one reservation, in bytes.
	bufferStep = 8 << 10
	// freeHeader is the memory of a header for which nothing is reserved, in bytes. Sound
	// endpoints' headers take less.
	freeHeader = 16 << 10
)

// errNoMemory is returned for an event or a header that exceeds the memory for responses.
var errNoMemory = errors.New("memory for responses is used up")

// memory counts the bytes that all attempts of a Sender have reserved.
type memory struct{ used atomic.Int64 }

// reservation is the part of the memory that one attempt has reserved. It is used by
// one goroutine at a time.
type reservation struct {
	memory *memory
	// limit bounds the reservations of all attempts, in bytes.
	limit int64
	bytes int64
	// header is the part of bytes that the header takes.
	header int64
	// parts are the parts of the body that return to unusedParts.
	parts []*part
}

// part is memory for a step of a body. A bytes.Buffer in it never grows: that happens
// without room for one more read of the least size.
type part [bufferStep + bytes.MinRead]byte

// unusedParts keeps the parts of ended attempts. Bodies without an end would otherwise
// be discarded faster than they are collected.
var unusedParts = sync.Pool{New: func() any { return new(part) }}

// grow reserves one more step. It reports whether there was enough memory.
func (v *reservation) grow() bool {
	if v.memory.used.Add(bufferStep) > v.limit {
		v.memory.used.Add(-bufferStep)
		return false
	}
	v.bytes += bufferStep
	return true
}

// growTo reserves n bytes beside what the header takes. It reports whether there was
// enough memory.
func (v *reservation) growTo(n int64) bool {
	for v.bytes < v.header+n {
		if !v.grow() {
			return false
		}
	}
	return true
}

// growHeader reserves the memory of a header of the given size so far, in bytes.
func (v *reservation) growHeader(size int) error {
	v.header = max(int64(size)-freeHeader, 0)
	if !v.growTo(0) {
		return errNoMemory
	}
	return nil
}

// release returns the whole reservation. What buffer returned must not be used any more.
func (v *reservation) release() {
	v.memory.used.Add(-v.bytes)
	v.bytes, v.header = 0, 0
	for _, p := range v.parts {
		unusedParts.Put(p)
	}
	v.parts = nil
}

// newPart returns an empty buffer with room for n bytes, bufferStep at most.
func (v *reservation) newPart(n int64) *bytes.Buffer {
	if n < bufferStep {
		return bytes.NewBuffer(make([]byte, 0, n+bytes.MinRead))
	}
	p, _ := unusedParts.Get().(*part)
	v.parts = append(v.parts, p)
	return bytes.NewBuffer(p[:0])
}

// buffer reads body until it ends, until at least limit bytes were read or until the
// memory is used up. It takes little more memory than it reserves. length is that of the
// body, negative if it is unknown; whole reports whether body ended.
func (v *reservation) buffer(body io.Reader, length int64, limit int) (data [][]byte, whole bool, err error) {
	size := int64(bufferStep)
	if length >= 0 {
		size = min(size, length)
	}
	for n := 0; n < limit && v.grow(); {
		part := v.newPart(size)
		_, err := io.CopyN(part, body, bufferStep)
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
