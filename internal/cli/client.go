package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/certs"
)

const (
	adminTimeout = 30 * time.Second
	addressEnv   = "MASTICSCALE_ADMIN"
	tokenEnv     = "MASTICSCALE_TOKEN"
	caEnv        = "MASTICSCALE_CA"
)

var errUnreachable = errors.New("host is unreachable; check its address, in --admin or --host")

// client calls the administration API.
type client struct {
	base  string
	token string
	http  *http.Client
}

// addClientFlags gives a command the flags of a client.
func addClientFlags(c *cobra.Command) {
	c.PersistentFlags().String("admin", os.Getenv(addressEnv), "administration API of any host, as http://ip:port")
	c.PersistentFlags().String("ca", os.Getenv(caEnv), "file with the authority of the host's certificate, in PEM form")
	c.PersistentFlags().String("token", "", "operator token; MASTICSCALE_TOKEN where not given")
	c.PersistentFlags().StringP("output", "o", "table", "form of the output: table or json")
}

func clientOf(c *cobra.Command) (*client, error) {
	base, _ := c.Flags().GetString("admin")
	token, _ := c.Flags().GetString("token")
	if token == "" {
		token = os.Getenv(tokenEnv)
	}
	if base == "" {
		return nil, errors.Wrapf(errUsage, "no host given; pass --admin http://ip:port or set %s", addressEnv)
	}
	ca, _ := c.Flags().GetString("ca")
	transport, err := transportFor(ca)
	if err != nil {
		return nil, err
	}
	return &client{base: strings.TrimRight(base, "/"), token: token, http: &http.Client{Transport: transport}}, nil
}

// transportFor returns a transport that trusts the authority in a file in place
// of those of the system.
func transportFor(ca string) (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if ca == "" {
		return transport, nil
	}
	pool, err := certs.ReadCAPool(ca)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return transport, nil
}

// call sends one request and reads its answer into out.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(errUnreachable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= 300 {
		return readError(resp)
	}
	if out == nil {
		return nil
	}
	return readJSON(resp.Body, out)
}

func readJSON(r io.Reader, out any) error {
	if err := json.NewDecoder(r).Decode(out); err != nil {
		return errors.Wrap(err, "read answer")
	}
	return nil
}

func readError(resp *http.Response) error {
	var e admin.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || e.Kind == "" {
		return errors.Errorf("the host answered %s", resp.Status)
	}
	return &apierr.Error{Kind: e.Kind, Message: e.Message, Remedy: e.Remedy, Execution: e.Execution}
}
