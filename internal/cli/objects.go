package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
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

func newTeam() *cobra.Command {
	var spec team.Spec
	add := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a team",
		Args:  exactly("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return create(c, "/admin/v1/teams", args[0], spec)
		},
	}
	add.Flags().Float64Var(&spec.Rate, "rate", 10, "requests a second over the whole fleet")
	add.Flags().IntVar(&spec.Burst, "burst", 20, "requests that may come at once")
	add.Flags().Float64Var(&spec.Weight, "weight", 1, "share of contended capacity")
	list := newList("List the teams", "/admin/v1/teams", []string{"NAME", "RATE", "BURST", "WEIGHT"},
		func(n admin.Named[team.Spec]) []any {
			return []any{n.Name, n.Spec.Rate, n.Spec.Burst, n.Spec.EffectiveWeight()}
		})
	return newNoun("team", "Create, list and delete teams", add, list, newDelete("Delete a team", "/admin/v1/teams"))
}

func newRoute() *cobra.Command {
	var spec route.Spec
	add := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a route to a plain service",
		Args:  exactly("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return create(c, "/admin/v1/routes", args[0], spec)
		},
	}
	f := add.Flags()
	f.StringVar(&spec.Path, "path", "", `path, or a prefix that ends in "/"`)
	f.StringSliceVar(&spec.Methods, "method", nil, "methods; all where not given")
	f.StringVar(&spec.Service, "service", "", "plain service that answers")
	f.BoolVar(&spec.Repeatable, "repeatable", false, "running a request twice does no harm")
	f.BoolVar(&spec.Open, "open", false, "callers need no key")
	list := newList("List the routes", "/admin/v1/routes", []string{"NAME", "PATH", "METHODS", "SERVICE", "REPEATABLE", "OPEN"},
		func(n admin.Named[route.Spec]) []any {
			return []any{n.Name, n.Spec.Path, strings.Join(n.Spec.Methods, ","), n.Spec.Service, n.Spec.Repeatable, n.Spec.Open}
		})
	return newNoun("route", "Create, list and delete routes", add, list, newDelete("Delete a route", "/admin/v1/routes"))
}

func newService() *cobra.Command {
	var file string
	add := &cobra.Command{
		Use:   "create NAME --file service.jsonc",
		Short: "Create a service",
		Args:  exactly("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			spec, err := readSpec[service.Spec](file)
			if err != nil {
				return err
			}
			return create(c, "/admin/v1/services", args[0], spec)
		},
	}
	add.Flags().StringVar(&file, "file", "", "the service, in JSON with comments")
	list := newList("List the services", "/admin/v1/services", []string{"NAME", "KIND", "MODELS", "UPSTREAMS"},
		func(n admin.Named[service.Spec]) []any {
			return []any{n.Name, n.Spec.Kind, strings.Join(n.Spec.Models, ","), len(n.Spec.Upstreams)}
		})
	return newNoun("service", "Create, list and delete services", add, list, newDelete("Delete a service", "/admin/v1/services"))
}

// readSpec reads an object's spec from a file.
func readSpec[T any](path string) (T, error) {
	var spec T
	doc, err := config.ReadFile(path)
	if err != nil {
		return spec, err
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return spec, err
	}
	return spec, json.Unmarshal(text, &spec)
}

func newUpstream() *cobra.Command {
	list := newList("List the upstreams as one host sees them", "/admin/v1/upstreams",
		[]string{"SERVICE", "NAME", "ADDRESS", "SLOTS", "ONLINE", "BATCH", "REPORTED", "STATE"},
		func(s dispatch.Status) []any {
			return []any{s.Service, s.Name, s.Address, s.Slots, s.Online, s.Batch, s.Reported, s.State}
		})
	return newNoun("upstream", "List upstreams and give them orders", list, newUpstreamOrder(), newUpstreamOrders())
}

func newHost() *cobra.Command {
	list := newList("List the hosts", "/admin/v1/hosts",
		[]string{"NAME", "DATA CENTRE", "STATE", "REACHABLE", "REVISION", "KNOWLEDGE AGE"},
		func(h admin.HostStatus) []any {
			return []any{h.Name, h.DataCentre, h.State, h.Reachable, h.Revision, fmt.Sprintf("%.1fs", h.KnowledgeAgeSeconds)}
		})
	return newNoun("host", "List hosts", list)
}

func newKey() *cobra.Command {
	list := newList("List the keys", "/admin/v1/keys", []string{"ID", "TEAM", "LABEL", "ACTIVE"},
		func(k admin.Key) []any { return []any{k.ID, k.Spec.Team, k.Spec.Label, k.Spec.Active()} })
	return newNoun("key", "Create, list and withdraw keys", newKeyCreate(), newKeyWithdraw(), list)
}

func newKeyCreate() *cobra.Command {
	var req admin.CreateKey
	c := &cobra.Command{
		Use:   "create --team NAME",
		Short: "Create a key; its secret is shown once",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			var made admin.Key
			if err := api.call(c.Context(), http.MethodPost, "/admin/v1/keys", req, &made); err != nil {
				return err
			}
			t := table{header: []string{"SECRET", "ID", "TEAM"}}
			t.add(made.Secret, made.ID, made.Spec.Team)
			return print(c, made, t)
		},
	}
	c.Flags().StringVar(&req.Team, "team", "", "team that the key is for")
	c.Flags().StringVar(&req.Label, "label", "", "what the key is for")
	return c
}

func newKeyWithdraw() *cobra.Command {
	var req admin.WithdrawKey
	c := &cobra.Command{
		Use:   "withdraw ID",
		Short: "Withdraw a key",
		Args:  exactly("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := clientOf(c)
			if err != nil {
				return err
			}
			var k admin.Key
			if err := api.call(c.Context(), http.MethodPost, "/admin/v1/keys/"+url.PathEscape(args[0])+"/withdraw", req, &k); err != nil {
				return err
			}
			t := table{header: []string{"ID", "TEAM", "WITHDRAWN"}}
			t.add(k.ID, k.Spec.Team, k.Spec.Withdrawn.Format(time.RFC3339))
			if len(k.PendingHosts) > 0 {
				_, _ = fmt.Fprintf(c.ErrOrStderr(), "not yet in force on: %s; a host that is cut off takes the key until it is in touch again\n",
					strings.Join(k.PendingHosts, ", "))
			}
			return print(c, k, t)
		},
	}
	c.Flags().BoolVar(&req.CutActive, "cut-active", false, "end requests in progress too")
	return c
}
