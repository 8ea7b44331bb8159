package main

import (
	"github.com/spf13/cobra"

	"gentiancroft/internal/explain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Tell from log lines why a request ended as it did",
		Long: `Read the log lines of a fleet's relaying hosts from standard input, show those of one request in the order of
their times, and name the cause that they show. REQUEST is the caller's id of it.`,
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
