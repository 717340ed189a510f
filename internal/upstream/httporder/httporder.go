// Package httporder sends orders to upstreams over HTTP.
//
// Contract: each order uses its own connection. The kernel drops the connection
// if the order's bytes stay unacknowledged, so that no order arrives long after
// its sender has timed out or exited.
package httporder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/masticscale/masticscale/internal/order"
	"github.com/masticscale/masticscale/internal/order/orderer"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	dialTimeout   = 2 * time.Second
	maxErrorBytes = 1 << 10
)

// Request is the JSON body of an order.
type Request struct {
	Fencing int64         `json:"fencing"`
	Desired order.Desired `json:"desired"`
}

// Sender implements orderer.Sender.
type Sender struct{ client *http.Client }

// New returns a sender.
func New() *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: dropUnacknowledged}
	return &Sender{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: upstream.MaxHeadBytes,
	}}}
}

// dropUnacknowledged limits how long the kernel retransmits unacknowledged bytes,
// even after this process has exited.
func dropUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(order.SendLifetime.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// Send implements orderer.Sender.
func (s *Sender) Send(ctx context.Context, t orderer.Target, fencing int64, d order.Desired) error {
	text, err := json.Marshal(Request{Fencing: fencing, Desired: d})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.Address+"/v1/orders", bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	// Without GetBody, the transport can't send the order a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	return checkResponse(resp)
}

func checkResponse(resp *http.Response) error {
	switch {
	case resp.StatusCode < 300:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return orderer.ErrStale
	case resp.StatusCode < 500:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return errors.Wrapf(orderer.ErrRefused, "%s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return errors.Errorf("the upstream answered %s", resp.Status)
}
