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
	adminRequestTimeout = 30 * time.Second
	adminAddressEnv     = "MASTICSCALE_ADMIN"
	tokenEnv            = "MASTICSCALE_TOKEN"
	caFileEnv           = "MASTICSCALE_CA"
)

var errUnreachable = errors.New("host is unreachable; check its address, in --admin or --host")

// adminClient calls the administration API.
type adminClient struct {
	baseURL string
	token   string
	http    *http.Client
}

// addAdminFlags adds the flags of an administration client to a command.
func addAdminFlags(c *cobra.Command) {
	c.PersistentFlags().String("admin", os.Getenv(adminAddressEnv), "administration API of any host, as http://ip:port")
	c.PersistentFlags().String("ca", os.Getenv(caFileEnv), "file with the authority of the host's certificate, in PEM form")
	c.PersistentFlags().String("token", "", "operator token; MASTICSCALE_TOKEN where not given")
	c.PersistentFlags().StringP("output", "o", "table", "form of the output: table or json")
}

func newAdminClient(c *cobra.Command) (*adminClient, error) {
	base, _ := c.Flags().GetString("admin")
	token, _ := c.Flags().GetString("token")
	if token == "" {
		token = os.Getenv(tokenEnv)
	}
	if base == "" {
		return nil, errors.Wrapf(errUsage, "no host given; pass --admin http://ip:port or set %s", adminAddressEnv)
	}
	caFile, _ := c.Flags().GetString("ca")
	transport, err := newTransport(caFile)
	if err != nil {
		return nil, err
	}
	return &adminClient{baseURL: strings.TrimRight(base, "/"), token: token, http: &http.Client{Transport: transport}}, nil
}

// newTransport returns an HTTP transport. If caFile is set, the transport trusts
// the authority in that file instead of those of the system.
func newTransport(caFile string) (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if caFile == "" {
		return transport, nil
	}
	pool, err := certs.ReadCAPool(caFile)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return transport, nil
}

// callJSON sends one request and decodes the response into out.
func (c *adminClient) callJSON(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminRequestTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
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
		return decodeAdminError(resp)
	}
	if out == nil {
		return nil
	}
	return decodeJSON(resp.Body, out)
}

func decodeJSON(r io.Reader, out any) error {
	if err := json.NewDecoder(r).Decode(out); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

func decodeAdminError(resp *http.Response) error {
	var e admin.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || e.Kind == "" {
		return errors.Errorf("the host responded with status %s", resp.Status)
	}
	return &apierr.Error{Kind: e.Kind, Message: e.Message, Remedy: e.Remedy, Execution: e.Execution}
}
