package config

import (
	"cmp"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Complete fills in what follows from other settings and checks the rest.
func (h Host) Complete() (Host, error) {
	if err := joined(h.faults()); err != nil {
		return h, err
	}
	for _, required := range []struct{ field, value, remedy string }{
		{"name", h.Name, "give the host a name of its own, or pass --name"},
		{"listen", h.Listen, "give the address for callers, as ip:port"},
		{"admin_listen", h.AdminListen, "give the address for operators, as ip:port"},
		{"peer_listen", h.PeerListen, "give the address for other hosts, as ip:port"},
		{"platform", h.Platform, "give the base URL of the platform's object API"},
	} {
		if required.value == "" {
			return h, apierr.Newf(apierr.Invalid, required.remedy, "host.%s is missing", required.field)
		}
	}
	for field, value := range map[string]string{"listen": h.Listen, "admin_listen": h.AdminListen, "peer_listen": h.PeerListen} {
		if _, _, err := net.SplitHostPort(value); err != nil {
			return h, apierr.Newf(apierr.Invalid, "write ip:port", "host.%s %q is not an address", field, value)
		}
	}
	if h.PeerAddress == "" {
		h.PeerAddress = h.PeerListen
	}
	if h.AdminAddress == "" {
		h.AdminAddress = h.AdminListen
	}
	return h, nil
}

// faults finds settings of a host that are out of range. What a host needs is
// checked when it starts, since flags can give it.
func (h Host) faults() []*apierr.Error {
	var all []*apierr.Error
	add := func(bad bool, field, message, remedy string) {
		if bad {
			all = append(all, apierr.New(apierr.Invalid, message, remedy).At(field).At("host"))
		}
	}
	add(h.DrainSeconds < 0, "drain_seconds", "the time is negative", "leave it out for the default")
	add(h.StopSeconds < 0, "stop_seconds", "the time is negative", "leave it out for the default")
	_, err := logrus.ParseLevel(cmp.Or(h.LogLevel, "info"))
	add(err != nil, "log_level", fmt.Sprintf("level %q is not known", h.LogLevel), "use debug, info, warning or error")
	for name, token := range h.OperatorTokens {
		add(token == "", pathTo("operator_tokens", name), "the token is empty", "give a long random text")
	}
	t := h.TLS
	add((t.CertFile == "") != (t.KeyFile == ""), "tls", "a certificate needs its key", "give both cert_file and key_file")
	peers := t.PeerCertFile != "" || t.PeerKeyFile != "" || t.PeerCAFile != ""
	whole := t.PeerCertFile != "" && t.PeerKeyFile != "" && t.PeerCAFile != ""
	add(peers && !whole, "tls", "TLS between hosts needs a certificate, its key and the authority", "give peer_cert_file, peer_key_file and peer_ca_file")
	return all
}
