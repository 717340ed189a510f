package cli

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/config"
)

// newNoun returns a command with the flags of a client.
func newNoun(use, short string, verbs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short}
	addClientFlags(c)
	c.AddCommand(verbs...)
	return c
}

// newList returns a command that prints the objects at a path.
func newList[T any](short, path string, header []string, row func(T) []any) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: short,
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			var list admin.List[T]
			if err := api.call(c.Context(), http.MethodGet, path, nil, &list); err != nil {
				return err
			}
			t := table{header: header}
			for _, item := range list.Items {
				t.add(row(item)...)
			}
			return print(c, list, t)
		},
	}
}

// newDelete returns a command that deletes the object of a name.
func newDelete(short, path string) *cobra.Command {
	return &cobra.Command{
		Use:   "delete NAME",
		Short: short,
		Args:  exactly("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			if err := api.call(c.Context(), http.MethodDelete, path+"/"+url.PathEscape(args[0]), nil, nil); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "deleted %s\n", args[0])
			return err
		},
	}
}

// create sends a new object.
func create[T any](c *cobra.Command, path, name string, spec T) error {
	api, err := clientOf(c)
	if err != nil {
		return err
	}
	n := admin.Named[T]{Name: name, Spec: spec}
	if err := api.call(c.Context(), http.MethodPost, path, n, &n); err != nil {
		return err
	}
	t := table{header: []string{"NAME"}}
	t.add(n.Name)
	return print(c, n, t)
}

// readSpec reads an object's spec from a file.
func readSpec[T any](path string) (T, error) {
	var spec T
	file, err := config.ReadFile(path)
	if err != nil {
		return spec, err
	}
	return config.Decode[T](file)
}

// change reads an object, edits it and writes it, unless another operator has
// changed it in between.
func change[T any](c *cobra.Command, path, name string, edit func(*T) error) error {
	api, err := clientOf(c)
	if err != nil {
		return err
	}
	target := path + "/" + url.PathEscape(name)
	var n admin.Named[T]
	if err := api.call(c.Context(), http.MethodGet, target, nil, &n); err != nil {
		return err
	}
	if err := edit(&n.Spec); err != nil {
		return err
	}
	if err := api.call(c.Context(), http.MethodPut, target, n, &n); err != nil {
		return err
	}
	t := table{header: []string{"NAME", "VERSION"}}
	t.add(n.Name, n.Version)
	return print(c, n, t)
}
