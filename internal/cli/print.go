package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// table is a result as people read it.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes a result as a table, or as JSON when asked.
func print(c *cobra.Command, value any, t table) error {
	form, _ := c.Flags().GetString("output")
	switch form {
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
	return errors.Wrapf(errUsage, "output %q is not known; use table or json", form)
}
