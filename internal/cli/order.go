package cli

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/order"
)

var orderHeader = []string{"SERVICE", "UPSTREAM", "MODEL", "ADAPTER", "VERSION", "ROLE", "STATE"}

func orderRow(o order.Order) []any {
	return []any{o.Service, o.Upstream, o.Desired.Model, o.Desired.Adapter, o.Desired.Version, o.Desired.Role, orderState(o)}
}

func orderState(o order.Order) string {
	switch {
	case o.Applied == o.Generation:
		return "done"
	case o.Rejected == o.Generation:
		return "refused: " + o.Failure
	case o.Sending != nil:
		return "sent by " + o.Sending.Owner.Host
	default:
		return "pending"
	}
}

func newUpstreamOrderCommand() *cobra.Command {
	var req admin.CreateOrder
	c := &cobra.Command{
		Use:   "order SERVICE UPSTREAM",
		Short: "Order an upstream to load a model, adapter or version, or to change role",
		Args:  exactArgs("SERVICE", "UPSTREAM"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			req.Service, req.Upstream = args[0], args[1]
			var o order.Order
			if err := api.callJSON(c.Context(), http.MethodPost, "/admin/v1/orders", req, &o); err != nil {
				return err
			}
			t := table{header: orderHeader}
			t.addRow(orderRow(o)...)
			return printResult(c, o, t)
		},
	}
	f := c.Flags()
	f.StringVar(&req.Desired.Model, "model", "", "model to load")
	f.StringVar(&req.Desired.Adapter, "adapter", "", "adapter to load")
	f.StringVar(&req.Desired.Version, "version", "", "version to run")
	f.StringVar(&req.Desired.Role, "role", "", "role to take")
	return c
}

func newUpstreamOrdersCommand() *cobra.Command {
	c := newListCommand("List the orders to upstreams and how they ended", "/admin/v1/orders", orderHeader, orderRow)
	c.Use = "orders"
	return c
}
