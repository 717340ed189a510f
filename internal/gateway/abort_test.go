package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/gateway"
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
	for _, length := range []int64{buffer, buffer + 1000, buffer + 1<<20} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			runInVirtualTime(t, &longEngine{length: length}, func(c *qt.C, _ *gateway.Gateway, p *pipeListener) {
				client, server := net.Pipe()
				defer func() { _ = client.Close() }()
				var reset atomic.Bool
				p.conns <- resettableConn{server, &reset}
				_, err := io.WriteString(client, "GET /stream HTTP/1.0\r\nHost: h\r\n\r\n")
				c.Assert(err, qt.IsNil)
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				c.Assert(err, qt.IsNil)
				time.Sleep(time.Minute)
				got, err := io.Copy(io.Discard, resp.Body)
				c.Assert(got < length, qt.IsTrue, qt.Commentf("%d bytes", got))
				c.Assert(err != nil || reset.Load(), qt.IsTrue)
			})
		})
	}
}
