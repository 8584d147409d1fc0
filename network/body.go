package network

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrTooLong is returned for a response body that exceeds its limit.
var ErrTooLong = errors.New("response body is too long")

// LimitBody returns a reader of body that returns ErrTooLong after limit bytes if
// body has more. Unlike io.LimitReader it does not make a longer body look complete.
func LimitBody(body io.Reader, limit int64) io.Reader {
	return &limitedBody{body: body, left: limit, limit: limit}
}

// limitedBody is the reader of LimitBody.
type limitedBody struct {
	body        io.Reader
	left, limit int64
	err         error
}

// Read implements io.Reader. It asks for one byte more than is allowed, to tell a
// body of the greatest length from a longer one.
func (l *limitedBody) Read(p []byte) (int, error) {
	if l.err != nil || len(p) == 0 {
		return 0, l.err
	}
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.body.Read(p)
	if int64(n) <= l.left {
		l.left -= int64(n)
		l.err = err
		return n, err
	}
	n, l.left = int(l.left), 0
	l.err = errors.Wrapf(ErrTooLong, "more than %d bytes", l.limit)
	return n, l.err
}

// LimitResponse makes the body of res return ErrTooLong after limit bytes if it has
// more.
func LimitResponse(res *http.Response, limit int64) {
	res.Body = struct {
		io.Reader
		io.Closer
	}{LimitBody(res.Body, limit), res.Body}
}

// ReadBody reads all of body. It returns ErrTooLong if body has more than limit
// bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(LimitBody(body, limit))
	if err != nil {
		return nil, err
	}
	return data, nil
}
