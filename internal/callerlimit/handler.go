package callerlimit

import (
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// LimitBodies reserves what next reads of a body, factor times, until next returns. A read
// that doesn't fit fails with ErrNoRoom. Requests that are exempt pass without.
func (g *Guard) LimitBodies(next http.Handler, factor int64, exempt func(*http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || exempt(r) {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		abort := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) } // on a closed connection the read fails as well
		body := g.account.Open(r.ContentLength, time.Now(), abort)
		defer body.Close()
		r.Body = &accountedBody{ReadCloser: r.Body, guard: g, body: body, factor: factor}
		next.ServeHTTP(w, r)
	})
}

// accountedBody reserves bytes before it reads them.
type accountedBody struct {
	io.ReadCloser
	guard  *Guard
	body   *Body
	factor int64
}

// Read implements io.Reader.
func (a *accountedBody) Read(p []byte) (int, error) {
	wanted := int64(len(p)) * a.factor
	if !a.body.Reserve(wanted) {
		a.guard.report(BodyExceedsMemory, logrus.Fields{"declared_bytes": a.body.declared, "received_bytes": a.body.received, "factor": a.factor})
		return 0, ErrNoRoom
	}
	n, err := a.ReadCloser.Read(p)
	a.body.Release(wanted - int64(n)*a.factor)
	a.body.Receive(n, time.Now())
	if err != nil && a.body.Complete() {
		err = ErrStalled
	}
	return n, err
}
