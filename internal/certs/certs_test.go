package certs_test

import (
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/certs"
)

// issue opens the authority in dir and issues a certificate for the loopback address.
func issue(c *qt.C, dir, name string) certs.Files {
	authority, err := certs.OpenAuthority(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(authority.Issue(name, []net.IP{net.IPv4(127, 0, 0, 1)}), qt.IsNil)
	return certs.Files{
		Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
}

// serve starts a server and returns its URL.
func serve(c *qt.C, files certs.Files) string {
	r, err := certs.NewReloader(files)
	c.Assert(err, qt.IsNil)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.NotFoundHandler(), TLSConfig: r.ServerConfig(), ErrorLog: log.New(io.Discard, "", 0)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.ServeTLS(socket, "", "")
	}()
	c.Cleanup(func() { _ = server.Close(); <-done })
	return "https://" + socket.Addr().String()
}

// dial sends one request. It returns an error if either side rejects the connection.
func dial(c *qt.C, url string, files certs.Files) error {
	r, err := certs.NewReloader(files)
	c.Assert(err, qt.IsNil)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: r.ClientConfig("127.0.0.1"), ForceAttemptHTTP2: true, DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func TestBothSidesAreChecked(t *testing.T) {
	c := qt.New(t)
	ours, foreign := c.TempDir(), c.TempDir()
	server := serve(c, issue(c, ours, "h1"))
	c.Assert(dial(c, server, issue(c, ours, "h2")), qt.IsNil)

	stranger := issue(c, foreign, "h3")
	c.Assert(dial(c, server, stranger), qt.IsNotNil)
	stranger.CA = filepath.Join(ours, "ca.pem") // accepts the server, but the server rejects the client
	c.Assert(dial(c, server, stranger), qt.IsNotNil)
}

func TestAuthorityIsKept(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	issue(c, dir, "h1")
	before, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	c.Assert(err, qt.IsNil)
	issue(c, dir, "h2")
	after, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(after), qt.Equals, string(before))
}

// TestReplacedFilesAreReloaded replaces the certificate first and the key later.
// The previous pair must stay in use in between.
func TestReplacedFilesAreUsed(t *testing.T) {
	c := qt.New(t)
	dir, next := c.TempDir(), c.TempDir()
	files := issue(c, dir, "h1")
	caller := issue(c, dir, "caller")
	fresh := issue(c, next, "h1")
	public := certs.Files{Cert: files.Cert, Key: files.Key}
	server := serve(c, public)
	c.Assert(dial(c, server, caller), qt.IsNil)

	replace(c, files.Cert, fresh.Cert)
	time.Sleep(1100 * time.Millisecond)
	c.Assert(dial(c, server, caller), qt.IsNil)
	replace(c, files.Key, fresh.Key)
	deadline := time.Now().Add(30 * time.Second)
	for dial(c, server, certs.Files{Cert: fresh.Cert, Key: fresh.Key, CA: fresh.CA}) != nil {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(50 * time.Millisecond)
	}
}

func replace(c *qt.C, path, from string) {
	text, err := os.ReadFile(from)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(path, text, 0o600), qt.IsNil)
	c.Assert(os.Chtimes(path, time.Time{}, time.Now().Add(time.Second)), qt.IsNil)
}
