package main

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/spf13/cobra"

	"gentiancroft/internal/demo"
)

func demoCommand() *cobra.Command {
	var options demo.Options
	var logs bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process and show what it does",
		Long: `Run emulators of the platform, engines and services and three hosts with real links, all on
loopback, and demonstrate the product's guarantees step by step. The exit code is 0 only if every step succeeds.`,
		Example: "  gentiancroft demo\n  gentiancroft demo --deployment embalse --output json\n  gentiancroft demo --keep",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if logs {
				logJSON("info")
			} else {
				log.SetHandler(discard.Default)
			}
			return demo.Run(c.Context(), c.OutOrStdout(), options)
		},
	}
	c.Flags().StringVar(&options.Deployment, "deployment", "parapet", "sample deployment: parapet or embalse")
	c.Flags().StringVar(&options.Output, "output", "text", "text or json")
	c.Flags().BoolVar(&options.KeepRunning, "keep", false, "leave the deployment running and print curl commands")
	c.Flags().BoolVar(&logs, "logs", false, "write the hosts' log lines to standard error")
	return c
}
