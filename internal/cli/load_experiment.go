package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/experiment/capacity"
)

func newLoadExperimentCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "experiment",
		Short: "Measure what decides the design",
	}
	c.AddCommand(newExperimentCapacityCommand())
	return c
}

func newExperimentCapacityCommand() *cobra.Command {
	options := capacity.DefaultOptions()
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the slopes of docs/CAPACITY.md, in about two minutes",
		Long: `Measure the slopes of docs/CAPACITY.md: control traffic, platform calls and
processor time of idle hosts against the size of the fleet, and the memory of the
catalog against the number of teams. Hosts and the platform's stand-in run in this
process, so the processor time a host includes its part of the stand-in's.`,
		Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			progress := func(format string, args ...any) { _, _ = fmt.Fprintf(c.ErrOrStderr(), format+"\n", args...) }
			all, err := capacity.Measure(c.Context(), options, progress)
			if err != nil {
				return err
			}
			return capacity.WriteMarkdown(c.OutOrStdout(), all, capacity.TargetSizes())
		},
	}
	c.Flags().IntSliceVar(&options.Hosts, "hosts", options.Hosts, "sizes of the fleet")
	c.Flags().IntSliceVar(&options.Teams, "teams", options.Teams, "sizes of the catalog")
	c.Flags().DurationVar(&options.Observe, "observe", options.Observe, "time that each fleet is observed")
	return c
}
