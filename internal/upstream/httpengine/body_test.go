package httpengine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTruncatedBodyEndsLikeAWholeOne guards against a body that broke off and whose reader
// gets a regular end. Only a connection that is closed ends a body without a length.
func TestTruncatedBodyEndsLikeAWholeOne(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	reset := func(conn net.Conn) {
		time.Sleep(50 * time.Millisecond) // until the bytes before the reset were read
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	closed := func(net.Conn) {}
	hang := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) } // until the host closes
	for _, tc := range []struct {
		name, response string
		end            func(net.Conn)
		whole          bool
	}{
		{"no length, closed", head + "\r\n{}", closed, true},
		{"no length, reset", head + "\r\n{}", reset, false},
		{"no length, cancelled", head + "\r\n{}", hang, false},
		{"length reached", head + "Content-Length: 2\r\n\r\n{}", hang, true},
		{"length not reached, closed", head + "Content-Length: 3\r\n\r\n{}", closed, false},
		{"length not reached, cancelled", head + "Content-Length: 3\r\n\r\n{}", hang, false},
		{"last chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", hang, true},
		{"no last chunk, closed", head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", closed, false},
		{"no last chunk, reset", head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", reset, false},
		{"half of the last chunk, closed", head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", closed, false},
		{"no last chunk, cancelled", head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", hang, false},
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				c := qt.New(t)
				u := newRawUpstream(c, func(u *rawUpstream, conn net.Conn) {
					if u.readRequest(bufio.NewReader(conn)) == nil {
						_, _ = io.WriteString(conn, tc.response)
						tc.end(conn)
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				call := call
				call.Repeatable = repeatable
				response, err := newEngine(c).Start(ctx, u.url(), call)
				c.Assert(err, qt.IsNil)
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				c.Assert(string(body), qt.Equals, "{}")
				c.Assert(err == nil, qt.Equals, tc.whole, qt.Commentf("%v", err))
			})
		}
	}
}
