package httpabort_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/masticscale/masticscale/internal/httpabort"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestAbortedResponseEndsLikeAWholeOne guards against an aborted response whose caller reads
// a regular end.
func TestAbortedResponseEndsLikeAWholeOne(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		_ = http.NewResponseController(w).Flush()
		httpabort.Abort(w, r)
	})
	plain := httptest.NewServer(handler)
	defer plain.Close()
	encrypted := httptest.NewTLSServer(handler)
	defer encrypted.Close()
	for name, dial := range map[string]func() (net.Conn, error){
		"plain": func() (net.Conn, error) { return net.Dial("tcp", plain.Listener.Addr().String()) },
		"encrypted": func() (net.Conn, error) {
			return tls.Dial("tcp", encrypted.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := dial()
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
			c.Assert(err, qt.IsNil)
			text, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes", len(text)))
		})
	}
}
