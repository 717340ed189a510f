package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/config"
)

func newConfig() *cobra.Command {
	c := newNoun("config", "Check, render, compare and apply the configuration")
	c.AddCommand(newConfigCheck(), newConfigRender(), newConfigDiff(), newConfigApply(), newConfigShow(), newConfigHistory())
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

// read reads and checks the files.
func (b *bundleFlags) read() (config.Bundle, error) {
	if b.base == "" {
		return config.Bundle{}, errors.Wrap(errUsage, "no file given; pass --config base.jsonc")
	}
	files, err := config.ReadFiles(b.base, b.overlays)
	if err != nil {
		return config.Bundle{}, err
	}
	return files.Bundle(), files.Validate()
}

// readUnchecked reads files that need not be valid, to compare with.
func (b *bundleFlags) readUnchecked() (config.Bundle, error) {
	files, err := config.ReadFiles(b.base, b.overlays)
	if err != nil {
		return config.Bundle{}, err
	}
	return files.Bundle(), nil
}

func newConfigCheck() *cobra.Command {
	var files bundleFlags
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a base file and its overlays, without a host",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := files.read(); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "the configuration is valid")
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
