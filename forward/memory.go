package forward

import (
	"bytes"
	"io"
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
}

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

// release returns the whole reservation.
func (v *reservation) release() {
	v.memory.used.Add(-v.bytes)
	v.bytes, v.header = 0, 0
}

// buffer reads body until it ends, until at least limit bytes were read or until
// the memory is used up. whole reports whether body ended.
func (v *reservation) buffer(body io.Reader, limit int) (data []byte, whole bool, err error) {
	var b bytes.Buffer
	for b.Len() < limit && v.grow() {
		_, err := io.CopyN(&b, body, bufferStep)
		if err == io.EOF {
			return b.Bytes(), true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return b.Bytes(), false, nil
}
