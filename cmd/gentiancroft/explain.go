package main

import (
	"github.com/spf13/cobra"

	"gentiancroft/internal/explain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show from log lines why a request ended as it did",
		Long: `Read the log lines of a fleet's relaying hosts from standard input, print those of one request sorted by
time, and name the cause of its end. REQUEST is the request id that the caller sent.`,
		Example: "  cat logs/*.jsonl | gentiancroft explain 75af2882d9988168",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := explain.Read(c.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return explain.Write(c.OutOrStdout(), lines)
		},
	}
}
