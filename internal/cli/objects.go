package cli

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/config"
)

// newAdminCommand returns a parent command with the flags of an administration
// client.
func newAdminCommand(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short}
	addAdminFlags(c)
	c.AddCommand(subcommands...)
	return c
}

// newListCommand returns a command that lists the objects at an API path.
func newListCommand[T any](short, path string, header []string, row func(T) []any) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: short,
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			var list admin.List[T]
			if err := api.callJSON(c.Context(), http.MethodGet, path, nil, &list); err != nil {
				return err
			}
			t := table{header: header}
			for _, item := range list.Items {
				t.addRow(row(item)...)
			}
			return printResult(c, list, t)
		},
	}
}

// newDeleteCommand returns a command that deletes one object by name.
func newDeleteCommand(short, path string) *cobra.Command {
	return &cobra.Command{
		Use:   "delete NAME",
		Short: short,
		Args:  exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			if err := api.callJSON(c.Context(), http.MethodDelete, path+"/"+url.PathEscape(args[0]), nil, nil); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "deleted %s\n", args[0])
			return err
		},
	}
}

// createObject creates an object and prints its name.
func createObject[T any](c *cobra.Command, path, name string, spec T) error {
	api, err := newAdminClient(c)
	if err != nil {
		return err
	}
	n := admin.Named[T]{Name: name, Spec: spec}
	if err := api.callJSON(c.Context(), http.MethodPost, path, n, &n); err != nil {
		return err
	}
	t := table{header: []string{"NAME"}}
	t.addRow(n.Name)
	return printResult(c, n, t)
}

// readSpec reads the spec of an object from a file.
func readSpec[T any](path string) (T, error) {
	var spec T
	file, err := config.ReadFile(path)
	if err != nil {
		return spec, err
	}
	return config.Decode[T](file)
}

// updateObject reads an object, edits its spec and writes the object back. The
// write fails if another operator has changed the object in the meantime.
func updateObject[T any](c *cobra.Command, path, name string, edit func(*T) error) error {
	api, err := newAdminClient(c)
	if err != nil {
		return err
	}
	objectPath := path + "/" + url.PathEscape(name)
	var n admin.Named[T]
	if err := api.callJSON(c.Context(), http.MethodGet, objectPath, nil, &n); err != nil {
		return err
	}
	if err := edit(&n.Spec); err != nil {
		return err
	}
	if err := api.callJSON(c.Context(), http.MethodPut, objectPath, n, &n); err != nil {
		return err
	}
	t := table{header: []string{"NAME", "VERSION"}}
	t.addRow(n.Name, n.Version)
	return printResult(c, n, t)
}
