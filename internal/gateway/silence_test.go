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

// newForgetful returns the address of an upstream whose network forgets each
// connection after a number of answers: it takes more requests and says nothing.
func newForgetful(c *qt.C, answers int) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { forget(conn, answers) })
		}
	})
	c.Cleanup(func() {
		_ = socket.Close()
		wg.Wait()
	})
	return "http://" + socket.Addr().String()
}

func forget(conn net.Conn, answers int) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range answers {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
	}
	_, _ = io.Copy(io.Discard, in) // until the host closes the connection
}

// TestForgottenConnections keeps a connection to each of two upstreams, which
// then answer only on new ones.
func TestForgottenConnections(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/stock"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.limits.FirstByteSeconds = 0.3
			a, b := newForgetful(c, 1), newForgetful(c, 1)
			f.service("m", service.Engine, a, b)
			f.service("cards", service.Plain, a, b)
			f.parts.Routes["stock"] = route.Spec{Path: "/stock", Service: "cards", Repeatable: true}
			at := f.host("h1")
			ended := make(chan reply)
			for range 8 { // at once, so that both upstreams get some
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

// TestSilentUpstreamIsVisible lets the only upstream say nothing at all.
func TestSilentUpstreamIsVisible(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		c := qt.New(t)
		f := newFleet(c)
		f.limits.FirstByteSeconds = 0.3
		f.limits.RequestTimeoutSeconds = 600
		f.service("cards", service.Plain, newForgetful(c, 0))
		f.parts.Routes["stock"] = route.Spec{Path: "/stock", Service: "cards", Repeatable: repeatable}
		r := f.send("POST", f.host("h1")+"/stock", "x")
		c.Assert(r.status >= 500, qt.IsTrue)
		c.Assert(r.execution(), qt.Equals, "unknown")
		c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}
