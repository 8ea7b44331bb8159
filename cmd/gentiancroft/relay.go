package main

import (
	"bytes"
	"context"
	"fmt"
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

// Garbage collector settings of a relaying host: the soft memory limit as a fraction of
// the memory setting, and the heap growth between two collections in percent (GOGC).
const (
	memoryFraction = 0.6
	gcPercent      = 25
)

// logFlushTime is how long the end of a host waits for its last log lines to be written.
const logFlushTime = 100 * time.Millisecond

func relayCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "relay",
		Short: "Run one relaying host, which forwards requests to replicas on the users' platform",
		Long: `Run one relaying host until a signal ends it.

The first SIGTERM or SIGINT starts a graceful shutdown: the host is no longer advertised to callers, serves
those that still connect, finishes requests in flight, hands off what it owns and exits. SIGHUP, or a change
of the file, reloads the settings.`,
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

func runRelay(leaveCtx context.Context, file string, s *settings.Relay) error {
	sink := logs.New(os.Stdout, time.Now)
	log.SetHandler(sink)
	go func() {
		if err := sink.Run(context.Background()); err != nil {
			fmt.Fprintln(os.Stderr, "gentiancroft: writing log lines failed; no more are written:", err)
		}
	}()
	defer sink.FlushWithin(logFlushTime)
	if s.Log != "" {
		log.SetLevelFromString(s.Log)
	}
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil { // quic-go would write plain text
		log.WithError(err).Warn("the links may write a line that is no JSON")
	}
	debug.SetGCPercent(gcPercent)
	if memory := s.Memory.Bytes(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(memory)))
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the host
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
	stop := context.AfterFunc(leaveCtx, r.Leave)
	defer stop()
	go reload(leaveCtx, hangups, file, r)
	err = r.Run(context.Background())
	log.WithField("host", s.Host.Name).Info("stopped")
	return err
}

// reloadInterval is how often the settings file is checked for changes.
const reloadInterval = time.Second

// reload reloads the settings on SIGHUP and when the file's contents have changed.
// Invalid settings are logged and change nothing.
func reload(ctx context.Context, hangups <-chan os.Signal, file string, r *wiring.RelayHost) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.WithError(err).Warn("settings file not readable; trying again")
	}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			// SIGHUP is received and ignored while the host leaves: it must not end the process.
			<-hangups
			continue
		case <-hangups:
			signaled = true
		case <-ticker.C:
		}
		current, err := os.ReadFile(file)
		if err != nil || !signaled && bytes.Equal(current, last) {
			continue // a file that is missing while it is replaced is read at the next tick
		}
		last = current
		s, err := settings.LoadRelay(file)
		if err != nil {
			log.WithError(err).Warn("settings not usable; the former ones stay")
			continue
		}
		log.WithField("later", r.Apply(s)).Info("settings reloaded")
	}
}
