package telemetry

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Links whose bytes are counted.
const (
	LinkPlatform = "platform"
	LinkPeers    = "peers"
)

const controlDialTimeout = 2 * time.Second

// DialFunc opens a connection whose bytes are counted as control traffic.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDial returns a dial function that counts the bytes of a link. Bytes
// between two hosts are counted only by the host that opened the connection.
func (m *Metrics) CountingDial(link string) DialFunc {
	dialer := &net.Dialer{Timeout: controlDialTimeout}
	sent := m.ControlBytes.WithLabelValues(link, "sent")
	received := m.ControlBytes.WithLabelValues(link, "received")
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	sent, received prometheus.Counter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

// ObservePlatformCall implements objstore.Observer.
func (m *Metrics) ObservePlatformCall(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.PlatformCalls.WithLabelValues(operation, result).Inc()
}

// AddPlatformWatches implements objstore.Observer.
func (m *Metrics) AddPlatformWatches(delta int) { m.Watches.Add(float64(delta)) }
