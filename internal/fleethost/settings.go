// Package fleethost puts the parts of a host before one fleet of upstreams
// together and runs them.
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
	Name       string   `json:"name"`
	DataCentre string   `json:"data_centre"`
	Listen     Listen   `json:"listen"`
	Store      string   `json:"store"` // ip:port of the platform's store
	Seeds      []string `json:"seeds"` // addresses of peers that may be asked first
	MemoryMB   int      `json:"memory_mb"`
	Cores      int      `json:"cores"`
	StopSecond float64  `json:"stop_seconds"` // from the order to stop to the kill
	KeepSecond float64  `json:"keep_seconds"` // of a job and its results, from its submission
	Traces     string   `json:"traces"`       // none, stdout or an OTLP URL
	LogLevel   string   `json:"log_level"`
	LogLines   int      `json:"log_lines_per_second"` // of one event; more are counted and left out
}

// Listen are the addresses of a host, as ip:port.
type Listen struct {
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	PeersAt   string `json:"peers_at"` // that peers use, where it is another one than this host listens at
	Metrics   string `json:"metrics"`
}

const (
	defaultStopSeconds = 8
	defaultLogLines    = 200
)

// ReadSettings reads and checks a settings file.
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

// ParseSettings reads and checks settings. Fields that it doesn't know may come
// with a newer platform and are ignored.
func ParseSettings(raw []byte) (Settings, error) {
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return Settings{}, apierr.New(apierr.Invalid, "the settings are not valid JSON with comments", "correct the file").WithCause(err)
	}
	s := Settings{StopSecond: defaultStopSeconds, LogLines: defaultLogLines, Cores: 1}
	if err := json.Unmarshal(plain, &s); err != nil {
		return Settings{}, apierr.New(apierr.Invalid, "a setting has the wrong type", "correct the file").WithCause(err)
	}
	if s.Listen.PeersAt == "" {
		s.Listen.PeersAt = s.Listen.Peers
	}
	return s, s.check()
}

func (s Settings) check() error {
	for _, required := range []struct{ field, value string }{
		{"name", s.Name}, {"data_centre", s.DataCentre}, {"store", s.Store},
	} {
		if required.value == "" {
			return apierr.Newf(apierr.Invalid, "add it to the settings", "the setting %q is missing", required.field)
		}
	}
	if s.MemoryMB < 0 || s.Cores < 0 || s.StopSecond <= 0 || s.KeepSecond < 0 || s.LogLines <= 0 {
		return apierr.New(apierr.Invalid, "memory_mb, cores, stop_seconds, keep_seconds or log_lines_per_second is out of range", "give positive numbers")
	}
	return nil
}

// checkHost checks what only a host for callers needs.
func (s Settings) checkHost() error {
	for _, required := range []struct{ field, value string }{
		{"callers", s.Listen.Callers}, {"readiness", s.Listen.Readiness}, {"peers", s.Listen.Peers},
	} {
		if required.value == "" {
			return apierr.Newf(apierr.Invalid, "add it to the settings", "the setting listen.%s is missing", required.field)
		}
	}
	return nil
}
