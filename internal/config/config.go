// Package config reads and validates the configuration: one base file and an
// optional overlay for each site, in JSON with comments.
//
// Contract: a document is validated as a whole before it is used. The fleet part
// is shared by all hosts and takes effect as a revision. The host part is read by
// one process at startup.
package config

import (
	"time"

	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Document is the configuration of one site: the base merged with its overlay.
type Document struct {
	Host  Host  `json:"host,omitzero"`
	Fleet Fleet `json:"fleet,omitzero"`
}

// Fleet is the part of the configuration that applies to every host.
type Fleet struct {
	Teams    map[string]team.Spec    `json:"teams,omitempty"`
	Services map[string]service.Spec `json:"services,omitempty"`
	Routes   map[string]route.Spec   `json:"routes,omitempty"`
	Limits   Limits                  `json:"limits,omitzero"`
}

// Limits bounds the resources that requests and jobs can use.
type Limits struct {
	MaxBodyBytes          int64   `json:"max_body_bytes,omitempty"`
	RequestTimeoutSeconds float64 `json:"request_timeout_seconds,omitempty"`
	// FirstByteSeconds bounds the time until an upstream's response begins.
	FirstByteSeconds float64 `json:"first_byte_seconds,omitempty"`
	// ResponseIdleTimeoutSeconds bounds the time for which a started response
	// may send no data.
	ResponseIdleTimeoutSeconds float64 `json:"answer_silence_seconds,omitempty"`
	MaxQueuedPerTeam           int     `json:"max_queued_per_team,omitempty"`
	MaxItemsPerJob             int     `json:"max_items_per_job,omitempty"`
	// MaxKnowledgeAgeSeconds is the time after which a host that hears from
	// neither the platform nor a peer rejects callers. 0 means no bound.
	MaxKnowledgeAgeSeconds float64 `json:"max_knowledge_age_seconds,omitempty"`
}

// Default values of Limits.
const (
	DefaultMaxBodyBytes        = 4 << 20
	DefaultRequestTimeout      = 60 * time.Second
	DefaultFirstByteTimeout    = 30 * time.Second
	DefaultResponseIdleTimeout = 30 * time.Second
	DefaultMaxQueuedPerTeam    = 256
	DefaultMaxItemsPerJob      = 100_000
)

// WithDefaults returns the limits with every unset field filled in.
func (l Limits) WithDefaults() Limits {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.RequestTimeoutSeconds == 0 {
		l.RequestTimeoutSeconds = DefaultRequestTimeout.Seconds()
	}
	if l.FirstByteSeconds == 0 {
		l.FirstByteSeconds = DefaultFirstByteTimeout.Seconds()
	}
	if l.ResponseIdleTimeoutSeconds == 0 {
		l.ResponseIdleTimeoutSeconds = DefaultResponseIdleTimeout.Seconds()
	}
	if l.MaxQueuedPerTeam == 0 {
		l.MaxQueuedPerTeam = DefaultMaxQueuedPerTeam
	}
	if l.MaxItemsPerJob == 0 {
		l.MaxItemsPerJob = DefaultMaxItemsPerJob
	}
	return l
}

// RequestTimeout returns the time limit of one request.
func (l Limits) RequestTimeout() time.Duration {
	return time.Duration(l.RequestTimeoutSeconds * float64(time.Second))
}

// FirstByteTimeout returns the time limit for the start of an upstream's response.
func (l Limits) FirstByteTimeout() time.Duration {
	return time.Duration(l.FirstByteSeconds * float64(time.Second))
}

// ResponseIdleTimeout returns the longest time that a started response may go
// without sending data.
func (l Limits) ResponseIdleTimeout() time.Duration {
	return time.Duration(l.ResponseIdleTimeoutSeconds * float64(time.Second))
}

// MaxKnowledgeAge returns MaxKnowledgeAgeSeconds as a duration; 0 means no bound.
func (l Limits) MaxKnowledgeAge() time.Duration {
	return time.Duration(l.MaxKnowledgeAgeSeconds * float64(time.Second))
}

// Host is the part of the configuration that one process reads at startup.
type Host struct {
	Name         string `json:"name,omitempty"`
	Site         string `json:"site,omitempty"`        // selects the overlay
	DataCentre   string `json:"data_centre,omitempty"` // location of the host
	Listen       string `json:"listen,omitempty"`      // ip:port for callers
	AdminListen  string `json:"admin_listen,omitempty"`
	PeerListen   string `json:"peer_listen,omitempty"`
	PeerAddress  string `json:"peer_address,omitempty"`  // advertised to peers; default PeerListen
	AdminAddress string `json:"admin_address,omitempty"` // advertised to operators; default AdminListen
	Platform     string `json:"platform,omitempty"`      // base URL of the object API
	// Peers are the addresses of other hosts, ip:port. The host picks the peers
	// that it calls at random from these and from the hosts that it has seen in
	// the platform's store.
	Peers      []string `json:"peers,omitempty"`
	DataFolder string   `json:"data_folder,omitempty"` // if empty, nothing is kept on disk
	// OperatorTokens are the tokens of individual operators by name. The name is
	// recorded with each change in the log.
	OperatorTokens map[string]string `json:"operator_tokens,omitempty"`
	OperatorToken  string            `json:"operator_token,omitempty"`
	LogLevel       string            `json:"log_level,omitempty"`
	Traces         string            `json:"traces,omitempty"` // none, stdout or an OTLP URL
	// DrainSeconds is the time for which a stopping host still accepts
	// connections while it reports that it is not ready, so that the load
	// balancer can take it out of rotation.
	DrainSeconds float64 `json:"drain_seconds,omitempty"`
	// StopSeconds bounds the wait for requests in progress during shutdown.
	StopSeconds float64 `json:"stop_seconds,omitempty"`
	TLS         TLS     `json:"tls,omitzero"`
}

// TLS lists the certificate files of a host. Files are reloaded when they change.
type TLS struct {
	CertFile     string `json:"cert_file,omitempty"`      // certificate for callers and operators
	KeyFile      string `json:"key_file,omitempty"`       // private key of CertFile
	PeerCertFile string `json:"peer_cert_file,omitempty"` // certificate for connections between hosts
	PeerKeyFile  string `json:"peer_key_file,omitempty"`  // private key of PeerCertFile
	PeerCAFile   string `json:"peer_ca_file,omitempty"`   // certificate authority of the peers
}

// Bundle is the base document and the overlay of each site, applied as a unit.
type Bundle struct {
	Base     map[string]any            `json:"base"`
	Overlays map[string]map[string]any `json:"overlays,omitempty"`
}

// Revision is an accepted bundle. It is immutable.
type Revision struct {
	Number  int64     `json:"number"` // increases by one with each accepted bundle
	Bundle  Bundle    `json:"bundle"`
	Author  string    `json:"author"`
	Note    string    `json:"note,omitempty"`
	Created time.Time `json:"created"`
}
