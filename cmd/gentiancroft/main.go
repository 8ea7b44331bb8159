// Command gentiancroft serves LoRA adapters to callers.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	root := &cobra.Command{
		Use:           "gentiancroft",
		Short:         "A serving layer for very many LoRA adapters",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(demoCommand())
	if err := root.Execute(); err != nil {
		_, _ = os.Stderr.WriteString("gentiancroft: " + err.Error() + "\n")
		os.Exit(exitFailed)
	}
}
