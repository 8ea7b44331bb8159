package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// version is the product's version.
const version = "0.1.0-dev"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  gentiancroft version",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintf(c.OutOrStdout(), "gentiancroft %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
		},
	}
}
