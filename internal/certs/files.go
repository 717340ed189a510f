// Package certs loads TLS certificates from files, reloads them without a restart
// when the files are replaced, and issues certificates for development.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// checkInterval is the minimum time between checks of the files' modification times.
const checkInterval = time.Second

// Files holds the paths of a certificate, its key and the CA certificates that
// verify the other side.
type Files struct {
	Cert string
	Key  string
	CA   string // if empty, clients are not verified and the system roots verify servers
}

// Reloader holds the contents of Files and reloads them when the files change. If
// a file cannot be read, the previous contents stay in use.
type Reloader struct {
	files Files

	mu             sync.Mutex
	lastCheck      time.Time
	loadedModTimes modTimes
	cert           *tls.Certificate
	caPool         *x509.CertPool
}

// modTimes holds the modification times of Files.
type modTimes struct{ cert, key, ca time.Time }

// NewReloader reads the files. It returns an error if one of them is invalid.
func NewReloader(files Files) (*Reloader, error) {
	r := &Reloader{files: files, lastCheck: time.Now()}
	var err error
	if r.loadedModTimes, err = files.modTimes(); err != nil {
		return nil, err
	}
	if r.cert, r.caPool, err = files.read(); err != nil {
		return nil, err
	}
	return r, nil
}

func (f Files) modTimes() (modTimes, error) {
	var times modTimes
	for _, file := range []struct {
		path string
		time *time.Time
	}{{f.Cert, &times.cert}, {f.Key, &times.key}, {f.CA, &times.ca}} {
		if file.path == "" {
			continue
		}
		info, err := os.Stat(file.path)
		if err != nil {
			return times, errors.Wrap(err, "read certificate; check host.tls")
		}
		*file.time = info.ModTime()
	}
	return times, nil
}

func (f Files) read() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read certificate and key; check host.tls")
	}
	if f.CA == "" {
		return &cert, nil, nil
	}
	pool, err := ReadCAPool(f.CA)
	return &cert, pool, err
}

// ReadCAPool reads CA certificates from a PEM file.
func ReadCAPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s contains no certificate; use a file in PEM format", path)
	}
	return pool, nil
}

// current returns the certificate and the CA pool, reloaded if the files have changed.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastCheck) < checkInterval {
		return r.cert, r.caPool
	}
	r.lastCheck = now
	times, err := r.files.modTimes()
	if err != nil || times == r.loadedModTimes {
		return r.cert, r.caPool
	}
	// A certificate and its key are replaced one after the other. The previous
	// pair stays in use until they match.
	if cert, pool, err := r.files.read(); err == nil {
		r.cert, r.caPool, r.loadedModTimes = cert, pool, times
	}
	return r.cert, r.caPool
}

// ServerConfig returns the TLS configuration of a listener. With a CA, clients
// must present a certificate signed by it.
func (r *Reloader) ServerConfig() *tls.Config {
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

// ClientConfig returns the TLS configuration of one connection to a server.
func (r *Reloader) ClientConfig(serverName string) *tls.Config {
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
