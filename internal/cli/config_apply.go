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
	applyWait     = 10 * time.Second
	applyInterval = 100 * time.Millisecond
)

func newConfigApply() *cobra.Command {
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
		Args: exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			bundle, err := files.read()
			if err != nil {
				return err
			}
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			if !c.Flags().Changed("expected") {
				if expected, err = revisionInForce(c.Context(), api); err != nil {
					return err
				}
			}
			req := admin.ApplyConfig{Bundle: bundle.WithoutSecrets(), Author: os.Getenv("USER"), Note: note, Expected: &expected}
			var accepted config.Revision
			if err := api.call(c.Context(), http.MethodPost, "/admin/v1/config", req, &accepted); err != nil {
				return err
			}
			return reportApplied(c, api, accepted.Number)
		},
	}
	files.add(c)
	c.Flags().StringVar(&note, "note", "", "what the change is for")
	c.Flags().Int64Var(&expected, "expected", 0, "refuse unless this revision is in force")
	return c
}

// readInForce reads the revision in force; one that does not exist is empty.
func readInForce(ctx context.Context, api *client) (config.Revision, error) {
	var r config.Revision
	err := api.call(ctx, http.MethodGet, "/admin/v1/config", nil, &r)
	if apierr.IsKind(err, apierr.NotFound) {
		return config.Revision{}, nil
	}
	return r, err
}

func revisionInForce(ctx context.Context, api *client) (int64, error) {
	r, err := readInForce(ctx, api)
	return r.Number, err
}

// reportApplied waits until the revision is in force and names the hosts on
// which it is not.
func reportApplied(c *cobra.Command, api *client, revision int64) error {
	late, err := waitApplied(c.Context(), api, revision, progress(c.ErrOrStderr()))
	if err != nil {
		return err
	}
	if len(late) == 0 {
		_, err = fmt.Fprintf(c.OutOrStdout(), "revision %d is in force on every reachable host\n", revision)
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "revision %d is accepted; not yet in force on: %s\n", revision, strings.Join(late, ", "))
	return err
}

// progress returns a function that shows a line on a terminal, and nothing
// elsewhere.
func progress(w io.Writer) func(format string, args ...any) {
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

func waitApplied(ctx context.Context, api *client, revision int64, show func(string, ...any)) ([]string, error) {
	deadline := time.Now().Add(applyWait)
	for {
		var hosts admin.List[admin.HostStatus]
		if err := api.call(ctx, http.MethodGet, "/admin/v1/hosts", nil, &hosts); err != nil {
			return nil, err
		}
		var late, behind []string
		for _, h := range hosts.Items {
			if h.Revision < revision {
				late = append(late, h.Name)
			}
			if h.Reachable && h.Revision < revision {
				behind = append(behind, h.Name)
			}
		}
		show("revision %d: in force on %d of %d hosts", revision, len(hosts.Items)-len(late), len(hosts.Items))
		if len(behind) == 0 || time.Now().After(deadline) {
			show("")
			return late, nil
		}
		if err := pause(ctx, applyInterval); err != nil {
			return nil, err
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
