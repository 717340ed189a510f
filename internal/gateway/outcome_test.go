package gateway_test

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
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
)

// scriptedUpstream is an upstream that responds with scripted raw bytes.
type scriptedUpstream struct {
	listener net.Listener
	wg       sync.WaitGroup
	requests atomic.Int64 // requests of which at least a part arrived
}

// newScriptedUpstream responds to request n, counted from 0, with the result of
// respond, then closes the connection. If readBytes is not negative, it reads
// that many bytes of the request and closes without a response.
func newScriptedUpstream(c *qt.C, readBytes int, respond func(n int, req *http.Request) string) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &scriptedUpstream{listener: listener}
	s.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() {
				defer func() { _ = conn.Close() }()
				s.serve(conn, readBytes, respond)
			})
		}
	})
	c.Cleanup(s.close)
	return s
}

const healthLine = "GET /health "

func (s *scriptedUpstream) serve(conn net.Conn, readBytes int, respond func(int, *http.Request) string) {
	in := bufio.NewReader(conn)
	if line, _ := in.Peek(len(healthLine)); string(line) == healthLine {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if readBytes >= 0 {
		if got, _ := in.Peek(readBytes); len(got) > 0 {
			s.requests.Add(1)
		}
		return
	}
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	n := int(s.requests.Add(1)) - 1
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, respond(n, req))
}

func (s *scriptedUpstream) close() {
	_ = s.listener.Close()
	s.wg.Wait()
}

func (s *scriptedUpstream) url() string { return "http://" + s.listener.Addr().String() }

const okHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

func always(text string) func(int, *http.Request) string {
	return func(int, *http.Request) string { return text }
}

// TestUpstreamGotNothingWhenReportedNotRun closes the upstream's connection at
// each point of a request, for repeatable and other routes. A failure that is
// marked "not run" must not have been executed.
func TestUpstreamGotNothingWhenReportedNotRun(t *testing.T) {
	points := []struct {
		name      string
		readBytes int
		response  string
		closed    bool // refuses connections
		execution string
	}{
		{"refused", 0, "", true, "not_run"},
		{"before reading", 0, "", false, "unknown"},
		{"after some headers", 40, "", false, "unknown"},
		{"after half the body", 400, "", false, "unknown"},
		{"after the request", -1, "", false, "unknown"},
		{"after answer headers", -1, okHeader + "Content-Length: 10\r\n\r\n", false, "unknown"},
		{"in mid-answer", -1, okHeader + "Content-Length: 10\r\n\r\n{\"a\"", false, "unknown"},
		{"in mid-chunk", -1, okHeader + "Transfer-Encoding: chunked\r\n\r\n10\r\n{\"a\"", false, "unknown"},
	}
	for _, repeatable := range []bool{false, true} {
		for _, p := range points {
			t.Run(fmt.Sprintf("%s, repeatable %v", p.name, repeatable), func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(c)
				u := newScriptedUpstream(c, p.readBytes, always(p.response))
				if p.closed {
					u.close()
				}
				f.service("cards", service.Plain, u.url())
				f.parts.Routes["cards"] = route.Spec{Path: "/disputes", Service: "cards", Repeatable: repeatable}
				r := f.send("POST", f.host("h1")+"/disputes", strings.Repeat("x", 600))
				c.Assert(r.err, qt.IsNil)
				c.Assert(r.status, qt.Equals, http.StatusBadGateway)
				c.Assert(r.execution(), qt.Equals, p.execution)
				c.Assert(r.body, qt.Contains, `"execution":"`+p.execution+`"`)
				c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				if !repeatable {
					c.Assert(u.requests.Load() <= 1, qt.IsTrue)
				}
				if r.execution() == "not_run" {
					c.Assert(u.requests.Load(), qt.Equals, int64(0))
				}
			})
		}
	}
}

// TestExecutionUnknownWhenEarlierAttemptWasSent lets the first attempt be sent
// and the second be refused by its upstream. The error must not say "not run",
// because the first attempt may have run.
func TestExecutionUnknownWhenEarlierAttemptWasSent(t *testing.T) {
	for range 10 { // the upstream of the first attempt is random
		c := qt.New(t)
		f := newFleet(c)
		down := newScriptedUpstream(c, 0, nil)
		down.close()
		ran := newScriptedUpstream(c, -1, always(""))
		f.service("m", service.Engine, ran.url(), down.url())
		r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", false))
		if ran.requests.Load() > 0 {
			c.Assert(r.execution(), qt.Equals, "unknown")
		}
	}
}

func chat(model, prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)
}

const streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestCallerGetsErrorWhenResponseIsTruncated breaks responses off at each
// point. The caller must get an error in the format of the response, never a
// truncated response that looks complete.
func TestCallerGetsErrorWhenResponseIsTruncated(t *testing.T) {
	event := "data: {\"choices\":[]}\n\n"
	cases := []struct {
		name     string
		response string
		stream   bool
	}{
		{"stream cut after an event", streamHeader + chunk(event), true},
		{"stream cut in an event", streamHeader + chunk(event) + chunk("data: {\"cho"), true},
		{"stream closed without its terminal event", streamHeader + chunk(event) + "0\r\n\r\n", true},
		{"terminal text within an event", streamHeader + chunk("data: {\"x\":\"data: [DONE]\"}\n\n") + "0\r\n\r\n", true},
		{"stream without a byte", streamHeader + "0\r\n\r\n", false},
		{"JSON cut", okHeader + "Content-Length: 100\r\n\r\n{\"id\":", false},
		{"JSON cut without a length", "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n{\"id\":", false},
		{"empty JSON", okHeader + "Content-Length: 0\r\n\r\n", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.service("m", service.Engine, newScriptedUpstream(c, -1, always(tc.response)).url())
			r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", tc.stream))
			c.Assert(r.body, qt.Contains, `"execution":"unknown"`)
			if tc.stream {
				c.Assert(r.body, qt.Contains, "\n\nevent: error\ndata: {")
				return
			}
			c.Assert(r.status, qt.Equals, http.StatusBadGateway)
		})
	}
}

// TestConnectionIsAbortedWhenLargeResponseIsTruncated streams a large plain
// response. If the upstream's connection breaks off, the caller's connection
// must be aborted.
func TestConnectionIsAbortedWhenLargeResponseIsTruncated(t *testing.T) {
	const size = 10 << 20
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			sent := size
			if !whole {
				sent -= 5000
			}
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("y", sent))
			if whole {
				text += "0\r\n\r\n"
			}
			f.service("cards", service.Plain, newScriptedUpstream(c, -1, always(text)).url())
			f.parts.Routes["cards"] = route.Spec{Path: "/export", Service: "cards"}
			r := f.send("GET", f.host("h1")+"/export", "")
			c.Assert(r.err == nil, qt.Equals, whole)
			c.Assert(len(r.body) == size, qt.Equals, whole)
		})
	}
}

// readHTTP10 makes a request as a caller that speaks HTTP/1.0, and returns the response, its
// body and the error that ended the body, if any.
func (f *fleet) readHTTP10(method, url, path, body string) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", method, path, f.secret, len(body), body)
	f.c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// TestTruncatedResponseIsWholeInHTTP10 guards against a truncated response that a caller
// without chunks takes for whole: the end of its connection is the end of the response.
func TestTruncatedResponseIsWholeInHTTP10(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("y", 10<<20))
	f.service("cards", service.Plain, newScriptedUpstream(c, -1, always(text)).url())
	f.parts.Routes["cards"] = route.Spec{Path: "/export", Service: "cards"}
	_, body, err := f.readHTTP10(http.MethodGet, f.host("h1"), "/export", "")
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET, qt.Commentf("%d bytes", len(body)))
}

// TestBufferedResponseHasNoLength guards against a response whose end a caller without
// chunks can't tell from the loss of its connection.
func TestBufferedResponseHasNoLength(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	text := `{"x":"` + strings.Repeat("y", 100<<10) + `"}`
	u := newScriptedUpstream(c, -1, always(okHeader+"Transfer-Encoding: chunked\r\n\r\n"+chunk(text)+"0\r\n\r\n"))
	f.service("m", service.Engine, u.url())
	f.service("cards", service.Plain, u.url())
	f.parts.Routes["cards"] = route.Spec{Path: "/disputes", Service: "cards"}
	at := f.host("h1")
	for _, path := range []string{"/disputes", "/v1/chat/completions"} {
		resp, body, err := f.readHTTP10(http.MethodPost, at, path, chat("m", "hello", false))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, text)
		c.Assert(resp.ContentLength, qt.Equals, int64(len(text)), qt.Commentf("%s", path))
	}
}

// TestShortResponseHasNoLengthInHTTP10 guards against a response of the host itself that has
// no length, so that a caller that speaks HTTP/1.0 can't keep its connection.
func TestShortResponseHasNoLengthInHTTP10(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.service("m", service.Engine, newScriptedUpstream(c, -1, always("")).url())
	resp, body, err := f.readHTTP10(http.MethodGet, f.host("h1"), "/v1/models", "")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.ContentLength, qt.Equals, int64(len(body)), qt.Commentf("%s", body))
}

