package httpreset_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/masticscale/masticscale/internal/httpreset"
)

// childVariable is the environment variable that makes the test binary a server to be
// killed; its value is the kind of server.
const childVariable = "HTTPRESET_TEST_CHILD"

func TestMain(m *testing.M) {
	if kind := os.Getenv(childVariable); kind != "" {
		s := newTestServer(sendPart, kind == "encrypted")
		fmt.Println(s.Listener.Addr())
		select {}
	}
	goleak.VerifyTestMain(m)
}

// sendPart sends the first line of a response and waits until its connection is closed.
var sendPart = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "part\n")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
})

// lostKey is the key of testServer.lost in the context of requests.
type lostKey struct{}

// testServer is a server with a guard.
type testServer struct {
	*httptest.Server
	guard httpreset.Guard
	lost  atomic.Bool // whether writes fail
}

// Accept implements net.Listener.
func (l lossyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lossyConn{conn.(*net.TCPConn), l.lost}, nil
}

type lossyListener struct {
	net.Listener
	lost *atomic.Bool
}

// lossyConn is a connection whose writes fail once it is lost.
type lossyConn struct {
	*net.TCPConn
	lost *atomic.Bool
}

// Write implements io.Writer.
func (l lossyConn) Write(p []byte) (int, error) {
	if l.lost.Load() {
		return 0, errors.New("lost")
	}
	return l.TCPConn.Write(p)
}

// forEachServer runs the test on an unencrypted and on an encrypted server.
func forEachServer(t *testing.T, handler http.Handler, test func(c *qt.C, s *testServer)) {
	for _, encrypted := range []bool{false, true} {
		t.Run(fmt.Sprintf("encrypted=%t", encrypted), func(t *testing.T) {
			s := newTestServer(handler, encrypted)
			defer s.Close()
			test(qt.New(t), s)
		})
	}
}

func newTestServer(handler http.Handler, encrypted bool) *testServer {
	s := &testServer{}
	s.Server = httptest.NewUnstartedServer(s.guard.Handler(handler))
	s.Listener = lossyListener{s.Listener, &s.lost}
	s.Config.ConnContext = httpreset.ConnContext
	s.Config.BaseContext = func(net.Listener) context.Context {
		return context.WithValue(context.Background(), lostKey{}, &s.lost)
	}
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	if encrypted {
		s.StartTLS()
	} else {
		s.Start()
	}
	return s
}

// dial opens a connection and sends a request for the path.
func (s *testServer) dial(c *qt.C, path, proto string) net.Conn {
	return dial(c, s.Listener.Addr().String(), s.TLS != nil, path, proto)
}

func dial(c *qt.C, address string, encrypted bool, path, proto string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	if encrypted {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	}
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\n\r\n", path, proto)
	c.Assert(err, qt.IsNil)
	return conn
}

// awaitNoneUnfinished waits until no response is in progress.
func (s *testServer) awaitNoneUnfinished(c *qt.C) {
	for deadline := time.Now().Add(30 * time.Second); s.guard.Unfinished() > 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

const size = 1 << 20

// TestAbortedResponseEndsLikeAWholeOne guards against an aborted response whose caller reads
// a regular end.
func TestAbortedResponseEndsLikeAWholeOne(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/panic" {
			panic("test")
		}
		panic(http.ErrAbortHandler)
	})
	forEachServer(t, handler, func(c *qt.C, s *testServer) {
		for _, path := range []string{"/abort", "/panic"} {
			text, err := io.ReadAll(s.dial(c, path, "HTTP/1.0"))
			c.Assert(err, qt.IsNotNil, qt.Commentf("%s: %d bytes", path, len(text)))
		}
		s.awaitNoneUnfinished(c)
	})
}

// TestResponseGivenUpEndsLikeAWholeOne guards against a response whose end the caller doesn't
// take in time, and that then ends like a whole one.
func TestResponseGivenUpEndsLikeAWholeOne(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = io.WriteString(w, strings.Repeat("x", 64*size)) // more than two socket buffers hold
	})
	forEachServer(t, handler, func(c *qt.C, s *testServer) {
		conn := s.dial(c, "/", "HTTP/1.0")
		time.Sleep(500 * time.Millisecond)
		text, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes", len(text)))
		s.awaitNoneUnfinished(c)
	})
}

