package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/masticscale/masticscale/internal/claim"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/outcome"
)

const (
	maxBufferedBytes = 8 << 20 // larger answers are passed on as they come
	copyBufferBytes  = 32 << 10
	writeBound       = 30 * time.Second // for a caller to take what is written
)

// whole is an answer that was read before any byte of it went out.
type whole struct {
	status int
	header http.Header
	body   []byte
	more   bool // the body goes on beyond what was buffered
}

// readWhole reads the answer up to the buffer's limit. Where it ends within the
// limit, a broken one is an error.
func readWhole(answer *dispatch.Response, silence time.Duration) (whole, error) {
	watch := watchSilence(answer.Body, silence)
	defer watch.stop()
	var buf bytes.Buffer
	_, err := io.Copy(&buf, io.LimitReader(watch, maxBufferedBytes))
	if err != nil {
		return whole{}, err
	}
	a := whole{status: answer.Status, header: answer.Header, body: buf.Bytes()}
	a.more = buf.Len() == maxBufferedBytes
	return a, nil
}

// complete reports whether a JSON answer is one whole document. Without a
// length, a connection that broke looks like the answer's end.
func (a whole) complete() bool {
	if a.more || a.status != http.StatusOK || !strings.HasPrefix(a.header.Get("Content-Type"), "application/json") {
		return true
	}
	return json.Valid(a.body)
}

// write sends a whole answer.
func (a whole) write(w http.ResponseWriter, method string) {
	copyHeader(w, a.header)
	if length := a.header.Get("Content-Length"); length != "" && method == http.MethodHead {
		w.Header().Set("Content-Length", length)
	}
	extendWrite(w)
	w.WriteHeader(a.status)
	if bodyAllowed(method, a.status) {
		_, _ = w.Write(a.body)
	}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func extendWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeBound))
}

// writeRest passes on what was not buffered. It returns an error when the
// upstream's answer broke off; the caller's connection must then be cut, so that
// the answer cannot be taken for whole.
func writeRest(w http.ResponseWriter, answer *dispatch.Response, silence time.Duration) error {
	watch := watchSilence(answer.Body, silence)
	defer watch.stop()
	buf := make([]byte, copyBufferBytes)
	gone := false
	for {
		n, err := watch.Read(buf)
		if n > 0 && !gone {
			extendWrite(w)
			_, werr := w.Write(buf[:n])
			gone = werr != nil
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayPlain delivers a plain service's answer and returns the outcome and what
// a claim keeps of it.
func (g *Gateway) relayPlain(w http.ResponseWriter, r *http.Request, answer *dispatch.Response, silence time.Duration, ended func(claim.State, *claim.Response)) outcome.Outcome {
	a, err := readWhole(answer, silence)
	if err != nil {
		answer.End(dispatch.ReadResult{Failed: true})
		o := outcome.FromError(brokenAnswer(err))
		ended(claim.Unknown, nil)
		writeError(w, o.Err)
		return o
	}
	if !a.more {
		answer.End(dispatch.ReadResult{})
		ended(claim.Answered, a.kept())
		a.write(w, r.Method)
		return outcome.Outcome{State: outcome.Answered, Status: a.status}
	}
	if length := a.header.Get("Content-Length"); length != "" {
		w.Header().Set("Content-Length", length)
	}
	a.write(w, r.Method)
	err = writeRest(w, answer, silence)
	answer.End(dispatch.ReadResult{Failed: err != nil})
	if err != nil {
		ended(claim.Unknown, nil)
		return outcome.Outcome{State: outcome.Truncated, Status: a.status, Err: brokenAnswer(err)}
	}
	ended(claim.Answered, &claim.Response{Status: a.status, Omitted: true})
	return outcome.Outcome{State: outcome.Answered, Status: a.status}
}

// kept returns the answer as a claim keeps it.
func (a whole) kept() *claim.Response {
	header := http.Header{}
	for _, name := range passHeader {
		if values := a.header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &claim.Response{Status: a.status, Header: header, Body: a.body}
}

// replay gives a kept answer.
func replay(w http.ResponseWriter, r *http.Request, kept *claim.Response) outcome.Outcome {
	w.Header().Set(replayedHeader, "true")
	whole{status: kept.Status, header: kept.Header, body: kept.Body}.write(w, r.Method)
	return outcome.Outcome{State: outcome.Answered, Status: kept.Status}
}

// silenceWatch closes a body that sends nothing for too long. Only the time in
// which it is read counts: a caller that takes its time says nothing about the
// upstream.
type silenceWatch struct {
	body  io.ReadCloser
	limit time.Duration
	timer *time.Timer
}

func watchSilence(body io.ReadCloser, limit time.Duration) *silenceWatch {
	timer := time.AfterFunc(limit, func() { _ = body.Close() })
	timer.Stop()
	return &silenceWatch{body: body, limit: limit, timer: timer}
}

// Read implements io.Reader.
func (s *silenceWatch) Read(p []byte) (int, error) {
	s.timer.Reset(s.limit)
	defer s.timer.Stop()
	return s.body.Read(p)
}

func (s *silenceWatch) stop() { s.timer.Stop() }
