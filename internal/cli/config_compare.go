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

func newConfigDiff() *cobra.Command {
	var files, against bundleFlags
	c := &cobra.Command{
		Use:   "diff --config base.jsonc [--overlay SITE=FILE]... [--against old.jsonc]",
		Short: "Show what differs from the configuration in force, or from other files",
		Long: `Show what differs from the configuration in force. With --against, compare with
other files instead; no host is asked then.`,
		Args: exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			after, err := files.read()
			if err != nil {
				return err
			}
			before, err := bundleBefore(c, against)
			if err != nil {
				return err
			}
			return printChanges(c, before.WithoutSecrets().Changes(after.WithoutSecrets()))
		},
	}
	files.add(c)
	c.Flags().StringVar(&against.base, "against", "", "base file to compare with")
	c.Flags().StringToStringVar(&against.overlays, "against-overlay", nil, "overlay to compare with, as SITE=FILE")
	return c
}

func bundleBefore(c *cobra.Command, against bundleFlags) (config.Bundle, error) {
	if against.base != "" {
		return against.readUnchecked()
	}
	api, err := clientOf(c)
	if err != nil {
		return config.Bundle{}, err
	}
	r, err := readInForce(c.Context(), api)
	return r.Bundle, err
}

func printChanges(c *cobra.Command, changes []config.Change) error {
	t := table{header: []string{"PATH", "BEFORE", "AFTER"}}
	for _, change := range changes {
		t.add(change.Path, compact(change.Before), compact(change.After))
	}
	return print(c, admin.List[config.Change]{Items: changes}, t)
}

// compact writes a value on one line; "-" stands for none.
func compact(v any) string {
	if v == nil {
		return "-"
	}
	text, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	return string(text)
}

func newConfigHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted revisions that are kept, the latest first",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			var list admin.List[catalog.PointerEntry]
			if err := api.call(c.Context(), http.MethodGet, "/admin/v1/config/history", nil, &list); err != nil {
				return err
			}
			t := table{header: []string{"REVISION", "AUTHOR", "CREATED", "NOTE"}}
			for _, e := range list.Items {
				t.add(e.Revision, e.Author, e.Created.Format(time.RFC3339), e.Note)
			}
			return print(c, list, t)
		},
	}
}
