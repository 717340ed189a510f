// Package config reads the configuration: one base file with an overlay for
// each site, in JSON with comments.
//
// Contract: a document is checked whole before it is used. The fleet part is
// the same for all hosts and takes effect as a revision; the host part is read
// by one process at its start.
package config

import (
	"time"

	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// Document is a rendered configuration.
type Document struct {
	Host  Host  `json:"host,omitzero"`
	Fleet Fleet `json:"fleet,omitzero"`
}

// Fleet is the part that is in force on every host.
type Fleet struct {
	Teams    map[string]team.Spec    `json:"teams,omitempty"`
	Services map[string]service.Spec `json:"services,omitempty"`
	Routes   map[string]route.Spec   `json:"routes,omitempty"`
	Limits   Limits                  `json:"limits,omitzero"`
}

// Limits bound what one caller can ask for.
type Limits struct {
	MaxBodyBytes          int64   `json:"max_body_bytes,omitempty"`
	RequestTimeoutSeconds float64 `json:"request_timeout_seconds,omitempty"`
	// FirstByteSeconds bounds the time until an upstream's answer begins.
	FirstByteSeconds float64 `json:"first_byte_seconds,omitempty"`
	// ResponseIdleTimeoutSeconds bounds the time in which a begun answer sends nothing.
	ResponseIdleTimeoutSeconds float64 `json:"answer_silence_seconds,omitempty"`
	MaxQueuedPerTeam           int     `json:"max_queued_per_team,omitempty"`
	MaxItemsPerJob             int     `json:"max_items_per_job,omitempty"`
	// MaxKnowledgeAgeSeconds refuses callers when the host has not heard from
	// the platform or a peer for so long. 0 serves on without bound.
	MaxKnowledgeAgeSeconds float64 `json:"max_knowledge_age_seconds,omitempty"`
}

// The defaults of Limits.
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

// RequestTimeout returns the time that one request may take.
func (l Limits) RequestTimeout() time.Duration {
	return time.Duration(l.RequestTimeoutSeconds * float64(time.Second))
}

// FirstByteTimeout returns the time in which an upstream must begin its answer.
func (l Limits) FirstByteTimeout() time.Duration {
	return time.Duration(l.FirstByteSeconds * float64(time.Second))
}

// ResponseIdleTimeout returns the time in which a begun answer may send nothing.
func (l Limits) ResponseIdleTimeout() time.Duration {
	return time.Duration(l.ResponseIdleTimeoutSeconds * float64(time.Second))
}

// MaxKnowledgeAge returns the bound of MaxKnowledgeAgeSeconds; 0 is none.
func (l Limits) MaxKnowledgeAge() time.Duration {
	return time.Duration(l.MaxKnowledgeAgeSeconds * float64(time.Second))
}

// Host is the part that one process reads at its start.
type Host struct {
	Name         string `json:"name,omitempty"`
	Site         string `json:"site,omitempty"`        // selects the overlay
	DataCentre   string `json:"data_centre,omitempty"` // where this host stands
	Listen       string `json:"listen,omitempty"`      // callers, ip:port
	AdminListen  string `json:"admin_listen,omitempty"`
	PeerListen   string `json:"peer_listen,omitempty"`
	PeerAddress  string `json:"peer_address,omitempty"`  // as peers reach it; default is PeerListen
	AdminAddress string `json:"admin_address,omitempty"` // as operators reach it; default is AdminListen
	Platform     string `json:"platform,omitempty"`      // base URL of the object API
	// Peers are addresses of other hosts, ip:port, that a host asks when it
	// starts while the platform cannot be reached.
	Peers      []string `json:"peers,omitempty"`
	DataFolder string   `json:"data_folder,omitempty"` // empty keeps nothing on disk
	// OperatorTokens give each operator a token of their own; the name stands
	// in the log of changes.
	OperatorTokens map[string]string `json:"operator_tokens,omitempty"`
	OperatorToken  string            `json:"operator_token,omitempty"`
	LogLevel       string            `json:"log_level,omitempty"`
	Traces         string            `json:"traces,omitempty"` // none, stdout or an OTLP URL
	// DrainSeconds is the time between "not ready" and the last accepted
	// connection, for the balancer to notice.
	DrainSeconds float64 `json:"drain_seconds,omitempty"`
	// StopSeconds bounds the wait for requests in progress at a stop.
	StopSeconds float64 `json:"stop_seconds,omitempty"`
	TLS         TLS     `json:"tls,omitzero"`
}

// TLS names the certificates of a host. Files are read again when they change.
type TLS struct {
	CertFile     string `json:"cert_file,omitempty"`      // callers and operators
	KeyFile      string `json:"key_file,omitempty"`       //
	PeerCertFile string `json:"peer_cert_file,omitempty"` // between hosts
	PeerKeyFile  string `json:"peer_key_file,omitempty"`
	PeerCAFile   string `json:"peer_ca_file,omitempty"` // authority that signs peers
}

// Bundle is what an operator applies: the base and the overlay of each site.
type Bundle struct {
	Base     map[string]any            `json:"base"`
	Overlays map[string]map[string]any `json:"overlays,omitempty"`
}

// Revision is an accepted bundle. It never changes.
type Revision struct {
	Number  int64     `json:"number"` // rises by one with each accepted bundle
	Bundle  Bundle    `json:"bundle"`
	Author  string    `json:"author"`
	Note    string    `json:"note,omitempty"`
	Created time.Time `json:"created"`
}
