package main

import (
	"github.com/spf13/cobra"

	"gentiancroft/internal/demo"
)

func demoCommand() *cobra.Command {
	var options demo.Options
	c := &cobra.Command{
		Use:     "demo",
		Short:   "Run a whole deployment in one process and show what it does",
		Example: "  gentiancroft demo --deployment embalse --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo.Run(c.Context(), c.OutOrStdout(), options)
		},
	}
	c.Flags().StringVar(&options.Deployment, "deployment", "parapet", "sample deployment: parapet or embalse")
	c.Flags().StringVar(&options.Output, "output", "text", "text or json")
	return c
}
