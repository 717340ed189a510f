package app

import (
	"crypto/tls"

	"github.com/masticscale/masticscale/internal/certs"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// publicTLSConfig returns the TLS configuration of the listeners for callers and
// operators, or nil if they don't use TLS.
func publicTLSConfig(s config.Host) (*tls.Config, error) {
	if s.TLS.CertFile == "" {
		return nil, nil
	}
	r, err := certs.NewReloader(certs.Files{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile})
	if err != nil {
		return nil, err
	}
	return r.ServerConfig(), nil
}

// peerCertificates returns the certificates for calls between hosts, or nil if they
// don't use TLS.
func peerCertificates(s config.Host) (*certs.Reloader, error) {
	if s.TLS.PeerCertFile == "" {
		return nil, nil
	}
	return certs.NewReloader(certs.Files{Cert: s.TLS.PeerCertFile, Key: s.TLS.PeerKeyFile, CA: s.TLS.PeerCAFile})
}

func newPeerClient(s config.Host, m *telemetry.Metrics) (*peer.Client, error) {
	dial := m.CountingDial(telemetry.LinkPeers)
	files, err := peerCertificates(s)
	if err != nil {
		return nil, err
	}
	if files == nil {
		return peer.NewClient(dial), nil
	}
	return peer.NewTLSClient(dial, files), nil
}

// listenerTLSConfigs returns the TLS configurations of the public listeners and of
// the one for peers.
func listenerTLSConfigs(s config.Host) (public, peers *tls.Config, err error) {
	if public, err = publicTLSConfig(s); err != nil {
		return nil, nil, err
	}
	files, err := peerCertificates(s)
	if err != nil || files == nil {
		return public, nil, err
	}
	return public, files.ServerConfig(), nil
}
