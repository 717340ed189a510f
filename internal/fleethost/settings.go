// Package fleethost builds and runs a host that serves callers from one fleet of
// upstreams.
package fleethost

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Settings are the settings of one process, in JSON with comments.
type Settings struct {
	Name        string   `json:"name"`
	DataCentre  string   `json:"data_centre"`
	Listen      Listen   `json:"listen"`
	Store       string   `json:"store"` // ip:port of the platform's store
	Seeds       []string `json:"seeds"` // addresses of peers to contact until the list of hosts is known
	MemoryMB    int      `json:"memory_mb"`
	MaxFDs      int      `json:"max_fds"` // file descriptors that the process may open; 0 is not known
	Cores       int      `json:"cores"`
	StopSeconds float64  `json:"stop_seconds"` // between the signal to stop and the kill
	KeepSeconds float64  `json:"keep_seconds"` // for which a job and its results are kept, from submission; 0 for the default
	Traces      string   `json:"traces"`       // none, stdout or an OTLP URL
	LogLevel    string   `json:"log_level"`
	LogLines    int      `json:"log_lines_per_second"` // of one event; further ones are counted and dropped
	Terms       []string `json:"terms"`                // of the deployment; those that ask for a feature switch it on
}

// Listen are the addresses of a host, as ip:port.
type Listen struct {
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	PeersAt   string `json:"peers_at"` // address announced to peers; the default is Peers
	Metrics   string `json:"metrics"`
}

const (
	defaultStopSeconds = 8
	defaultLogLines    = 200
)

// ReadSettings reads and validates a settings file.
func ReadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := ParseSettings(raw)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "settings %s", path)
	}
	return s, nil
}

// ParseSettings parses and validates settings. Unknown fields are ignored: a newer
// platform may add some.
func ParseSettings(raw []byte) (Settings, error) {
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return Settings{}, apierr.New(apierr.Invalid, "the settings are not valid JSON with comments", "correct the file").WithCause(err)
	}
	s := Settings{StopSeconds: defaultStopSeconds, LogLines: defaultLogLines, Cores: 1}
	if err := json.Unmarshal(plain, &s); err != nil {
		return Settings{}, apierr.New(apierr.Invalid, "a setting has the wrong type", "correct the file").WithCause(err)
	}
	if s.Listen.PeersAt == "" {
		s.Listen.PeersAt = s.Listen.Peers
	}
	return s, s.validate()
}

func (s Settings) validate() error {
	for _, required := range []struct{ field, value string }{
		{"name", s.Name}, {"data_centre", s.DataCentre}, {"store", s.Store},
	} {
		if required.value == "" {
			return apierr.Newf(apierr.Invalid, "add it to the settings", "the setting %q is missing", required.field)
		}
	}
	if s.MemoryMB < 0 || s.MaxFDs < 0 || s.Cores < 0 || s.StopSeconds <= 0 || s.KeepSeconds < 0 || s.LogLines <= 0 {
		return apierr.New(apierr.Invalid, "memory_mb, max_fds, cores, stop_seconds, keep_seconds or log_lines_per_second is out of range", "give positive numbers")
	}
	return nil
}

// validateHost checks the settings that only a host for callers requires.
func (s Settings) validateHost() error {
	for _, required := range []struct{ field, value string }{
		{"callers", s.Listen.Callers}, {"readiness", s.Listen.Readiness}, {"peers", s.Listen.Peers},
	} {
		if required.value == "" {
			return apierr.Newf(apierr.Invalid, "add it to the settings", "the setting listen.%s is missing", required.field)
		}
	}
	return nil
}
