package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/spf13/cobra"

	"gentiancroft/internal/logs"
	"gentiancroft/internal/settings"
	"gentiancroft/internal/wiring"
	"gentiancroft/platform"
)

// Part of a relaying host's memory that the collector aims to stay within, and
// how much garbage it lets grow between two collections.
const (
	memoryPart     = 0.6
	garbagePercent = 25
)

func relayCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "relay",
		Short: "Run one host that passes requests through, on the users' platform",
		Long: `Run one host that passes requests through until it is told to leave.

The first SIGTERM or SIGINT begins a graceful shutdown: callers are no longer told of the host, it serves
those who still come, finishes what is in flight, hands over and exits.`,
		Example: "  gentiancroft relay --settings relay.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.LoadRelay(file)
			if err != nil {
				return err
			}
			return runRelay(c.Context(), s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "file with the host's settings")
	_ = c.MarkFlagRequired("settings")
	return c
}

func runRelay(leave context.Context, s *settings.Relay) error {
	sink := logs.New(os.Stdout, time.Now)
	log.SetHandler(sink)
	go func() {
		if err := sink.Run(context.Background()); err != nil {
			log.WithError(err).Error("log lines are written no more")
		}
	}()
	defer sink.Flush()
	if s.Log != "" {
		log.SetLevelFromString(s.Log)
	}
	debug.SetGCPercent(garbagePercent)
	if memory := s.Memory.Value(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(memory)))
	}
	r, err := wiring.NewRelay(s, wiring.Adapter{
		Carriers:    platform.Carriers,
		Dialect:     platform.Headers{},
		PathReady:   platform.PathReady,
		PathResolve: platform.PathResolve,
		Resolved:    platform.Resolved,
	})
	if err != nil {
		return err
	}
	log.WithField("host", s.Host.Name).Info("started")
	stop := context.AfterFunc(leave, r.Leave)
	defer stop()
	err = r.Run(context.Background())
	log.WithField("host", s.Host.Name).Info("stopped")
	return err
}
