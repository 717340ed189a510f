// Package httpreset shows callers that speak HTTP/1.0 that their response isn't complete.
// They have no chunks: a response without a length ends with its connection, unless that
// is reset.
package httpreset

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// tcpConn is a TCP connection. Its Close sends a reset after SetLinger(0), and an end after
// SetLinger(-1).
type tcpConn interface {
	SetLinger(seconds int) error
	Close() error
}

// ConnContext adds a connection to the context of its requests. An http.Server that uses
// Guard.Handler must have it as its ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	if tcp, ok := conn.(tcpConn); ok {
		return context.WithValue(ctx, connKey{}, tcp)
	}
	return ctx
}

// Guard resets connections whose response isn't complete. The zero value is ready for use.
type Guard struct {
	mu         sync.Mutex
	closed     bool
	unfinished map[tcpConn]struct{} // connections with a response in progress
}

// Handler returns a handler that resets the connection of a caller that speaks HTTP/1.0 if
// next panics, or if its response can't be sent to the end. Until the response is complete,
// any close of an unencrypted connection resets it, also that at the end of the process.
// The close of an encrypted one sends a regular end first: call Close before
// http.Server.Close.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(tcpConn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		g.serve(conn, next, w, r)
	})
}

func (g *Guard) serve(conn tcpConn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if !g.begin(conn) {
		panic(http.ErrAbortHandler)
	}
	defer g.end(conn)
	complete := false
	defer func() {
		if complete || w.Header().Get("Content-Length") != "" {
			_ = conn.SetLinger(-1) // fails only on a closed connection
			return
		}
		reset(conn) // net/http would send the regular end of an encrypted connection
	}()
	next.ServeHTTP(w, r)
	complete = http.NewResponseController(w).Flush() == nil
}

// begin reports whether a response may begin. If not, it has reset the connection.
func (g *Guard) begin(conn tcpConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		reset(conn)
		return false
	}
	if g.unfinished == nil {
		g.unfinished = map[tcpConn]struct{}{}
	}
	g.unfinished[conn] = struct{}{}
	_ = conn.SetLinger(0) // fails only on a closed connection
	return true
}

func (g *Guard) end(conn tcpConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unfinished, conn)
}

// Close resets the connections of callers that speak HTTP/1.0 and whose response isn't
// complete. Later requests of such callers are aborted.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for conn := range g.unfinished {
		reset(conn)
	}
}

func reset(conn tcpConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}
