package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes a report as one JSON object.
func WriteJSON(w io.Writer, r Report) error { return json.NewEncoder(w).Encode(r) }

// WriteText writes a report as tables for a terminal.
func WriteText(w io.Writer, r Report) error {
	fmt.Fprintf(w, "%s (seed %d)\n", r.Name, r.Seed)
	for _, t := range r.Tables {
		if err := writeTable(w, t); err != nil {
			return err
		}
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, t := range r.Targets {
		verdict := "MISSED"
		if t.Met {
			verdict = "met"
		}
		fmt.Fprintf(tw, "target\t%s\t%s\t%.4g\t%s\n", t.Name, t.Bound, t.Measured, verdict)
	}
	return tw.Flush()
}

func writeTable(w io.Writer, t Table) error {
	fmt.Fprintf(w, "\n%s\n", t.Title)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "\t%s\n", strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		fmt.Fprint(tw, row.Label)
		for _, v := range row.Values {
			fmt.Fprintf(tw, "\t%.4g", v)
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}
