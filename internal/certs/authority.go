package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

const (
	caName              = "ca"
	certificateLifetime = 365 * 24 * time.Hour
	clockSkewTolerance  = time.Hour
	certFileMode        = 0o644
	keyFileMode         = 0o600
	dirMode             = 0o755
	serialBits          = 128
)

// Authority is a certificate authority for development and tests.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  any
}

// OpenAuthority reads ca.pem and ca-key.pem in dir, or creates both if they do
// not exist.
func OpenAuthority(dir string) (*Authority, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	a := &Authority{dir: dir}
	pair, err := tls.LoadX509KeyPair(a.paths(caName))
	if errors.Is(err, os.ErrNotExist) {
		return a, a.create()
	}
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificate and key")
	}
	a.cert, a.key = pair.Leaf, pair.PrivateKey
	return a, nil
}

// paths returns the paths of a certificate and its key.
func (a *Authority) paths(name string) (string, string) {
	return filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+"-key.pem")
}

func (a *Authority) create() error {
	template, err := newTemplate("masticscale development authority")
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	a.cert, a.key = template, key
	der, err := a.signAndWrite(caName, template, key)
	if err != nil {
		return err
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		return errors.Wrap(err, "parse new CA certificate")
	}
	return nil
}

// Issue writes NAME.pem and NAME-key.pem: a server and client certificate for
// the addresses, and its key.
func (a *Authority) Issue(name string, addresses []net.IP) error {
	template, err := newTemplate(name)
	if err != nil {
		return err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	_, err = a.signAndWrite(name, template, key)
	return err
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(certificateLifetime),
	}, nil
}

// signAndWrite signs a certificate and writes it and its key to files.
func (a *Authority) signAndWrite(name string, template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	certPath, keyPath := a.paths(name)
	if err := writePEM(keyPath, "PRIVATE KEY", private, keyFileMode); err != nil {
		return nil, err
	}
	return der, writePEM(certPath, "CERTIFICATE", der, certFileMode)
}

func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(path, data, mode); err != nil {
		return errors.Wrap(err, "write PEM file")
	}
	return nil
}
