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
