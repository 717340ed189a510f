package app

import (
	"crypto/tls"

	"github.com/masticscale/masticscale/internal/certs"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/peer"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// publicTLS returns the settings of the listeners for callers and operators,
// or nil where they speak without TLS.
func publicTLS(s config.Host) (*tls.Config, error) {
	if s.TLS.CertFile == "" {
		return nil, nil
	}
	r, err := certs.NewReloader(certs.Files{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile})
	if err != nil {
		return nil, err
	}
	return r.ServerConfig(), nil
}

// peerTLS returns the certificates for calls between hosts, or nil where they
// speak without TLS.
func peerTLS(s config.Host) (*certs.Reloader, error) {
	if s.TLS.PeerCertFile == "" {
		return nil, nil
	}
	return certs.NewReloader(certs.Files{Cert: s.TLS.PeerCertFile, Key: s.TLS.PeerKeyFile, CA: s.TLS.PeerCAFile})
}

func newPeerClient(s config.Host, m *telemetry.Metrics) (*peer.Client, error) {
	dial := m.CountingDial(telemetry.LinkPeers)
	files, err := peerTLS(s)
	if err != nil {
		return nil, err
	}
	if files == nil {
		return peer.NewClient(dial), nil
	}
	return peer.NewTLSClient(dial, files), nil
}

// listenerTLS returns the settings of the three listeners.
func listenerTLS(s config.Host) (public, peers *tls.Config, err error) {
	if public, err = publicTLS(s); err != nil {
		return nil, nil, err
	}
	files, err := peerTLS(s)
	if err != nil || files == nil {
		return public, nil, err
	}
	return public, files.ServerConfig(), nil
}
