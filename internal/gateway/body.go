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
	bodyBound      = 60 * time.Second // for a caller to send its whole body
	maxBodiesBytes = 256 << 20        // of bodies that the host holds at once
	bodyRetryAfter = time.Second
	unreadBound    = time.Second // for the rest of a refused request's body, after the answer
)

var errBodies = errors.New("the host holds too many bytes of bodies")

// bodyBudget bounds the bytes of callers' bodies that the host holds at once,
// so that many slow callers cannot take all its memory.
type bodyBudget struct {
	bound int64
	held  atomic.Int64
}

// budgetReader counts what it reads. One body alone is never refused.
type budgetReader struct {
	from   io.Reader
	budget *bodyBudget
	taken  int64
}

// Read implements io.Reader.
func (b *budgetReader) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.taken += int64(n)
	if held := b.budget.held.Add(int64(n)); n > 0 && held > b.budget.bound && held > b.taken {
		return n, errBodies
	}
	return n, err
}

func (b *budgetReader) release() { b.budget.held.Add(-b.taken) }

// readBody reads a request's body. Its bytes count until the request ends.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyBound))
	counted := &budgetReader{from: http.MaxBytesReader(w, r.Body, limit), budget: &g.bodies}
	body, err := io.ReadAll(counted)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		context.AfterFunc(r.Context(), counted.release)
		_ = controller.SetReadDeadline(time.Time{})
		infoOf(r.Context()).read = true
		return body, nil
	case errors.Is(err, errBodies):
		err = apierr.New(apierr.Overloaded, "the host holds the bodies of too many requests", "send it again after the time in Retry-After").
			WithRetryAfter(bodyRetryAfter)
	case errors.As(err, &tooLarge):
		err = apierr.Newf(apierr.TooLarge, "send less, or ask the operators to raise limits.max_body_bytes",
			"the body exceeds %d bytes", limit)
	default:
		err = apierr.New(apierr.Invalid, "the body did not arrive whole", "send the request again").WithCause(err)
	}
	counted.release()
	return nil, err
}

// answerBeforeBody lets the answer to a refused request go out at once. Without
// it the server reads the rest of the body first, for as long as its caller takes
// to send it; what is read afterwards is bounded in time.
func answerBeforeBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || infoOf(r.Context()).read {
		return
	}
	// The rest of the body may never come, so the connection is not kept.
	w.Header().Set("Connection", "close")
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	_ = controller.SetReadDeadline(time.Now().Add(unreadBound))
}
