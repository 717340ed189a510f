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

func newConfigCommand() *cobra.Command {
	c := newAdminCommand("config", "Check, render, compare and apply the configuration")
	c.AddCommand(newConfigCheckCommand(), newConfigRenderCommand(), newConfigDiffCommand(), newConfigApplyCommand(), newConfigShowCommand(), newConfigHistoryCommand())
	return c
}

// bundleFlags holds the flags that name the files of a configuration bundle.
type bundleFlags struct {
	base     string
	overlays map[string]string
}

func (b *bundleFlags) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&b.base, "config", "", "base file, in JSON with comments")
	c.Flags().StringToStringVar(&b.overlays, "overlay", nil, "overlay of a site, as SITE=FILE; may be repeated")
}

// readChecked reads the files and returns an error if they are not valid.
func (b *bundleFlags) readChecked() (config.Bundle, error) {
	if b.base == "" {
		return config.Bundle{}, errors.Wrap(errUsage, "no file given; pass --config base.jsonc")
	}
	files, err := config.ReadFiles(b.base, b.overlays)
	if err != nil {
		return config.Bundle{}, err
	}
	return files.Bundle(), files.Validate()
}

// readUnchecked reads files that only serve as the old side of a comparison and
// need not be valid.
func (b *bundleFlags) readUnchecked() (config.Bundle, error) {
	files, err := config.ReadFiles(b.base, b.overlays)
	if err != nil {
		return config.Bundle{}, err
	}
	return files.Bundle(), nil
}

func newConfigCheckCommand() *cobra.Command {
	var files bundleFlags
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a base file and its overlays, without a host",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := files.readChecked(); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "the configuration is valid")
			return err
		},
	}
	files.addFlags(c)
	return c
}

func newConfigRenderCommand() *cobra.Command {
	var files bundleFlags
	var site string
	c := &cobra.Command{
		Use:   "render",
		Short: "Print the configuration of one site, without a host",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			bundle, err := files.readChecked()
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
	files.addFlags(c)
	c.Flags().StringVar(&site, "site", "", "site whose overlay is laid over the base")
	return c
}

func newConfigShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			var r config.Revision
			if err := api.callJSON(c.Context(), http.MethodGet, "/admin/v1/config", nil, &r); err != nil {
				return err
			}
			t := table{header: []string{"REVISION", "AUTHOR", "CREATED", "NOTE"}}
			t.addRow(r.Number, r.Author, r.Created.Format(time.RFC3339), r.Note)
			return printResult(c, r, t)
		},
	}
}
