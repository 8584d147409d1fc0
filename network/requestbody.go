package network

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConnKey is the key of the context value that has a request's connection.
type clientConnKey struct{}

// withConn is the ConnContext hook of the http.Server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, asClientConn(c))
}

// asClientConn returns the client's connection below c, nil if there is none.
func asClientConn(c net.Conn) *clientConn {
	for {
		switch t := c.(type) {
		case *clientConn:
			return t
		case interface{ NetConn() net.Conn }:
			c = t.NetConn()
		default:
			return nil
		}
	}
}

// requestBody is the body of a client's request.
type requestBody struct {
	io.ReadCloser
	conn *clientConn
	// err is the error that ended the body, io.EOF if it is whole.
	err error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err != nil && b.err == nil {
		b.err = err
		if err == io.EOF {
			b.conn.endBody()
		}
	}
	return n, err
}

const (
	// restTime is the time within which the rest of a small body must arrive that the
	// handler didn't read, if the connection is to be kept.
	restTime = 5 * time.Millisecond
	// restBytes is the size of such a rest, in bytes.
	restBytes = 64 << 10
)

// bodyHandler is an HTTP handler that lets another one answer a request before its body
// was read. net/http would wait for the body first.
type bodyHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *bodyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	hasBody := r.ContentLength != 0
	if !c.enter(hasBody) {
		panic(http.ErrAbortHandler)
	}
	if !hasBody {
		h.next.ServeHTTP(w, r)
		return
	}
	// Without support for it, an early response only has to wait for the body.
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	body := &requestBody{ReadCloser: r.Body, conn: c}
	r.Body = body
	h.next.ServeHTTP(w, r)
	if body.err == nil && r.ContentLength <= restBytes && rc.SetReadDeadline(time.Now().Add(restTime)) == nil {
		_, _ = io.CopyN(io.Discard, body, restBytes)
	}
	if body.err != io.EOF {
		c.beginDiscard()
		_ = rc.SetReadDeadline(time.Now().Add(discardTime))
	}
}
