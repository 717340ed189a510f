// Package certs reads certificates from files, takes up replaced files without
// a restart, and makes authorities and certificates for development.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// checkInterval is the time between looks at the files' modification times.
const checkInterval = time.Second

// Files names a certificate, its key and, where the other side is checked, the
// authority that signs it.
type Files struct {
	Cert string
	Key  string
	CA   string // empty checks nothing
}

// Reloader holds what files contain and reads them again when they change. A
// file that cannot be read leaves the earlier contents in use.
type Reloader struct {
	files Files

	mu     sync.Mutex
	looked time.Time
	stamp  stamp
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// stamp tells whether files have changed.
type stamp struct{ cert, key, ca time.Time }

// NewReloader reads the files, which must be whole at the start.
func NewReloader(files Files) (*Reloader, error) {
	r := &Reloader{files: files, looked: time.Now()}
	var err error
	if r.stamp, err = files.stamp(); err != nil {
		return nil, err
	}
	if r.cert, r.pool, err = files.read(); err != nil {
		return nil, err
	}
	return r, nil
}

func (f Files) stamp() (stamp, error) {
	var s stamp
	for _, file := range []struct {
		path string
		time *time.Time
	}{{f.Cert, &s.cert}, {f.Key, &s.key}, {f.CA, &s.ca}} {
		if file.path == "" {
			continue
		}
		info, err := os.Stat(file.path)
		if err != nil {
			return s, errors.Wrap(err, "read certificate; check host.tls")
		}
		*file.time = info.ModTime()
	}
	return s, nil
}

func (f Files) read() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read certificate and key; check host.tls")
	}
	if f.CA == "" {
		return &cert, nil, nil
	}
	pool, err := ReadPool(f.CA)
	return &cert, pool, err
}

// ReadPool reads the certificates of authorities.
func ReadPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate; give a file in PEM form", path)
	}
	return pool, nil
}

// current returns the certificate and the authority in use.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.looked) < checkInterval {
		return r.cert, r.pool
	}
	r.looked = now
	s, err := r.files.stamp()
	if err != nil || s == r.stamp {
		return r.cert, r.pool
	}
	// A certificate and its key are replaced one after the other; until both
	// fit, the earlier ones stay in use.
	if cert, pool, err := r.files.read(); err == nil {
		r.cert, r.pool, r.stamp = cert, pool, s
	}
	return r.cert, r.pool
}

// Server returns the settings of a listener. With an authority, clients must
// show a certificate that it has signed.
func (r *Reloader) Server() *tls.Config {
	base := &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
	if r.files.CA == "" {
		return base
	}
	base.ClientAuth = tls.RequireAndVerifyClientCert
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := base.Clone()
		c.GetConfigForClient = nil
		_, c.ClientCAs = r.current()
		return c, nil
	}
	return base
}

// Client returns the settings of one connection to a server.
func (r *Reloader) Client(serverName string) *tls.Config {
	cert, pool := r.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2"},
		ServerName: serverName,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return cert, nil
		},
	}
}
