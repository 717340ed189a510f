package cli

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

func newTeamCommand() *cobra.Command {
	var spec team.Spec
	create := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a team",
		Args:  exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return createObject(c, "/admin/v1/teams", args[0], spec)
		},
	}
	create.Flags().Float64Var(&spec.Rate, "rate", 10, "requests a second over the whole fleet")
	create.Flags().IntVar(&spec.Burst, "burst", 20, "requests that may come at once")
	create.Flags().Float64Var(&spec.Weight, "weight", 1, "share of contended capacity")
	list := newListCommand("List the teams", "/admin/v1/teams", []string{"NAME", "RATE", "BURST", "WEIGHT"},
		func(n admin.Named[team.Spec]) []any {
			return []any{n.Name, n.Spec.Rate, n.Spec.Burst, n.Spec.EffectiveWeight()}
		})
	return newAdminCommand("team", "Create, change, list and delete teams",
		create, newTeamUpdateCommand(), list, newTeamJobsCommand(), newDeleteCommand("Delete a team", "/admin/v1/teams"))
}

func newTeamUpdateCommand() *cobra.Command {
	var flags team.Spec
	c := &cobra.Command{
		Use:     "update NAME [--rate N] [--burst N] [--weight N]",
		Short:   "Change a team; what is not given stays",
		Example: "  masticscale team update forecourt --rate 80",
		Args:    exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return updateObject(c, "/admin/v1/teams", args[0], func(s *team.Spec) error {
				if c.Flags().Changed("rate") {
					s.Rate = flags.Rate
				}
				if c.Flags().Changed("burst") {
					s.Burst = flags.Burst
				}
				if c.Flags().Changed("weight") {
					s.Weight = flags.Weight
				}
				return nil
			})
		},
	}
	c.Flags().Float64Var(&flags.Rate, "rate", 0, "requests a second over the whole fleet")
	c.Flags().IntVar(&flags.Burst, "burst", 0, "requests that may come at once")
	c.Flags().Float64Var(&flags.Weight, "weight", 0, "share of contended capacity")
	return c
}

func newTeamJobsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "jobs [NAME]",
		Short: "List the batch jobs of a team, or of all teams",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			path := "/admin/v1/jobs"
			if len(args) == 1 {
				path += "?team=" + url.QueryEscape(args[0])
			}
			var jobs admin.List[job.Job]
			if err := api.callJSON(c.Context(), http.MethodGet, path, nil, &jobs); err != nil {
				return err
			}
			t := table{header: []string{"TEAM", "ID", "STATE", "DONE", "TOTAL", "DUE"}}
			for _, j := range jobs.Items {
				t.addRow(j.Team, j.ID, j.State, j.Counts.Completed+j.Counts.Failed+j.Counts.Cancelled, j.Counts.Total, j.Deadline.Format(time.RFC3339))
			}
			return printResult(c, jobs, t)
		},
	}
}

func newRouteCommand() *cobra.Command {
	var spec route.Spec
	create := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a route to a plain service",
		Args:  exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			if spec.Path == "" || spec.Service == "" {
				return errors.Wrap(errUsage, "a route needs --path and --service")
			}
			return createObject(c, "/admin/v1/routes", args[0], spec)
		},
	}
	f := create.Flags()
	f.StringVar(&spec.Path, "path", "", `path, or a prefix that ends in "/"`)
	f.StringSliceVar(&spec.Methods, "method", nil, "methods; all where not given")
	f.StringVar(&spec.Service, "service", "", "plain service that answers")
	f.BoolVar(&spec.Repeatable, "repeatable", false, "running a request twice does no harm")
	f.BoolVar(&spec.Open, "open", false, "callers need no key")
	list := newListCommand("List the routes", "/admin/v1/routes", []string{"NAME", "PATH", "METHODS", "SERVICE", "REPEATABLE", "OPEN"},
		func(n admin.Named[route.Spec]) []any {
			return []any{n.Name, n.Spec.Path, strings.Join(n.Spec.Methods, ","), n.Spec.Service, n.Spec.Repeatable, n.Spec.Open}
		})
	return newAdminCommand("route", "Create, list and delete routes", create, list, newDeleteCommand("Delete a route", "/admin/v1/routes"))
}

func newServiceCommand() *cobra.Command {
	var file string
	create := &cobra.Command{
		Use:   "create NAME --file service.jsonc",
		Short: "Create a service",
		Args:  exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			spec, err := readSpec[service.Spec](file)
			if err != nil {
				return err
			}
			return createObject(c, "/admin/v1/services", args[0], spec)
		},
	}
	create.Flags().StringVar(&file, "file", "", "the service, in JSON with comments")
	list := newListCommand("List the services", "/admin/v1/services", []string{"NAME", "KIND", "MODELS", "UPSTREAMS"},
		func(n admin.Named[service.Spec]) []any {
			return []any{n.Name, n.Spec.Kind, strings.Join(n.Spec.Models, ","), len(n.Spec.Upstreams)}
		})
	return newAdminCommand("service", "Create, change, list and delete services",
		create, newServiceUpdateCommand(), list, newDeleteCommand("Delete a service", "/admin/v1/services"))
}

func newServiceUpdateCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "update NAME --file service.jsonc",
		Short: "Replace a service by what the file holds",
		Args:  exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			spec, err := readSpec[service.Spec](file)
			if err != nil {
				return err
			}
			return updateObject(c, "/admin/v1/services", args[0], func(s *service.Spec) error {
				*s = spec
				return nil
			})
		},
	}
	c.Flags().StringVar(&file, "file", "", "the service, in JSON with comments")
	return c
}
