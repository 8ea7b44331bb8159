// Command gentiancroft runs the hosts of a serving layer for LoRA adapters, and the
// commands that configure, test and measure them. This package parses flags and maps
// errors to exit codes; the work is in the internal packages.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"gentiancroft/internal/admin"
	"gentiancroft/internal/demo"
	"gentiancroft/internal/load"
	"gentiancroft/internal/peer"
	"gentiancroft/internal/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errUsage is the class of errors for invalid flags and arguments.
var errUsage = errs.Class("usage")

const longHelp = `gentiancroft serves many LoRA adapters on shared base models.

Exit codes: 0 success, 1 failure, 2 invalid flags, arguments, settings or documents.`

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	_, _ = os.Stderr.WriteString("gentiancroft: " + err.Error() + "\n")
	if isUsage(err) {
		return exitUsage
	}
	return exitFailed
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "gentiancroft",
		Short:         "A serving layer for very many LoRA adapters",
		Long:          longHelp,
		Example:       "  gentiancroft demo\n  gentiancroft serve --settings examples/host-a.yaml",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errUsage.Wrap(err) })
	root.AddCommand(
		demoCommand(),
		serveCommand(),
		relayCommand(), soakCommand(),
		explainCommand(),
		standinCommand(),
		loadCommand(),
		configCommand(),
		auditCommand(),
		certCommand(),
		measureCommand(),
		reportCommand(),
		versionCommand(),
	)
	return root
}

// isUsage reports whether invalid input caused an error: flags, arguments, settings,
// key material or a document. Cobra's own errors have no type, so their first words
// are matched.
func isUsage(err error) bool {
	if errUsage.Has(err) || demo.InvalidOptions.Has(err) || settings.Invalid.Has(err) || admin.Invalid.Has(err) || load.Invalid.Has(err) || peer.MaterialError.Has(err) {
		return true
	}
	for _, prefix := range []string{"unknown command", "accepts ", "requires at least", "required flag"} {
		if strings.HasPrefix(err.Error(), prefix) {
			return true
		}
	}
	return false
}
