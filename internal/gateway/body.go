package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
)

const (
	bodyReadTimeout   = 60 * time.Second // for a caller to send the whole body
	maxHeldBodyBytes  = 256 << 20        // all request bodies that the host holds at once
	bodyRetryAfter    = time.Second
	unreadBodyTimeout = 10 * time.Second // for the rest of a rejected request's body, after the response
	maxUnreadBytes    = 32 << 20         // of such a body that are read
)

var errBodyBudget = errors.New("held request bodies exceed the limit of the host")

// bodyBudget limits the bytes of request bodies that the host holds at once, so
// that many slow callers cannot exhaust its memory.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// heldBodyLimit returns the limit for a process with the memory limit of the Go runtime: a
// quarter of that, as bodies are held parsed too, if it is less than maxHeldBodyBytes.
func heldBodyLimit(memoryLimit int64) int64 { return min(maxHeldBodyBytes, memoryLimit/4) }

// budgetReader charges the bytes that it reads to the budget. A body that is
// the only one held is never rejected.
type budgetReader struct {
	source io.Reader
	budget *bodyBudget
	count  int64
}

// Read implements io.Reader.
func (b *budgetReader) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.count += int64(n)
	if held := b.budget.used.Add(int64(n)); n > 0 && held > b.budget.limit && held > b.count {
		return n, errBodyBudget
	}
	return n, err
}

func (b *budgetReader) release() { b.budget.used.Add(-b.count) }

// readBody reads a request's body. Its bytes stay charged to the budget until
// the request ends.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	reader := &budgetReader{source: http.MaxBytesReader(w, r.Body, limit), budget: &g.bodies}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		context.AfterFunc(r.Context(), reader.release)
		_ = controller.SetReadDeadline(time.Time{})
		requestInfoFrom(r.Context()).bodyRead = true
		return body, nil
	case errors.Is(err, errBodyBudget):
		err = apierr.New(apierr.Overloaded, "the host holds the bodies of too many requests", "send it again after the time in Retry-After").
			WithRetryAfter(bodyRetryAfter)
	case errors.As(err, &tooLarge):
		err = apierr.Newf(apierr.TooLarge, "send less, or ask the operators to raise limits.max_body_bytes",
			"the body exceeds %d bytes", limit)
	default:
		err = apierr.New(apierr.Invalid, "the body did not arrive whole", "send the request again").WithCause(err)
	}
	reader.release()
	return nil, err
}

// respondBeforeBody lets the response to a rejected request go out at once.
// Otherwise the server first reads the rest of the body, for as long as the
// caller takes to send it. The read after the response has a deadline. It returns a
// function that reads the rest of the body after the response was written: the server
// resets the connection of a request whose body it hasn't read, and a caller that still
// sends the body would lose the response.
func respondBeforeBody(w http.ResponseWriter, r *http.Request) (readRest func() error) {
	if r.ContentLength == 0 || requestInfoFrom(r.Context()).bodyRead {
		return func() error { return nil }
	}
	// The rest of the body may never arrive, so the connection is not reused.
	w.Header().Set("Connection", "close")
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	_ = controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	return func() error {
		if err := controller.Flush(); err != nil {
			return errors.Wrap(err, "send the response")
		}
		if r.Header.Get("Expect") != "" {
			return nil // the caller sends no body
		}
		if _, err := io.CopyN(io.Discard, r.Body, maxUnreadBytes); err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read the rest of the body")
		}
		return nil
	}
}
