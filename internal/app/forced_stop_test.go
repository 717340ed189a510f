package app

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/telemetry"
)

// testTLSConfig returns a server configuration with a certificate for tests.
func testTLSConfig() *tls.Config {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	defer server.Close()
	return &tls.Config{Certificates: server.TLS.Certificates}
}

// TestResponseCutByAForcedStopEndsLikeAWholeOne guards against a response without a length
// that is in progress when the shutdown is forced, and whose caller reads a regular end.
func TestResponseCutByAForcedStopEndsLikeAWholeOne(t *testing.T) {
	clientTLS := &tls.Config{InsecureSkipVerify: true}
	for _, tc := range []struct {
		name   string
		server *tls.Config
		dial   func(address string) (net.Conn, error)
	}{
		{"plain", nil, func(address string) (net.Conn, error) { return net.Dial("tcp", address) }},
		{"encrypted", testTLSConfig(), func(address string) (net.Conn, error) { return tls.Dial("tcp", address, clientTLS) }},
	} {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(tc.name+" "+proto, func(t *testing.T) {
				c := qt.New(t)
				logger, err := telemetry.NewLogger(io.Discard, "info", "h1")
				c.Assert(err, qt.IsNil)
				h := &Host{components: components{Log: logger}, drainer: newDrainer()}
				endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, "part\n")
					_ = http.NewResponseController(w).Flush()
					<-r.Context().Done()
				})
				socket, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				listeners := []listener{{name: "callers", server: h.newServer(h.drainer.track(endless), tc.server), socket: socket}}
				h.serve(listeners)
				conn, err := tc.dial(socket.Addr().String())
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
				_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", proto)
				c.Assert(err, qt.IsNil)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err, qt.IsNil)
				_, err = io.ReadFull(resp.Body, make([]byte, len("part\n")))
				c.Assert(err, qt.IsNil)
				forced, force := context.WithCancel(context.Background())
				force()
				h.shutdown(forced, listeners)
				rest, err := io.ReadAll(resp.Body)
				c.Assert(err, qt.IsNotNil, qt.Commentf("a regular end after %q", rest))
			})
		}
	}
}
