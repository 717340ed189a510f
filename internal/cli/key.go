package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/admin"
)

func newKeyCommand() *cobra.Command {
	list := newListCommand("List the keys", "/admin/v1/keys", []string{"ID", "TEAM", "LABEL", "ACTIVE"},
		func(k admin.Key) []any { return []any{k.ID, k.Spec.Team, k.Spec.Label, k.Spec.Active()} })
	return newAdminCommand("key", "Create, list and withdraw keys", newKeyCreateCommand(), newKeyWithdrawCommand(), list)
}

func newKeyCreateCommand() *cobra.Command {
	var req admin.CreateKey
	c := &cobra.Command{
		Use:   "create --team NAME",
		Short: "Create a key; its secret is shown once",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			var created admin.Key
			if err := api.callJSON(c.Context(), http.MethodPost, "/admin/v1/keys", req, &created); err != nil {
				return err
			}
			t := table{header: []string{"SECRET", "ID", "TEAM"}}
			t.addRow(created.Secret, created.ID, created.Spec.Team)
			return printResult(c, created, t)
		},
	}
	c.Flags().StringVar(&req.Team, "team", "", "team that the key is for")
	c.Flags().StringVar(&req.Label, "label", "", "what the key is for")
	return c
}

func newKeyWithdrawCommand() *cobra.Command {
	var req admin.WithdrawKey
	c := &cobra.Command{
		Use:   "withdraw ID",
		Short: "Withdraw a key",
		Args:  exactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newAdminClient(c)
			if err != nil {
				return err
			}
			var k admin.Key
			if err := api.callJSON(c.Context(), http.MethodPost, "/admin/v1/keys/"+url.PathEscape(args[0])+"/withdraw", req, &k); err != nil {
				return err
			}
			t := table{header: []string{"ID", "TEAM", "WITHDRAWN"}}
			t.addRow(k.ID, k.Spec.Team, k.Spec.Withdrawn.Format(time.RFC3339))
			if len(k.PendingHosts) > 0 {
				_, _ = fmt.Fprintf(c.ErrOrStderr(), "not yet in force on: %s; a host that is cut off takes the key until it is in touch again\n",
					strings.Join(k.PendingHosts, ", "))
			}
			return printResult(c, k, t)
		},
	}
	c.Flags().BoolVar(&req.CutActive, "cut-active", false, "end requests in progress too")
	return c
}
