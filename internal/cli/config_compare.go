package cli

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
)

func newConfigDiffCommand() *cobra.Command {
	var files, against bundleFlags
	c := &cobra.Command{
		Use:   "diff --config base.jsonc [--overlay SITE=FILE]... [--against old.jsonc]",
		Short: "Show what differs from the configuration in force, or from other files",
		Long: `Show what differs from the configuration in force. With --against, compare with
other files instead; no host is asked then.`,
		Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			after, err := files.readChecked()
			if err != nil {
				return err
			}
			before, err := baselineBundle(c, against)
			if err != nil {
				return err
			}
			return printChanges(c, before.WithoutSecrets().Changes(after.WithoutSecrets()))
		},
	}
	files.addFlags(c)
	c.Flags().StringVar(&against.base, "against", "", "base file to compare with")
	c.Flags().StringToStringVar(&against.overlays, "against-overlay", nil, "overlay to compare with, as SITE=FILE")
	return c
}

// baselineBundle returns the bundle to compare with: that of the files in
// against, or else that of the revision in force.
func baselineBundle(c *cobra.Command, against bundleFlags) (config.Bundle, error) {
	if against.base != "" {
		return against.readUnchecked()
	}
	api, err := newAdminClient(c)
	if err != nil {
		return config.Bundle{}, err
	}
	r, err := getRevisionInForce(c.Context(), api)
	return r.Bundle, err
}

func printChanges(c *cobra.Command, changes []config.Change) error {
	t := table{header: []string{"PATH", "BEFORE", "AFTER"}}
	for _, change := range changes {
		t.addRow(change.Path, compactJSON(change.Before), compactJSON(change.After))
	}
	return printResult(c, admin.List[config.Change]{Items: changes}, t)
}

// compactJSON encodes a value as JSON on one line, or returns "-" for nil.
func compactJSON(v any) string {
	if v == nil {
		return "-"
	}
	data, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	return string(data)
}

func newConfigHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted revisions that are kept, the latest first",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			var list admin.List[catalog.PointerEntry]
			if err := api.callJSON(c.Context(), http.MethodGet, "/admin/v1/config/history", nil, &list); err != nil {
				return err
			}
			t := table{header: []string{"REVISION", "AUTHOR", "CREATED", "NOTE"}}
			for _, e := range list.Items {
				t.addRow(e.Revision, e.Author, e.Created.Format(time.RFC3339), e.Note)
			}
			return printResult(c, list, t)
		},
	}
}
