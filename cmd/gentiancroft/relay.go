package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
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
those who still come, finishes what is in flight, hands over and exits. SIGHUP, or a change of the file, has the
settings read again.`,
		Example: "  gentiancroft relay --settings relay.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.LoadRelay(file)
			if err != nil {
				return err
			}
			return runRelay(c.Context(), file, s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "file with the host's settings")
	_ = c.MarkFlagRequired("settings")
	return c
}

func runRelay(leave context.Context, file string, s *settings.Relay) error {
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
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil { // its line is no JSON
		log.WithError(err).Warn("the links may write a line that is no JSON")
	}
	debug.SetGCPercent(garbagePercent)
	if memory := s.Memory.Value(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(memory)))
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a reader of the log that goes away must not end the host
	r, err := wiring.NewRelay(s, wiring.PlatformAdapter{
		Executors:       platform.Executors,
		Dialect:         platform.Headers{},
		PathReady:       platform.PathReady,
		PathResolve:     platform.PathResolve,
		EncodeAddresses: platform.EncodeAddresses,
	})
	if err != nil {
		return err
	}
	log.WithField("host", s.Host.Name).Info("started")
	stop := context.AfterFunc(leave, r.Leave)
	defer stop()
	go reload(leave, hangups, file, r)
	err = r.Run(context.Background())
	log.WithField("host", s.Host.Name).Info("stopped")
	return err
}

// reloadEvery is how often the settings file is looked at for a change.
const reloadEvery = time.Second

// reload reads the settings again at SIGHUP, and when the file has changed.
// Settings that can't be used change nothing.
func reload(ctx context.Context, hangups <-chan os.Signal, file string, r *wiring.RelayHost) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.WithError(err).Warn("settings not read")
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			// The signal is still taken while the host leaves: it must not end it.
			<-hangups
			continue
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		now, err := os.ReadFile(file)
		if err != nil || !asked && bytes.Equal(now, last) {
			continue // a file that is being replaced is there the next time
		}
		last = now
		s, err := settings.LoadRelay(file)
		if err != nil {
			log.WithError(err).Warn("settings not usable; the former ones stay")
			continue
		}
		log.WithField("later", r.Apply(s)).Info("settings reloaded")
	}
}
