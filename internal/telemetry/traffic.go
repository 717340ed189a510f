package telemetry

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// The links whose bytes are counted.
const (
	LinkPlatform = "platform"
	LinkPeers    = "peers"
)

const controlDialTimeout = 2 * time.Second

// DialFunc opens a connection whose bytes count as control traffic.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDial returns a dialer that counts the bytes of a link. Bytes between
// two hosts are counted by the one that opened the connection.
func (m *Metrics) CountingDial(link string) DialFunc {
	dialer := &net.Dialer{Timeout: controlDialTimeout}
	sent := m.ControlBytes.WithLabelValues(link, "sent")
	received := m.ControlBytes.WithLabelValues(link, "received")
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	sent, received prometheus.Counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

// PlatformCall implements objstore.Observer.
func (m *Metrics) PlatformCall(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.PlatformCalls.WithLabelValues(operation, result).Inc()
}

// PlatformWatches implements objstore.Observer.
func (m *Metrics) PlatformWatches(delta int) { m.Watches.Add(float64(delta)) }
