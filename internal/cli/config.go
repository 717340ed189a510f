package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/config"
)

const (
	applyWait     = 10 * time.Second
	applyInterval = 100 * time.Millisecond
)

func newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check, render and apply the configuration"}
	addClientFlags(c)
	c.AddCommand(newConfigCheck(), newConfigRender(), newConfigApply(), newConfigShow())
	return c
}

// bundleFlags are the files of a bundle.
type bundleFlags struct {
	base     string
	overlays map[string]string
}

func (b *bundleFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&b.base, "config", "", "base file, in JSON with comments")
	c.Flags().StringToStringVar(&b.overlays, "overlay", nil, "overlay of a site, as SITE=FILE; may be repeated")
}

func (b *bundleFlags) read() (config.Bundle, error) {
	bundle := config.Bundle{Overlays: map[string]map[string]any{}}
	if b.base == "" {
		return bundle, errors.Wrap(errUsage, "no file given; pass --config base.jsonc")
	}
	var err error
	if bundle.Base, err = config.ReadFile(b.base); err != nil {
		return bundle, err
	}
	for site, path := range b.overlays {
		if bundle.Overlays[site], err = config.ReadFile(path); err != nil {
			return bundle, err
		}
	}
	return bundle, nil
}

func newConfigCheck() *cobra.Command {
	var files bundleFlags
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a base file and its overlays, without a host",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			bundle, err := files.read()
			if err != nil {
				return err
			}
			if err := bundle.Check(); err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), "the configuration is valid")
			return err
		},
	}
	files.add(c)
	return c
}

func newConfigRender() *cobra.Command {
	var files bundleFlags
	var site string
	c := &cobra.Command{
		Use:   "render",
		Short: "Print the configuration of one site, without a host",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			bundle, err := files.read()
			if err != nil {
				return err
			}
			doc, err := bundle.Render(site)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(c.OutOrStdout())
			enc.SetIndent("", "  ")
			return enc.Encode(doc)
		},
	}
	files.add(c)
	c.Flags().StringVar(&site, "site", "", "site whose overlay is laid over the base")
	return c
}

func newConfigShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			var r config.Revision
			if err := api.call(c.Context(), http.MethodGet, "/admin/v1/config", nil, &r); err != nil {
				return err
			}
			t := table{header: []string{"REVISION", "AUTHOR", "CREATED", "NOTE"}}
			t.add(r.Number, r.Author, r.Created.Format(time.RFC3339), r.Note)
			return print(c, r, t)
		},
	}
}

func newConfigApply() *cobra.Command {
	var files bundleFlags
	var note string
	var expected int64
	c := &cobra.Command{
		Use:   "apply",
		Short: "Put a configuration in force and wait until every reachable host uses it",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			bundle, err := files.read()
			if err != nil {
				return err
			}
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			req := admin.ApplyConfig{Bundle: bundle, Author: os.Getenv("USER"), Note: note}
			if c.Flags().Changed("expected") {
				req.Expected = &expected
			}
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

// reportApplied waits until the revision is in force and names the hosts on
// which it is not.
func reportApplied(c *cobra.Command, api *client, revision int64) error {
	late, err := waitApplied(c.Context(), api, revision)
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

func waitApplied(ctx context.Context, api *client, revision int64) ([]string, error) {
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
		if len(behind) == 0 || time.Now().After(deadline) {
			return late, nil
		}
		time.Sleep(applyInterval)
	}
}
