package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/config"
)

const (
	applyTimeout      = 10 * time.Second
	applyPollInterval = 100 * time.Millisecond
)

func newConfigApplyCommand() *cobra.Command {
	var files bundleFlags
	var note string
	var expected int64
	c := &cobra.Command{
		Use:   "apply --config base.jsonc [--overlay SITE=FILE]...",
		Short: "Put a configuration in force and wait until every reachable host uses it",
		Long: `Put a configuration in force and wait until every reachable host uses it.

The change is refused with exit code 3 when another operator's revision was
accepted after the one that this command replaces: the one given with --expected,
else the one in force when the command began. Hosts on which it is not in force
yet are named.`,
		Example: `  masticscale config diff --config base.jsonc --overlay north=north.jsonc
  masticscale config apply --config base.jsonc --overlay north=north.jsonc --note "raise forecourt"`,
		Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			bundle, err := files.readChecked()
			if err != nil {
				return err
			}
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			if !c.Flags().Changed("expected") {
				if expected, err = revisionNumberInForce(c.Context(), api); err != nil {
					return err
				}
			}
			req := admin.ApplyConfig{Bundle: bundle.WithoutSecrets(), Author: os.Getenv("USER"), Note: note, Expected: &expected}
			var accepted config.Revision
			if err := api.callJSON(c.Context(), http.MethodPost, "/admin/v1/config", req, &accepted); err != nil {
				return err
			}
			return waitAndReport(c, api, accepted.Number)
		},
	}
	files.addFlags(c)
	c.Flags().StringVar(&note, "note", "", "what the change is for")
	c.Flags().Int64Var(&expected, "expected", 0, "refuse unless this revision is in force")
	return c
}

// getRevisionInForce returns the revision in force, or an empty one if there is
// none yet.
func getRevisionInForce(ctx context.Context, api *adminClient) (config.Revision, error) {
	var r config.Revision
	err := api.callJSON(ctx, http.MethodGet, "/admin/v1/config", nil, &r)
	if apierr.IsKind(err, apierr.NotFound) {
		return config.Revision{}, nil
	}
	return r, err
}

func revisionNumberInForce(ctx context.Context, api *adminClient) (int64, error) {
	r, err := getRevisionInForce(ctx, api)
	return r.Number, err
}

// waitAndReport waits until every reachable host uses the revision or the wait
// times out, and prints the hosts that do not use it yet.
func waitAndReport(c *cobra.Command, api *adminClient, revision int64) error {
	pending, err := waitInForce(c.Context(), api, revision, newProgressLine(c.ErrOrStderr()))
	if err != nil {
		return err
	}
	if len(pending) == 0 {
		_, err = fmt.Fprintf(c.OutOrStdout(), "revision %d is in force on every reachable host\n", revision)
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "revision %d is accepted; not yet in force on: %s\n", revision, strings.Join(pending, ", "))
	return err
}

// newProgressLine returns a function that overwrites a progress line on w. If w
// is not a terminal, the function prints nothing.
func newProgressLine(w io.Writer) func(format string, args ...any) {
	f, isFile := w.(*os.File)
	if !isFile {
		return func(string, ...any) {}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(string, ...any) {}
	}
	return func(format string, args ...any) {
		_, _ = fmt.Fprintf(f, "\r\033[K"+format, args...)
	}
}

// waitInForce polls the hosts until every reachable one uses the revision or
// applyTimeout has passed. It returns the hosts that do not use it yet, including
// unreachable ones.
func waitInForce(ctx context.Context, api *adminClient, revision int64, showProgress func(string, ...any)) ([]string, error) {
	deadline := time.Now().Add(applyTimeout)
	for {
		var hosts admin.List[admin.HostStatus]
		if err := api.callJSON(ctx, http.MethodGet, "/admin/v1/hosts", nil, &hosts); err != nil {
			return nil, err
		}
		var pending, reachablePending []string
		for _, h := range hosts.Items {
			if h.Revision < revision {
				pending = append(pending, h.Name)
			}
			if h.Reachable && h.Revision < revision {
				reachablePending = append(reachablePending, h.Name)
			}
		}
		showProgress("revision %d: in force on %d of %d hosts", revision, len(hosts.Items)-len(pending), len(hosts.Items))
		if len(reachablePending) == 0 || time.Now().After(deadline) {
			showProgress("")
			return pending, nil
		}
		if err := sleep(ctx, applyPollInterval); err != nil {
			return nil, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
