package cli

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/upstream"
)

func newUpstreamCommand() *cobra.Command {
	list := newListCommand("List the upstreams as one host sees them", "/admin/v1/upstreams",
		[]string{"SERVICE", "NAME", "ADDRESS", "SLOTS", "ONLINE", "BATCH", "REPORTED", "STATE"},
		func(s dispatch.Status) []any {
			return []any{s.Service, s.Name, s.Address, s.Slots, s.Online, s.Batch, s.Reported, s.State}
		})
	return newAdminCommand("upstream", "List, add and remove upstreams, and give them orders",
		list, newUpstreamAddCommand(), newUpstreamRemoveCommand(), newUpstreamOrderCommand(), newUpstreamOrdersCommand())
}

func newHostCommand() *cobra.Command {
	list := newListCommand("List the hosts", "/admin/v1/hosts",
		[]string{"NAME", "DATA CENTRE", "STATE", "REACHABLE", "REVISION", "KNOWLEDGE AGE"},
		func(h admin.HostStatus) []any {
			return []any{h.Name, h.DataCentre, h.State, h.Reachable, h.Revision, fmt.Sprintf("%.1fs", h.KnowledgeAgeSeconds)}
		})
	return newAdminCommand("host", "List and retire hosts, and make certificates", list, newHostRetireCommand(), newHostCertificateCommand(), newHostLogLevelCommand())
}

func newUpstreamAddCommand() *cobra.Command {
	var spec upstream.Spec
	c := &cobra.Command{
		Use:     "add SERVICE NAME --address URL",
		Short:   "Add an upstream to a service",
		Example: "  masticscale upstream add aires-lm e7 --address http://10.0.1.7:8000 --data-centre north-1",
		Args:    exactArgs("SERVICE", "NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return updateObject(c, "/admin/v1/services", args[0], func(s *service.Spec) error {
				if _, exists := s.Upstreams[args[1]]; exists {
					return apierr.Newf(apierr.Conflict, "choose another name, or remove it first", "upstream %q exists already", args[1])
				}
				if s.Upstreams == nil {
					s.Upstreams = map[string]upstream.Spec{}
				}
				s.Upstreams[args[1]] = spec
				return nil
			})
		},
	}
	f := c.Flags()
	f.StringVar(&spec.Address, "address", "", "base URL, as http://ip:port")
	f.StringVar(&spec.DataCentre, "data-centre", "", "data centre in which it stands")
	f.IntVar(&spec.Slots, "slots", 0, "requests at once; 0 is the default")
	f.BoolVar(&spec.ChecksFencing, "checks-fencing", false, "it refuses orders with an old fencing number")
	return c
}

func newUpstreamRemoveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove SERVICE NAME",
		Short: "Remove an upstream from a service; what runs there ends normally",
		Args:  exactArgs("SERVICE", "NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return updateObject(c, "/admin/v1/services", args[0], func(s *service.Spec) error {
				if _, exists := s.Upstreams[args[1]]; !exists {
					return apierr.Newf(apierr.NotFound, "see 'upstream list'", "service %q has no upstream %q", args[0], args[1])
				}
				delete(s.Upstreams, args[1])
				return nil
			})
		},
	}
}

func newHostRetireCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "retire NAME",
		Short: "Forget a host that is gone for good, so that nothing waits for it",
		Args:  exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			if err := api.callJSON(c.Context(), http.MethodPost, "/admin/v1/hosts/"+url.PathEscape(args[0])+"/retire", nil, nil); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "retired %s\n", args[0])
			return err
		},
	}
}

func newHostLogLevelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "log-level LEVEL",
		Short: "Set the log level of the host that --admin names: debug, info, warning or error",
		Args:  exactArgs("LEVEL"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			level := admin.LogLevel{Level: args[0]}
			if err := api.callJSON(c.Context(), http.MethodPut, "/admin/v1/log-level", level, &level); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "log level is %s\n", level.Level)
			return err
		},
	}
}
