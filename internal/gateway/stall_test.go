package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
)

// newStallingUpstream returns the address of an upstream that serves some
// responses on each connection, then still accepts requests on the connection but
// never responds, as when the network has lost the state of the connection.
func newStallingUpstream(c *qt.C, responses int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { respondThenStall(conn, responses) })
		}
	})
	c.Cleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return "http://" + listener.Addr().String()
}

func respondThenStall(conn net.Conn, responses int) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range responses {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, okHeader+"Content-Length: 2\r\n\r\n{}")
	}
	_, _ = io.Copy(io.Discard, in) // until the host closes the connection
}

// TestRequestsSucceedWhenPooledConnectionsAreStale opens connections to two
// upstreams, which then respond on new connections only. Requests must succeed
// in spite of stale pooled connections.
func TestRequestsSucceedWhenPooledConnectionsAreStale(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/stock"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.limits.FirstByteSeconds = 0.3
			a, b := newStallingUpstream(c, 1), newStallingUpstream(c, 1)
			f.service("m", service.Engine, a, b)
			f.service("cards", service.Plain, a, b)
			f.parts.Routes["stock"] = route.Spec{Path: "/stock", Service: "cards", Repeatable: true}
			at := f.host("h1")
			ended := make(chan reply)
			for range 8 { // concurrently, so that both upstreams get some
				go func() { ended <- f.send("POST", at+path, chat("m", "warm", false)) }()
			}
			for range 8 {
				c.Assert((<-ended).status, qt.Equals, http.StatusOK)
			}
			for range 4 {
				r := f.send("POST", at+path, chat("m", "hello", false))
				c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
			}
		})
	}
}

// TestCallerGetsErrorWhenUpstreamNeverResponds lets the only upstream never
// respond. The caller must get an error long before the request timeout.
func TestCallerGetsErrorWhenUpstreamNeverResponds(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		c := qt.New(t)
		f := newFleet(c)
		f.limits.FirstByteSeconds = 0.3
		f.limits.RequestTimeoutSeconds = 600
		f.service("cards", service.Plain, newStallingUpstream(c, 0))
		f.parts.Routes["stock"] = route.Spec{Path: "/stock", Service: "cards", Repeatable: repeatable}
		r := f.send("POST", f.host("h1")+"/stock", "x")
		c.Assert(r.status >= 500, qt.IsTrue)
		c.Assert(r.execution(), qt.Equals, "unknown")
		c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}
