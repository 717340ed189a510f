// Package httpabort ends responses of a server that can't be completed.
package httpabort

import (
	"crypto/tls"
	"net/http"
)

// Abort ends a response whose beginning was sent, so that the caller can't take it for
// complete. It doesn't return.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection so that its end is an error to the caller. In
// HTTP/1.0, an ordinary close is the end of a response that has no length.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	if lingering, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}
