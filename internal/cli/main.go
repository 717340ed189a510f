// Package cli implements the masticscale command line. It runs hosts, emulators of
// the systems around them, load tests and the demo, and contains clients of the
// administration API and of the API for callers.
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

// Exit codes of all commands.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// errUsage marks errors in the arguments or flags of a command.
var errUsage = errors.New("usage")

// Main runs the command line and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "error:", errorMessage(err))
	return exitCode(err)
}

// errorMessage returns the text of err without the suffix of errUsage, because
// the exit code already reports wrong usage.
func errorMessage(err error) string {
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

func newRootCommand() *cobra.Command {
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
	root.AddCommand(newServeCommand(), newEmulateCommand(), newConfigCommand(), newTeamCommand(), newKeyCommand(), newRouteCommand(), newServiceCommand(),
		newUpstreamCommand(), newHostCommand(), newJobCommand(), newFleetCommand(), newExplainCommand(), newLoadCommand(), newDemoCommand(), newVersionCommand())
	rejectUnknownCommands(root)
	return root
}

// rejectUnknownCommands makes an unknown subcommand a usage error, for c and all
// commands below it.
func rejectUnknownCommands(c *cobra.Command) {
	for _, child := range c.Commands() {
		rejectUnknownCommands(child)
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
		if suggestions := c.SuggestionsFor(args[0]); len(suggestions) > 0 {
			hint = "; did you mean " + strings.Join(suggestions, " or ") + "?"
		}
		return errors.Wrapf(errUsage, "%q is no command of '%s'%s; see '%s --help'", args[0], c.CommandPath(), hint, c.CommandPath())
	}
}

const suggestionDistance = 2 // maximum edit distance between a typo and a suggestion

// exactArgs checks the number of arguments; its error lists the expected ones.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return errors.Wrapf(errUsage, "%s takes %d arguments %v, got %d", c.CommandPath(), len(names), names, len(args))
		}
		return nil
	}
}
