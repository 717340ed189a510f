// Package cli is the command line: the entry host, its stand-ins, and the
// operator's commands, which are clients of the administration API.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/apierr"
)

// The exit codes of every command.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// errUsage marks errors of the command's words.
var errUsage = errors.New("usage")

// Main runs the command line and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "error:", describe(err))
	return exitCode(err)
}

// describe leaves out the mark of wrong usage, which the exit code tells.
func describe(err error) string {
	return strings.TrimSuffix(err.Error(), ": "+errUsage.Error())
}

func exitCode(err error) int {
	var e *apierr.Error
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errUnreachable):
		return exitUnreachable
	case errors.As(err, &e) && e.Kind == apierr.Conflict:
		return exitConflict
	case errors.As(err, &e) && e.Kind == apierr.Unavailable:
		return exitUnreachable
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "masticscale",
		Short: "Serve language models and plain services, online and batch, on one fleet",
		Long: `masticscale serves language models and plain services, online and batch, on one fleet.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another operator,
4 host or platform unreachable.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return errors.Wrapf(errUsage, "%v; see '%s --help'", err, c.CommandPath())
	})
	root.AddCommand(newServe(), newEmulate(), newConfig(), newTeam(), newKey(), newRoute(), newService(),
		newUpstream(), newHost(), newJob(), newFleet(), newExplain(), newLoad(), newDemo(), newVersion())
	refuseUnknown(root)
	return root
}

// refuseUnknown makes a word that names no command wrong usage, at every level.
func refuseUnknown(c *cobra.Command) {
	for _, child := range c.Commands() {
		refuseUnknown(child)
	}
	if c.Runnable() {
		return
	}
	c.Args = cobra.ArbitraryArgs
	c.SuggestionsMinimumDistance = suggestionDistance
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return c.Help()
		}
		hint := ""
		if near := c.SuggestionsFor(args[0]); len(near) > 0 {
			hint = "; did you mean " + strings.Join(near, " or ") + "?"
		}
		return errors.Wrapf(errUsage, "%q is no command of '%s'%s; see '%s --help'", args[0], c.CommandPath(), hint, c.CommandPath())
	}
}

const suggestionDistance = 2

// exactly checks the number of arguments and names what is expected.
func exactly(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return errors.Wrapf(errUsage, "%s takes %d arguments %v, got %d", c.CommandPath(), len(names), names, len(args))
		}
		return nil
	}
}