// TestResponseWithoutItsBufferedEndEndsLikeAWholeOne guards against a response whose last
// bytes are still buffered when its handler returns, and can't be sent.
func TestResponseWithoutItsBufferedEndEndsLikeAWholeOne(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		_ = http.NewResponseController(w).Flush()
		r.Context().Value(lostKey{}).(*atomic.Bool).Store(true)
		_, _ = io.WriteString(w, "end")
	})
	forEachServer(t, handler, func(c *qt.C, s *testServer) {
		text, err := io.ReadAll(s.dial(c, "/", "HTTP/1.0"))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes", len(text)))
		s.awaitNoneUnfinished(c)
	})
}

// TestWholeResponsesAreNotReset checks that whole responses lose no byte and end properly,
// also if their caller reads late.
func TestWholeResponsesAreNotReset(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	forEachServer(t, handler, func(c *qt.C, s *testServer) {
		for _, path := range []string{"/length", "/none"} {
			conn := s.dial(c, path, "HTTP/1.0")
			time.Sleep(100 * time.Millisecond)
			text, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			_, body, _ := strings.Cut(string(text), "\r\n\r\n")
			c.Assert(len(body), qt.Equals, size)
		}
		s.awaitNoneUnfinished(c)
	})
}

// TestAbortedResponseWithALengthIsNotReset checks that a caller gets what was sent of a
// response whose length tells it that the rest is missing.
func TestAbortedResponseWithALengthIsNotReset(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	forEachServer(t, handler, func(c *qt.C, s *testServer) {
		conn := s.dial(c, "/", "HTTP/1.0")
		time.Sleep(100 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
		c.Assert(string(body), qt.Equals, "part")
	})
}

// TestClosedServerEndsResponsesLikeWholeOnes guards against a server that is closed while a
// response is in progress, and whose caller reads a regular end.
func TestClosedServerEndsResponsesLikeWholeOnes(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(proto, func(t *testing.T) {
			forEachServer(t, sendPart, func(c *qt.C, s *testServer) {
				body := readPart(c, s.dial(c, "/", proto))
				s.guard.Close()
				c.Assert(s.Config.Close(), qt.IsNil)
				rest, err := io.ReadAll(body)
				c.Assert(err, qt.IsNotNil, qt.Commentf("a regular end after %q", rest))
				s.awaitNoneUnfinished(c)
			})
		})
	}
}

// readPart reads the first line of the response of sendPart and returns the rest.
func readPart(c *qt.C, conn net.Conn) io.Reader {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(resp.Body, make([]byte, len("part\n")))
	c.Assert(err, qt.IsNil)
	return resp.Body
}

// TestKilledServerEndsResponsesLikeWholeOnes guards against a process that is killed while a
// response is in progress, and whose caller reads a regular end.
func TestKilledServerEndsResponsesLikeWholeOnes(t *testing.T) {
	for _, kind := range []string{"plain", "encrypted"} {
		t.Run(kind, func(t *testing.T) {
			c := qt.New(t)
			child := exec.Command(os.Args[0])
			child.Env = append(os.Environ(), childVariable+"="+kind)
			output, err := child.StdoutPipe()
			c.Assert(err, qt.IsNil)
			c.Assert(child.Start(), qt.IsNil)
			kill := sync.OnceFunc(func() { _ = child.Process.Kill(); _ = child.Wait() })
			defer kill()
			address, err := bufio.NewReader(output).ReadString('\n')
			c.Assert(err, qt.IsNil)
			conn := dial(c, strings.TrimSpace(address), kind == "encrypted", "/", "HTTP/1.0")
			body := readPart(c, conn)
			kill()
			rest, err := io.ReadAll(body)
			c.Assert(err, qt.ErrorIs, syscall.ECONNRESET, qt.Commentf("after %q", rest))
		})
	}
}

// TestResponseBeginsAfterClose guards against a response that begins between the close of
// the guard and that of the server, which would cut it with a regular end.
func TestResponseBeginsAfterClose(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	forEachServer(t, handler, func(c *qt.C, s *testServer) {
		s.guard.Close()
		text, err := io.ReadAll(s.dial(c, "/", "HTTP/1.0"))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", text))
		c.Assert(len(text), qt.Equals, 0)
	})
}
