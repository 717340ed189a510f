package config

import (
	"cmp"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Complete validates the settings, checks that the required ones are present and
// fills in the advertised addresses.
func (h Host) Complete() (Host, error) {
	if err := joinErrors(h.validationErrors()); err != nil {
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

// validationErrors reports settings that are out of range. Complete checks for
// missing settings at startup, because command line flags can supply them.
func (h Host) validationErrors() []*apierr.Error {
	var errs []*apierr.Error
	addIf := func(invalid bool, field, message, remedy string) {
		if invalid {
			errs = append(errs, apierr.New(apierr.Invalid, message, remedy).At(field).At("host"))
		}
	}
	addIf(h.DrainSeconds < 0, "drain_seconds", "the time is negative", "leave it out for the default")
	addIf(h.StopSeconds < 0, "stop_seconds", "the time is negative", "leave it out for the default")
	_, err := logrus.ParseLevel(cmp.Or(h.LogLevel, "info"))
	addIf(err != nil, "log_level", fmt.Sprintf("level %q is not known", h.LogLevel), "use debug, info, warning or error")
	for name, token := range h.OperatorTokens {
		addIf(token == "", memberPath("operator_tokens", name), "the token is empty", "give a long random text")
	}
	t := h.TLS
	addIf((t.CertFile == "") != (t.KeyFile == ""), "tls", "a certificate needs its key", "give both cert_file and key_file")
	anyPeerFile := t.PeerCertFile != "" || t.PeerKeyFile != "" || t.PeerCAFile != ""
	allPeerFiles := t.PeerCertFile != "" && t.PeerKeyFile != "" && t.PeerCAFile != ""
	addIf(anyPeerFile && !allPeerFiles, "tls", "TLS between hosts needs a certificate, its key and the authority", "give peer_cert_file, peer_key_file and peer_ca_file")
	return errs
}
