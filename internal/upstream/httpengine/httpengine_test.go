package httpengine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/masticscale/masticscale/internal/upstream"
	"github.com/masticscale/masticscale/internal/upstream/httpengine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawUpstream is a TCP server that runs a script on each accepted connection.
type rawUpstream struct {
	listener net.Listener
	wg       sync.WaitGroup
	bytes    atomic.Int64 // received on all connections
	requests atomic.Int64 // request lines received
}

func newRawUpstream(c *qt.C, script func(u *rawUpstream, conn net.Conn)) *rawUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	u := &rawUpstream{listener: listener}
	u.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.wg.Go(func() {
				defer func() { _ = conn.Close() }()
				script(u, conn)
			})
		}
	})
	c.Cleanup(func() {
		_ = listener.Close()
		u.wg.Wait()
	})
	return u
}

func (u *rawUpstream) url() string { return "http://" + u.listener.Addr().String() }

// read reads up to n bytes, and counts the bytes and the request lines in them.
func (u *rawUpstream) read(conn net.Conn, n int) int {
	buf := make([]byte, n)
	got, _ := io.ReadFull(conn, buf)
	u.bytes.Add(int64(got))
	u.requests.Add(int64(strings.Count(string(buf[:got]), " HTTP/1.1\r\n")))
	return got
}

// readRequest reads one whole request.
func (u *rawUpstream) readRequest(in *bufio.Reader) error {
	req, err := http.ReadRequest(in)
	if err != nil {
		return err
	}
	u.requests.Add(1)
	_, err = io.Copy(io.Discard, req.Body)
	return err
}

const wholeRequest = -1

// receive counts a request after the given number of bytes of it, or the whole
// request, has arrived.
func (u *rawUpstream) receive(in *bufio.Reader, read int) {
	if read == wholeRequest {
		_ = u.readRequest(in)
		return
	}
	if got, _ := in.Peek(max(read, 1)); len(got) > 0 {
		u.requests.Add(1)
	}
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n"

func newEngine(c *qt.C) *httpengine.Engine {
	e := httpengine.New()
	c.Cleanup(e.Close)
	return e
}

var call = upstream.Call{
	Method: http.MethodPost, Path: "/disputes", Body: []byte(strings.Repeat("x", 4000)),
	Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
}

// TestFailedCallReportsWhetherSent closes the connection at each stage of a call.
// The call may be reported as not sent only if the upstream received no byte.
func TestFailedCallReportsWhetherSent(t *testing.T) {
	points := []struct {
		name   string
		script func(u *rawUpstream, conn net.Conn)
	}{
		{"after headers", func(u *rawUpstream, conn net.Conn) { u.read(conn, 120) }},
		{"after half the body", func(u *rawUpstream, conn net.Conn) { u.read(conn, 2000) }},
		{"after the body", func(u *rawUpstream, conn net.Conn) { _ = u.readRequest(bufio.NewReader(conn)) }},
		{"after response headers", func(u *rawUpstream, conn net.Conn) {
			_ = u.readRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, responseHead)
		}},
	}
	for _, repeatable := range []bool{false, true} {
		for _, p := range points {
			t.Run(fmt.Sprintf("%s, repeatable %v", p.name, repeatable), func(t *testing.T) {
				c := qt.New(t)
				u := newRawUpstream(c, p.script)
				call := call
				call.Repeatable = repeatable
				_, err := newEngine(c).Start(t.Context(), u.url(), call)
				c.Assert(err, qt.IsNotNil)
				c.Assert(upstream.MayHaveRun(err), qt.IsTrue)
			})
		}
	}
	t.Run("before accept", func(t *testing.T) {
		c := qt.New(t)
		u := newRawUpstream(c, nil)
		_ = u.listener.Close()
		_, err := newEngine(c).Start(t.Context(), u.url(), call)
		c.Assert(err, qt.IsNotNil)
		c.Assert(upstream.MayHaveRun(err), qt.IsFalse)
	})
	t.Run("after accept, before reading", func(t *testing.T) {
		c := qt.New(t)
		u := newRawUpstream(c, func(_ *rawUpstream, conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) })
		for range 50 {
			_, err := newEngine(c).Start(t.Context(), u.url(), call)
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(u.requests.Load(), qt.Equals, int64(0))
	})
}

