package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/load"
)

func newLoadCommand() *cobra.Command {
	var resultsFile, reportFile string
	var seed uint64
	c := &cobra.Command{
		Use:   "load PLAN.jsonc",
		Short: "Send open-loop load to hosts and report what callers saw",
		Long: `Send open-loop load to hosts and report what callers saw.

A plan names the hosts, the time, and for each team its key, model and rate:

  {
    "hosts": ["http://127.0.0.1:8001"], "seconds": 20, "seed": 1,
    "teams": [{"name": "forecourt", "key": "msk-...", "model": "aires-lm", "rate": 40,
               "bursts": [{"at_seconds": 5, "for_seconds": 3, "factor": 10}]}],
    "batch": {"key": "msk-...", "model": "aires-lm", "items": 2000}
  }

Requests start when the plan says, and latency counts from there.`,
		Args: exactArgs("PLAN.jsonc"),
		RunE: func(c *cobra.Command, args []string) error {
			plan, err := load.ReadPlan(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				plan.Seed = seed
			}
			r, err := load.Run(c.Context(), plan, loadProgress(c))
			if err != nil {
				return err
			}
			if err := writeLoadResult(r, resultsFile, reportFile); err != nil {
				return err
			}
			return printLoadResult(c, r)
		},
	}
	c.Flags().StringVar(&resultsFile, "results", "", "file for the results, as JSON")
	c.Flags().StringVar(&reportFile, "report", "", "file for the report, as an HTML page with plots")
	c.Flags().Uint64Var(&seed, "seed", 0, "seed of the arrivals, in place of the plan's")
	c.Flags().StringP("output", "o", "table", "form of the output: table or json")
	c.AddCommand(newLoadCompareCommand(), newLoadExperimentCommand())
	return c
}

// loadProgress returns a function that prints a progress line, or nil if stderr
// is not a terminal.
func loadProgress(c *cobra.Command) load.Progress {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(elapsed time.Duration, started, ended int) {
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "\r%3.0f s  %d started  %d ended ", elapsed.Seconds(), started, ended)
	}
}

func writeLoadResult(r *load.Result, resultsFile, reportFile string) error {
	if resultsFile != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		if err := os.WriteFile(resultsFile, append(data, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	if reportFile == "" {
		return nil
	}
	f, err := os.Create(reportFile)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := r.WriteReport(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func printLoadResult(c *cobra.Command, r *load.Result) error {
	t := table{header: []string{"TEAM", "OFFERED", "ANSWERED", "REFUSED", "FAILED", "TRUNCATED", "MISORDERED", "CUT", "FIRST P50", "FIRST P99", "GAP P95", "TOTAL P99"}}
	for _, row := range append(append([]load.TeamResult{}, r.Teams...), r.All) {
		t.addRow(row.Name, row.Offered, row.Outcomes[load.Answered], row.Outcomes[load.Refused], row.Outcomes[load.Failed],
			row.Outcomes[load.Truncated], row.Outcomes[load.Misordered], row.Outcomes[load.Cut], formatMillis(row.First.P50), formatMillis(row.First.P99), formatMillis(row.Gap.P95), formatMillis(row.Total.P99))
	}
	if b := r.Batch; b != nil {
		t.addRow("(batch)", b.Items, b.Completed, "", b.Failed, "", "", "", "", "", "", fmt.Sprintf("%.1f s", b.Seconds))
	}
	return printResult(c, r, t)
}

func formatMillis(v float64) string { return fmt.Sprintf("%.1f ms", v) }

func newLoadCompareCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "compare BEFORE.json AFTER.json",
		Short: "Compare the results of two runs",
		Args:  exactArgs("BEFORE.json", "AFTER.json"),
		RunE: func(c *cobra.Command, args []string) error {
			var runs [2]load.Result
			for i, path := range args {
				data, err := os.ReadFile(path)
				if err != nil {
					return errors.Wrap(err, "read results")
				}
				if err := json.Unmarshal(data, &runs[i]); err != nil {
					return errors.Wrapf(err, "%s is not a results file", path)
				}
			}
			changes := load.Compare(&runs[0], &runs[1])
			t := table{header: []string{"FIGURE", "BEFORE", "AFTER", "RATIO"}}
			for _, ch := range changes {
				t.addRow(ch.Name, fmt.Sprintf("%.2f", ch.Before), fmt.Sprintf("%.2f", ch.After), fmt.Sprintf("%.3f", ch.Ratio))
			}
			return printResult(c, changes, t)
		},
	}
	c.Flags().StringP("output", "o", "table", "form of the output: table or json")
	return c
}
