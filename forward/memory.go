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
)

// errNoMemory is returned for an event that exceeds the memory for responses.
var errNoMemory = errors.New("memory for responses is used up")

// memory counts the bytes that all attempts of a Sender have reserved.
type memory struct{ used atomic.Int64 }

// reservation is the part of the memory that one attempt has reserved. It is used by
// one goroutine.
type reservation struct {
	memory *memory
	// limit bounds the reservations of all attempts, in bytes.
	limit int64
	bytes int64
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

// release returns the whole reservation.
func (v *reservation) release() {
	v.memory.used.Add(-v.bytes)
	v.bytes = 0
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