// TestPermitWithdrawnWhileConnecting checks that no byte is sent if the permit is
// withdrawn while the call connects, for example because the process is paused.
func TestPermitWithdrawnWhileConnecting(t *testing.T) {
	c := qt.New(t)
	u := newRawUpstream(c, func(u *rawUpstream, conn net.Conn) { u.read(conn, 64) })
	call := call
	call.Repeatable = true
	asked := 0
	withdrawn := errors.New("the lease has lapsed")
	call.Permit = func() error {
		if asked++; asked > 1 {
			return withdrawn
		}
		return nil
	}
	_, err := newEngine(c).Start(t.Context(), u.url(), call)
	c.Assert(err, qt.ErrorIs, withdrawn)
	c.Assert(upstream.MayHaveRun(err), qt.IsFalse)
	c.Assert(u.bytes.Load(), qt.Equals, int64(0))
}

// TestCancelledCallWritesNothingLater cancels calls at many points around the
// connection setup. Nothing of a call that is reported as not sent may ever
// arrive.
func TestCancelledCallWritesNothingLater(t *testing.T) {
	c := qt.New(t)
	const calls = 400
	u := newRawUpstream(c, func(u *rawUpstream, conn net.Conn) {
		if u.read(conn, 64) > 0 {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
	engine := newEngine(c)
	sent := 0
	for i := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*2*time.Microsecond)
		_, err := engine.Start(ctx, u.url(), call)
		cancel()
		c.Assert(err, qt.IsNotNil)
		if upstream.MayHaveRun(err) {
			sent++
		}
	}
	_ = u.listener.Close()
	u.wg.Wait()
	c.Assert(int(u.requests.Load()) <= sent, qt.IsTrue, qt.Commentf("%d arrived, %d reported as sent", u.requests.Load(), sent))
}

// TestNonRepeatableCallIsSentOnce leaves an idle connection, then closes the
// connection at each stage of the next request. The request must arrive at most
// once, even if its method and headers allow the transport to retry it.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut} {
		for _, read := range []int{0, 1, 60, wholeRequest} {
			t.Run(fmt.Sprintf("%s closed after %d bytes", method, read), func(t *testing.T) {
				c := qt.New(t)
				var warmed atomic.Bool
				u := newRawUpstream(c, func(u *rawUpstream, conn net.Conn) {
					in := bufio.NewReader(conn)
					if !warmed.Swap(true) {
						_ = u.readRequest(in)
						_, _ = io.WriteString(conn, responseHead+"\r\ngood")
						if read == 0 {
							return
						}
					}
					u.receive(in, read)
				})
				engine := newEngine(c)
				warm := upstream.Call{Method: http.MethodPost, Path: "/warm", Repeatable: true}
				response, err := engine.Start(t.Context(), u.url(), warm)
				c.Assert(err, qt.IsNil)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				call := call
				call.Method = method
				if method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions {
					call.Body = nil
				}
				_, err = engine.Start(t.Context(), u.url(), call)
				c.Assert(err, qt.IsNotNil)
				c.Assert(u.requests.Load(), qt.Equals, int64(2), qt.Commentf("the warm-up and one arrival"))
			})
		}
	}
}

// TestDuplicateResponseIsNotTakenForNext sends every response twice on reused
// connections. The second copy must not be taken for the next request's response.
func TestDuplicateResponseIsNotTakenForNext(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late %v", late), func(t *testing.T) {
			c := qt.New(t)
			u := newRawUpstream(c, func(_ *rawUpstream, conn net.Conn) {
				in := bufio.NewReader(conn)
				kept := ""
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					response := responseHead + "X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n\r\n" + req.URL.Path[1:]
					if late { // sends the copy after the next request has arrived
						_, _ = io.WriteString(conn, kept+response)
						kept = response
						continue
					}
					_, _ = io.WriteString(conn, response+response)
				}
			})
			engine := newEngine(c)
			for i := range 40 {
				path := fmt.Sprintf("%04d", i)
				response, err := engine.Start(t.Context(), u.url(), upstream.Call{Method: http.MethodPost, Path: "/" + path, Repeatable: true})
				if err != nil {
					c.Assert(upstream.MayHaveRun(err), qt.IsTrue)
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				c.Assert(err, qt.IsNil)
				c.Assert(string(body), qt.Equals, path)
			}
		})
	}
}

// TestRedirectIsNotFollowed checks that redirects are returned to the caller.
func TestRedirectIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	u := newRawUpstream(c, func(u *rawUpstream, conn net.Conn) {
		_ = u.readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n")
	})
	response, err := newEngine(c).Start(t.Context(), u.url(), call)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	c.Assert(response.Status, qt.Equals, http.StatusTemporaryRedirect)
	c.Assert(response.Header.Get("Location"), qt.Equals, "/elsewhere")
	c.Assert(u.requests.Load(), qt.Equals, int64(1))
}