// TestResponseIsCompleteWhenCallerPauses lets a caller stop reading for three
// times the idle timeout of upstreams. The pause must not count as idle time of
// the upstream.
func TestResponseIsCompleteWhenCallerPauses(t *testing.T) {
	c := qt.New(t)
	const (
		size       = 32 << 20                // more than two socket buffers hold
		readBuffer = 256 << 10               // of the caller's socket
		pause      = 1500 * time.Millisecond // three times the idle timeout of 0.5 s in newFleet
	)
	f := newFleet(c)
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("y", size)) + "0\r\n\r\n"
	f.service("cards", service.Plain, newScriptedUpstream(c, -1, always(text)).url())
	f.parts.Routes["cards"] = route.Spec{Path: "/export", Service: "cards"}
	target := f.host("h1") + "/export"
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(readBuffer)
	}}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodGet, target, nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+f.secret)
	resp, err := client.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.CopyN(io.Discard, resp.Body, size/2)
	c.Assert(err, qt.IsNil)
	time.Sleep(pause)
	_, err = io.CopyN(io.Discard, resp.Body, size/2)
	c.Assert(err, qt.IsNil)
}

// TestStreamIsRetriedWhenNothingWasDelivered lets an upstream fail after its
// response headers. Nothing was sent to the caller yet, so the request runs
// again and the caller gets one complete response.
func TestStreamIsRetriedWhenNothingWasDelivered(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	u := newScriptedUpstream(c, -1, func(n int, _ *http.Request) string {
		if n == 0 {
			return streamHeader
		}
		return streamHeader + chunk("data: {}\n\ndata: [DONE]\n\n") + "0\r\n\r\n"
	})
	f.service("m", service.Engine, u.url(), u.url()+"/")
	r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", true))
	c.Assert(r.body, qt.Equals, "data: {}\n\ndata: [DONE]\n\n")
}

// TestStreamEndsWhenUpstreamStalls lets the engine stall after the first event.
// The stream must end with an error after the idle timeout, long before the
// request times out.
func TestStreamEndsWhenUpstreamStalls(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := listener.Accept()
		_ = listener.Close()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, streamHeader+chunk("data: {}\n\n"))
		_, _ = io.Copy(io.Discard, in) // until the host closes the connection
	}()
	c.Cleanup(func() { _ = listener.Close(); <-closed })
	f.limits.RequestTimeoutSeconds = 600
	f.service("m", service.Engine, "http://"+listener.Addr().String())
	r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", true))
	c.Assert(r.body, qt.Contains, "event: error")
	<-closed
}

// TestResponsesWithoutBodyAreRelayed relays responses without a body: HEAD,
// 204, 304 and a redirect.
func TestResponsesWithoutBodyAreRelayed(t *testing.T) {
	for _, tc := range []struct {
		method, response string
		status           int
		length           string
	}{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n", 200, "77"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nEtag: \"7\"\r\n\r\n", 304, ""},
		{"GET", "HTTP/1.1 302 Found\r\nLocation: http://elsewhere/\r\nContent-Length: 0\r\n\r\n", 302, "0"},
	} {
		c := qt.New(t)
		f := newFleet(c)
		f.service("cards", service.Plain, newScriptedUpstream(c, -1, always(tc.response)).url())
		f.parts.Routes["cards"] = route.Spec{Path: "/stock", Service: "cards"}
		r := f.send(tc.method, f.host("h1")+"/stock", "")
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.status, qt.Equals, tc.status)
		c.Assert(r.header.Get("Content-Length"), qt.Equals, tc.length)
	}
}

// TestCallersGetOwnResponsesWhenConcurrent sends many concurrent requests, some
// cut off in the middle of the response. Each caller must get the response to
// its own request or a visible error.
func TestCallersGetOwnResponsesWhenConcurrent(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	eng := engine.New(engine.Options{Name: "e1", Slots: 32})
	server := newHTTP(c, eng.Handler())
	f.service("m", service.Engine, server)
	url := f.host("h1")
	faults := eng.Faults.Get()
	faults.CutMidResponse = 20
	eng.Faults.Replace(faults)
	var wg sync.WaitGroup
	whole := atomic.Int64{}
	for i := range 100 {
		wg.Go(func() {
			prompt := fmt.Sprintf("question %d", i)
			r := f.send("POST", url+"/v1/chat/completions", chat("m", prompt, i%2 == 0))
			words := engine.CompletionWords(prompt, 4)
			isWhole := strings.Contains(r.body, "[DONE]") || i%2 == 1 && r.status == http.StatusOK
			if isWhole {
				whole.Add(1)
			}
			if isWhole && (!strings.Contains(r.body, words[0]) || !strings.Contains(r.body, words[3])) {
				c.Errorf("request %d got %q", i, r.body)
			}
			if !isWhole && !strings.Contains(r.body, `"execution":"unknown"`) && !strings.Contains(r.body, `"execution":"not_run"`) {
				c.Errorf("request %d ended without a visible error: %d %q", i, r.status, r.body)
			}
		})
	}
	wg.Wait()
	c.Assert(whole.Load() > 0, qt.IsTrue)
}
