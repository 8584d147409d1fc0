package probe

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// connection is a channel of a caller to an instance.
type connection struct {
	net.Conn
	r *bufio.Reader
}

// dial opens a connection to an instance.
func (p *instance) dial() (*connection, error) {
	conn, err := net.Dial("tcp", p.callers.String())
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReader(conn)}, nil
}

// send sends a request and reads its answer. The status is 0 if no answer came, and the
// error is nil only if it was whole. again reports whether the connection may be used
// again. Nothing of the target is changed on the way.
func (c *connection) send(method, target, id string, deadlineMS int, body string) (status int, again bool, err error) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, deadlineMS)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return 0, false, err
	}
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err == nil && !res.Close, err
}
