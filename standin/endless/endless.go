// Package endless is a stand-in for a server whose responses never end. It sends
// bytes, as fast as they are read or one at a time, until the client closes the
// connection.
package endless

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	hbs "github.com/hornbeamstage/hornbeamstage"
	"github.com/hornbeamstage/hornbeamstage/delay"
)

// Response is a response without an end.
type Response struct {
	// Start is sent once.
	Start string
	// Repeat is sent again and again after Start; not empty.
	Repeat string
}

// The responses that never become a final response with an HTTP body.
var (
	// NoHTTP are bytes that begin no HTTP response.
	NoHTTP = Response{Repeat: "x"}
	// HeaderLine is a header with one line that never ends.
	HeaderLine = Response{Start: "HTTP/1.1 200 OK\r\nX-Filler: ", Repeat: "x"}
	// HeaderLines is a header with more and more lines.
	HeaderLines = Response{Start: "HTTP/1.1 200 OK\r\n", Repeat: "X-Filler: x\r\n"}
	// Interim are interim responses that no final response follows.
	Interim = Response{Repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}
)

// Headers are the responses that never become a final response with an HTTP body, by a
// description for tests.
var Headers = map[string]Response{
	"bytes that are no response": NoHTTP, "a header line without an end": HeaderLine,
	"header lines without an end": HeaderLines, "interim responses without an end": Interim,
	"a switch of protocols": Switched(""),
}

// Body returns a response with the given header lines, each ended by "\r\n", whose
// body consists of repeat.
func Body(status, header, repeat string) Response {
	return Response{Start: "HTTP/1.1 " + status + "\r\n" + header + "\r\n", Repeat: repeat}
}

// Switched returns a response with the given header lines, each ended by "\r\n", that
// switches to another protocol, which the request didn't ask for.
func Switched(header string) Response {
	return Body("101 Switching Protocols", header+"Connection: Upgrade\r\nUpgrade: x\r\n", "x")
}

// HeldHeader returns a response whose header is sent up to the given number of lines at
// once, and then goes on without an end.
func HeldHeader(lines int) Response {
	return Response{Start: HeaderLines.Start + strings.Repeat(HeaderLines.Repeat, lines), Repeat: HeaderLines.Repeat}
}

// Rate is how fast a response is sent.
type Rate struct {
	// Bytes are sent at once, positive.
	Bytes int
	// Interval is the time between two sends, positive.
	Interval time.Duration
}

// The rates of most tests.
var (
	Fast  = Rate{Bytes: 16 << 10, Interval: time.Millisecond}
	Drips = Rate{Bytes: 1, Interval: time.Second}
)

// Server serves one response on each connection. Exported fields are set before
// Run.
type Server struct {
	Address  netip.AddrPort
	Network  hbs.Network
	Response Response
	Rate     Rate

	mu   sync.Mutex
	sent int
	open int
	seen int
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "endless server %s", s.Address) }()
	l, err := s.Network.Listen(s.Address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			return ctx.Err()
		}
		wg.Go(func() { s.serve(ctx, conn) })
	}
}

// serve waits for the first bytes of a request and sends the response.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer closeWith(ctx, conn)()
	s.add(0, 1)
	defer s.add(0, -1)
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return
	}
	s.Response.send(ctx, conn, s.Rate, func(n int) { s.add(n, 0) })
}

// send sends the response until the client closes conn or ctx ends. It calls sent
// with the bytes of each send after Start.
func (r Response) send(ctx context.Context, conn net.Conn, rate Rate, sent func(int)) {
	if _, err := conn.Write([]byte(r.Start)); err != nil {
		return
	}
	text := strings.Repeat(r.Repeat, 2+rate.Bytes/len(r.Repeat))
	for at := 0; ; at = (at + rate.Bytes) % len(r.Repeat) {
		n, err := conn.Write([]byte(text[at : at+rate.Bytes]))
		sent(n)
		if err != nil || delay.For(ctx, rate.Interval) != nil {
			return
		}
	}
}

// Serve sends the response to a request that another stand-in has received, until
// the client closes the connection or ctx ends.
func (r Response) Serve(ctx context.Context, w http.ResponseWriter, rate Rate) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Wrap(err, "endless response")
	}
	defer closeWith(ctx, conn)()
	r.send(ctx, conn, rate, func(int) {})
	return nil
}

// closeWith closes conn when ctx ends or the returned function is called.
func closeWith(ctx context.Context, conn net.Conn) (closeNow func()) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return func() {
		stop()
		_ = conn.Close()
	}
}

// add counts bytes and connections.
func (s *Server) add(sent, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent += sent
	s.open += open
	s.seen += max(open, 0)
}

// Sent returns the number of bytes sent after Response.Start.
func (s *Server) Sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Open returns the number of connections that the client has not closed.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}
