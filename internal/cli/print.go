package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// table is the human-readable form of a result.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// printResult writes a result as a table, or as JSON with --output json.
func printResult(c *cobra.Command, value any, t table) error {
	format, _ := c.Flags().GetString("output")
	switch format {
	case "json":
		enc := json.NewEncoder(c.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	case "table", "":
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, strings.Join(t.header, "\t"))
		for _, row := range t.rows {
			_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		return w.Flush()
	}
	return errors.Wrapf(errUsage, "output %q is not known; use table or json", format)
}
