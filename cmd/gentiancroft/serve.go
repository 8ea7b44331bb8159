package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	apexjson "github.com/apex/log/handlers/json"
	"github.com/spf13/cobra"

	"gentiancroft/internal/settings"
	"gentiancroft/internal/wiring"
)

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one host",
		Long: `Run one host until a signal ends it.

The first SIGTERM or SIGINT starts a graceful shutdown: the host is no longer advertised to callers, serves
those that still use its address, finishes requests in flight, hands off what it owns and exits. A second
signal stops it at once.`,
		Example: "  gentiancroft serve --settings examples/host-a.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			h, err := settings.Load(file)
			if err != nil {
				return err
			}
			s, err := wiring.SettingsFrom(h)
			if err != nil {
				return err
			}
			logJSON(h.LogLevel())
			return serve(c.Context(), s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "file with the host's settings")
	_ = c.MarkFlagRequired("settings")
	return c
}

// logJSON writes JSON lines to standard error.
func logJSON(level string) {
	log.SetHandler(apexjson.New(os.Stderr))
	log.SetLevelFromString(level)
}

// serve runs a host until it has left. A host whose identity was fenced restarts under a
// new one.
func serve(leaveCtx context.Context, s wiring.Settings) error {
	for {
		err := serveOnce(leaveCtx, s)
		if !wiring.Fenced.Has(err) || leaveCtx.Err() != nil {
			return err
		}
		log.Warn("identity fenced; rejoining under a new one")
	}
}

func serveOnce(leaveCtx context.Context, s wiring.Settings) error {
	r, err := wiring.New(s)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(leaveCtx, func() {
		r.Leave()
		second, done := signal.NotifyContext(runCtx, syscall.SIGINT, syscall.SIGTERM)
		defer done()
		<-second.Done()
		cancel()
	})
	defer stop()
	return r.Run(runCtx)
}
