// Package bodyend judges whether a response is complete when its body has ended.
//
// A length or a last chunk marks the end of most bodies. Any other body ends with its
// connection, and the end of a connection may also be that of an upstream that failed. Such a
// response is complete only if the request was sent to its end and nothing contradicts it.
package bodyend

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// IsDelimited reports whether a length or a last chunk marks the end of the response's body, or
// it has none.
func IsDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// IsCutOffDocument reports whether the header states that the body is JSON, and the body ends
// inside a document. The type is often wrong, for example on error pages: a body that isn't JSON
// is not cut off, and neither is an empty one.
func IsCutOffDocument(header http.Header, body io.Reader) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	encoding := header.Get("Content-Encoding")
	isJSON := strings.EqualFold(strings.TrimSpace(mediaType), "application/json") && (encoding == "" || encoding == "identity")
	return isJSON && endsInsideJSON(body)
}

// endsInsideJSON reads token by token, so that it holds no copy of the document.
func endsInsideJSON(body io.Reader) bool {
	decoder := json.NewDecoder(body)
	decoder.UseNumber() // others may exceed a float64
	for depth := 0; ; {
		token, err := decoder.Token()
		switch {
		case errors.Is(err, io.EOF): // also inside an array or an object
			return depth > 0
		case err != nil:
			return errors.Is(err, io.ErrUnexpectedEOF)
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
	}
}

// End is what is known of a response when its body has ended without an error. The zero value
// is the end of a connection of which nothing more is known.
type End struct {
	Delimited bool // a length or a last chunk marks the end; nothing else counts then

	RequestUnsent  bool // the request was not written to its end
	Conn           ConnState
	NoCloseNotify  bool // an encrypted connection ended without the mark of its end
	NoSignature    bool // the head lacks the signature that such responses of the service have
	NoEvent        bool // the body is an event stream without an event
	CutOffDocument bool // the body ends inside a document
	UpstreamEnded  bool // the upstream's process ended, or another one has its place
}

// IncompleteError means that a response ended with its connection and isn't complete.
type IncompleteError struct{ Reason string }

// Error implements error.
func (e *IncompleteError) Error() string {
	return "the response ended with its connection, and " + e.Reason
}

// Check returns an *IncompleteError if the response isn't complete.
func (e End) Check() error {
	if e.Delimited {
		return nil
	}
	for _, c := range []struct {
		contradicts bool
		reason      string
	}{
		{e.RequestUnsent, "the request was not sent to its end"},
		{e.Conn.Unacknowledged > 0, "the upstream had not received the whole request"},
		{e.Conn.Reset, "the connection was reset"},
		{e.NoCloseNotify, "the encrypted connection has no regular end"},
		{e.NoSignature, "its head lacks the signature of the upstream"},
		{e.NoEvent, "it has no event"},
		{e.CutOffDocument, "its document is cut off"},
		{e.UpstreamEnded, "the upstream ended with it"},
	} {
		if c.contradicts {
			return &IncompleteError{Reason: c.reason}
		}
	}
	return nil
}
