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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.NotFoundHandler(), TLSConfig: r.ServerConfig(), ErrorLog: log.New(io.Discard, "", 0)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.ServeTLS(listener, "", "")
	}()
	c.Cleanup(func() { _ = server.Close(); <-done })
	return "https://" + listener.Addr().String()
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

func TestMutualTLSRejectsUntrustedCertificates(t *testing.T) {
	c := qt.New(t)
	trusted, other := c.TempDir(), c.TempDir()
	server := serve(c, issue(c, trusted, "h1"))
	c.Assert(dial(c, server, issue(c, trusted, "h2")), qt.IsNil)

	untrusted := issue(c, other, "h3")
	c.Assert(dial(c, server, untrusted), qt.IsNotNil)
	untrusted.CA = filepath.Join(trusted, "ca.pem") // accepts the server, but the server rejects the client
	c.Assert(dial(c, server, untrusted), qt.IsNotNil)
}

func TestExistingAuthorityIsReused(t *testing.T) {
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
func TestReplacedFilesAreReloaded(t *testing.T) {
	c := qt.New(t)
	dir, next := c.TempDir(), c.TempDir()
	files := issue(c, dir, "h1")
	client := issue(c, dir, "caller")
	replacement := issue(c, next, "h1")
	withoutCA := certs.Files{Cert: files.Cert, Key: files.Key}
	server := serve(c, withoutCA)
	c.Assert(dial(c, server, client), qt.IsNil)

	replace(c, files.Cert, replacement.Cert)
	time.Sleep(1100 * time.Millisecond)
	c.Assert(dial(c, server, client), qt.IsNil)
	replace(c, files.Key, replacement.Key)
	deadline := time.Now().Add(30 * time.Second)
	for dial(c, server, certs.Files{Cert: replacement.Cert, Key: replacement.Key, CA: replacement.CA}) != nil {
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
