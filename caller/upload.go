package caller

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/memory"
	"github.com/hornbeamstage/hornbeamstage/network"
)

const (
	// memoryRetryAfter is the Retry-After of a request for which there is no memory:
	// another instance may have it.
	memoryRetryAfter = 200 * time.Millisecond
	// chunkedBytes is the first size of the buffer for a body of unknown length, in bytes.
	chunkedBytes = 8 << 10
)

// ReserveRequest reserves the memory of a request without its body. Its error is a
// *hornbeamstage.Refusal.
func ReserveRequest(m *memory.Reservation) error {
	if m.Reserve(memory.ShareRequests, memory.RequestBytes) != nil {
		return noMemory("requests")
	}
	return nil
}

func noMemory(what string) error { return hbs.NotRun(hbs.ReasonMemory, what, memoryRetryAfter) }

// ReadBody reads the body of r, of at most limit bytes, within the timeout. It reserves
// the memory before, all of it if the length is known. Its error is a
// *hornbeamstage.Refusal.
func (s *Sink) ReadBody(r *http.Request, timeout time.Duration, limit int64, m *memory.Reservation) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if err := s.rc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, hbs.BadRequest(errors.Wrap(err, "set read deadline"))
	}
	read := readChunked
	if r.ContentLength > 0 {
		limit, read = r.ContentLength, readSized
	}
	data, err := read(r.Body, limit, m)
	switch {
	case errors.Is(err, memory.ErrUsedUp), errors.Is(err, network.ErrReclaimed):
		return nil, noMemory("bodies")
	case errors.Is(err, errTooLarge):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, hbs.BadRequest(errors.Wrap(err, "read body"))
	}
	// net/http detects that the caller disconnects only without a read deadline.
	if err := s.rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, hbs.BadRequest(errors.Wrap(err, "lift read deadline"))
	}
	return data, nil
}

func tooLarge(limit int64) error {
	return hbs.NotRun(hbs.ReasonTooLarge, fmt.Sprintf("more than %d bytes", limit), 0)
}

var errTooLarge = errors.New("body is too large")

// readSized reads a body of size bytes. A large one gets its buffer only when it has
// begun to arrive.
func readSized(body io.Reader, size int64, m *memory.Reservation) (data []byte, err error) {
	if err := m.GrowBody(0, size); err != nil {
		return nil, err
	}
	data = make([]byte, min(size, memory.SmallBody))
	n, err := io.ReadFull(body, data)
	if err != nil {
		return nil, err
	}
	if size > int64(n) {
		data = append(make([]byte, 0, size), data...)[:size]
		if _, err := io.ReadFull(body, data[n:]); err != nil {
			return nil, err
		}
	}
	return data, readEnd(body)
}

// readEnd reads the end of a body of which all bytes were read.
func readEnd(body io.Reader) error {
	var none [1]byte
	if _, err := body.Read(none[:]); err != io.EOF {
		return err
	}
	return nil
}

// readChunked reads a body of unknown length of at most limit bytes.
func readChunked(body io.Reader, limit int64, m *memory.Reservation) (data []byte, err error) {
	for {
		if len(data) == cap(data) {
			if int64(len(data)) == limit {
				return data, readLimit(body)
			}
			size := min(max(2*int64(cap(data)), chunkedBytes), limit)
			if err := m.GrowBody(int64(cap(data)), size); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readLimit reads the end of a body that has reached its limit.
func readLimit(body io.Reader) error {
	var more [1]byte
	n, err := io.ReadFull(body, more[:])
	if n > 0 {
		return errTooLarge
	}
	if err == io.EOF {
		return nil
	}
	return err
}
