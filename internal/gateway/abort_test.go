package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/gateway"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/upstream"
)

// longEngine is an engine whose responses have a body of the length.
type longEngine struct {
	upstream.Engine
	length int64
}

func (e *longEngine) Start(context.Context, string, upstream.Call) (*upstream.Response, error) {
	body := io.LimitReader(zeros{}, e.length)
	return &upstream.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: io.NopCloser(body)}, nil
}

// CheckHealth implements upstream.Engine: the engine outlives its callers.
func (*longEngine) CheckHealth(context.Context, string) error { return nil }

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// resettableConn is a connection that records whether its close resets it.
type resettableConn struct {
	net.Conn
	resets *atomic.Bool
}

func (c resettableConn) SetLinger(sec int) error { c.resets.Store(sec == 0); return nil }

// TestResponseGivenUpForASlowCallerIsWholeInHTTP10 guards against a long response whose last
// part a slow caller doesn't take in time, and that looks whole to it.
func TestResponseGivenUpForASlowCallerIsWholeInHTTP10(t *testing.T) {
	const buffer = 8 << 20 // the part of a response that is buffered
	for _, tc := range []struct{ length, taken int64 }{
		{buffer, 0}, {buffer + 1000, 0}, {buffer + 1<<20, 0}, {buffer + 1000, buffer},
	} {
		length := tc.length
		t.Run(fmt.Sprintf("%d of %d bytes", tc.taken, length), func(t *testing.T) {
			runInVirtualTime(t, &longEngine{length: length}, func(c *qt.C, _ *gateway.Gateway, p *pipeListener) {
				client, server := net.Pipe()
				defer func() { _ = client.Close() }()
				var reset atomic.Bool
				p.conns <- resettableConn{server, &reset}
				_, err := io.WriteString(client, "GET /stream HTTP/1.0\r\nHost: h\r\n\r\n")
				c.Assert(err, qt.IsNil)
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				c.Assert(err, qt.IsNil)
				taken, err := io.CopyN(io.Discard, resp.Body, tc.taken)
				c.Assert(err, qt.IsNil)
				time.Sleep(time.Minute)
				got, err := io.Copy(io.Discard, resp.Body)
				c.Assert(taken+got < length, qt.IsTrue, qt.Commentf("%d bytes", taken+got))
				c.Assert(err != nil || reset.Load(), qt.IsTrue)
			})
		})
	}
}

// TestStreamOfAHalfClosedConnectionLooksWhole guards against a stream that the host gives up
// for a caller that seems to be gone, and that ends without an error: a caller may have
// closed its side of the connection only.
func TestStreamOfAHalfClosedConnectionLooksWhole(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.limits.ResponseIdleTimeoutSeconds = 20
			f.service("m", service.Engine, newHTTP(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "data: {}\n\n")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})))
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.host("h1"), "http://"))
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			body := chat("m", "hello", true)
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/%s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", version, f.secret, len(body), body)
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			text, err := io.ReadAll(resp.Body)
			c.Assert(string(text), qt.Equals, "data: {}\n\n")
			c.Assert(err, qt.IsNotNil)
		})
	}
}
