package network

import "net/http"

// Abort breaks off a response that was started, so that the client can tell that it
// is incomplete. It ends the handler and doesn't return.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks the end of the connection may be that of the response.
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection of a response with a reset, as far as the connection
// supports it.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
