package cli

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/explain"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID LOGFILE...",
		Short: "Show from the logs of hosts what happened to a request, item or job, and why",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []explain.Line
			for _, path := range args[1:] {
				found, err := findInFile(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return errors.Errorf("no log line has the id %q; check the id, and pass the logs of all hosts for that time", args[0])
			}
			explain.Sort(lines)
			for _, l := range lines {
				c.Println(l)
			}
			if cause := explain.Cause(lines); cause != "" {
				c.Println("cause:", cause)
			}
			return nil
		},
	}
}

func findInFile(path, id string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	return explain.Find(file, id)
}
