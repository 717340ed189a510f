// Package link defines the protocols and limits of connections between hosts.
package link

import (
	"net/http"

	"connectrpc.com/connect"
)

// MaxHeadBytes limits the headers of a response from a host.
const MaxHeadBytes = 64 << 10

// WithMaxMessageBytes limits the messages that a client or handler sends and reads. A
// longer one ends the call with connect.CodeResourceExhausted, before it is sent unless
// compression shortens it.
func WithMaxMessageBytes(n int) connect.Option {
	return connect.WithOptions(connect.WithSendMaxBytes(n), connect.WithReadMaxBytes(n))
}

// Protocols returns the protocols between hosts: HTTP/2, with or without TLS.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
