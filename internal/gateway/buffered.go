package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/masticscale/masticscale/internal/bodyend"
	"github.com/masticscale/masticscale/internal/claim"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/outcome"
)

const (
	maxBufferedBytes = 8 << 20 // larger responses are streamed
	copyBufferBytes  = 32 << 10
	writeTimeout     = 30 * time.Second // for a caller to accept one write
)

// bufferedResponse is a response that was read before any byte was sent to the caller.
type bufferedResponse struct {
	status  int
	header  http.Header
	body    []byte
	partial bool // the body is longer than the buffer
}

// bufferResponse reads up to maxBufferedBytes of the response. It returns an
// error if the response breaks off within this limit.
func bufferResponse(response *dispatch.Response, idleTimeout time.Duration) (bufferedResponse, error) {
	body := newIdleTimeoutReader(response.Body, idleTimeout)
	defer body.stop()
	var buf bytes.Buffer
	_, err := io.Copy(&buf, io.LimitReader(body, maxBufferedBytes))
	if err != nil {
		return bufferedResponse{}, err
	}
	buffered := bufferedResponse{status: response.Status, header: response.Header, body: buf.Bytes()}
	buffered.partial = buf.Len() == maxBufferedBytes
	return buffered, nil
}

// isComplete reports whether a JSON response is a complete document. Without a
// Content-Length, a lost connection looks like the end of the response.
func (b bufferedResponse) isComplete() bool {
	if b.partial || b.status != http.StatusOK || !strings.HasPrefix(b.header.Get("Content-Type"), "application/json") {
		return true
	}
	return json.Valid(b.body)
}

// write sends the buffered response. The length lets a caller without chunks notice that
// its connection broke off.
func (b bufferedResponse) write(w http.ResponseWriter, method string) error {
	copyResponseHeader(w, b.header)
	if length := b.length(method); length != "" {
		w.Header().Set("Content-Length", length)
	}
	extendWriteDeadline(w)
	w.WriteHeader(b.status)
	if !bodyAllowed(method, b.status) {
		return nil
	}
	_, err := w.Write(b.body)
	return err
}

// length returns the value of the Content-Length header, or "" if it has none.
func (b bufferedResponse) length(method string) string {
	switch {
	case b.partial || method == http.MethodHead:
		return b.header.Get("Content-Length")
	case bodyAllowed(method, b.status):
		return strconv.Itoa(len(b.body))
	}
	return ""
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// flush flushes the response. Unlike http.ResponseController it finds the server's own
// writer, because a wrapper's Flush may lose the error.
func flush(w http.ResponseWriter) error {
	for {
		switch x := w.(type) {
		case interface{ FlushError() error }:
			return x.FlushError()
		case interface{ Unwrap() http.ResponseWriter }:
			w = x.Unwrap()
		default:
			return http.NewResponseController(w).Flush()
		}
	}
}

// writeRemainder streams what was not buffered. It returns the errors with which the
// upstream's response or the caller's connection broke off. The caller's connection must
// then be aborted, so that the response cannot be mistaken for complete. The upstream's
// response is read to its end even if the caller is gone.
func writeRemainder(w http.ResponseWriter, response *dispatch.Response, idleTimeout time.Duration) (upstreamErr, callerErr error) {
	body := newIdleTimeoutReader(response.Body, idleTimeout)
	defer body.stop()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 && callerErr == nil {
			extendWriteDeadline(w)
			_, callerErr = w.Write(buf[:n])
		}
		if err == io.EOF {
			return nil, firstError(callerErr, flush(w))
		}
		if err != nil {
			return err, callerErr
		}
	}
}

// relayPlain sends a plain service's response to the caller, settles the claim
// and returns the outcome.
func (g *Gateway) relayPlain(w http.ResponseWriter, r *http.Request, response *dispatch.Response, idleTimeout time.Duration, finishClaim func(claim.State, *claim.Response)) outcome.Outcome {
	buffered, err := bufferResponse(response, idleTimeout)
	if err == nil && !buffered.partial {
		err = bodyend.End{Delimited: !response.Undelimited, CutOffDocument: bodyend.IsCutOffDocument(buffered.header, bytes.NewReader(buffered.body))}.Check()
	}
	if err != nil {
		response.End(dispatch.ReadResult{Failed: true})
		o := outcome.FromError(truncatedResponseError(err))
		finishClaim(claim.Unknown, nil)
		writeError(w, o.Err)
		return o
	}
	if !buffered.partial {
		response.End(dispatch.ReadResult{})
		finishClaim(claim.Answered, buffered.claimResponse())
		_ = buffered.write(w, r.Method) // its length shows that it is incomplete
		return outcome.Outcome{State: outcome.Answered, Status: buffered.status}
	}
	writeErr := buffered.write(w, r.Method)
	upstreamErr, callerErr := writeRemainder(w, response, idleTimeout)
	response.End(dispatch.ReadResult{Failed: upstreamErr != nil})
	if upstreamErr != nil {
		finishClaim(claim.Unknown, nil)
		return outcome.Outcome{State: outcome.Truncated, Status: buffered.status, Err: truncatedResponseError(upstreamErr)}
	}
	finishClaim(claim.Answered, &claim.Response{Status: buffered.status, Omitted: true})
	if err := firstError(writeErr, callerErr); err != nil {
		return clientDisconnected(err)
	}
	return outcome.Outcome{State: outcome.Answered, Status: buffered.status}
}

// claimResponse returns the response in the form that a claim stores.
func (b bufferedResponse) claimResponse() *claim.Response {
	header := http.Header{}
	for _, name := range responseHeaders {
		if values := b.header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return &claim.Response{Status: b.status, Header: header, Body: b.body}
}

// replayResponse sends the stored response of an earlier request.
func replayResponse(w http.ResponseWriter, r *http.Request, stored *claim.Response) outcome.Outcome {
	w.Header().Set(replayedHeader, "true")
	_ = bufferedResponse{status: stored.Status, header: stored.Header, body: stored.Body}.write(w, r.Method)
	return outcome.Outcome{State: outcome.Answered, Status: stored.Status}
}

// idleTimeoutReader closes a body that sends nothing for the timeout. Only the
// time spent in Read counts, because a slow caller says nothing about the
// upstream.
type idleTimeoutReader struct {
	body    io.ReadCloser
	timeout time.Duration
	timer   *time.Timer
}

func newIdleTimeoutReader(body io.ReadCloser, timeout time.Duration) *idleTimeoutReader {
	timer := time.AfterFunc(timeout, func() { _ = body.Close() })
	timer.Stop()
	return &idleTimeoutReader{body: body, timeout: timeout, timer: timer}
}

// Read implements io.Reader.
func (s *idleTimeoutReader) Read(p []byte) (int, error) {
	s.timer.Reset(s.timeout)
	defer s.timer.Stop()
	return s.body.Read(p)
}

func (s *idleTimeoutReader) stop() { s.timer.Stop() }
