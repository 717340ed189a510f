package cli

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/certs"
)

func newHostCertificateCommand() *cobra.Command {
	var dir string
	var addresses []net.IP
	c := &cobra.Command{
		Use:   "certificate NAME --dir FOLDER --ip ADDRESS...",
		Short: "Make a development authority and a certificate that it signs",
		Long: `Make a development authority, ca.pem, where the folder has none, and a certificate
NAME.pem with its key NAME-key.pem. It serves for callers, operators and peers.
Use your own authority in production.`,
		Example: "  masticscale host certificate h1 --dir certs --ip 10.0.0.1",
		Args:    exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			if len(addresses) == 0 {
				return errors.Wrap(errUsage, "no address given; pass --ip for each address of the host")
			}
			authority, err := certs.OpenAuthority(dir)
			if err != nil {
				return err
			}
			if err := authority.Issue(args[0], addresses); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "wrote %s.pem and %s-key.pem in %s; the authority is ca.pem\n", args[0], args[0], dir)
			return err
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "folder of the authority and its certificates")
	c.Flags().IPSliceVar(&addresses, "ip", nil, "address of the host; may be repeated")
	return c
}
