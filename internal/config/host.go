package config

import (
	"net"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Complete fills in what follows from other settings and checks the rest.
func (h Host) Complete() (Host, error) {
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
