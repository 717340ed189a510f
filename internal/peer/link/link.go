// Package link defines the protocols of connections between hosts.
package link

import "net/http"

// Protocols returns the protocols between hosts: HTTP/2, with or without TLS.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
