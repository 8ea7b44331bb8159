package wiring

import (
	"slices"
	"time"

	"github.com/apex/log"

	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/settings"
)

// Apply puts changed settings in force. It returns the fields that have changed
// and are used from the next start on.
func (r *Relaying) Apply(s *settings.Relay) (later []string) {
	old := r.settings.Load()
	if s.Log != "" {
		log.SetLevelFromString(s.Log)
	}
	r.gateway.Tell(direct.Tuned{
		RetryShare:   s.Retry.Share,
		RetrySlack:   s.Retry.Slack,
		RetryWindow:  s.Retry.Window.Value(),
		VersionGrace: versionGrace(s),
	})
	r.settings.Store(s)
	for field, changed := range map[string]bool{
		"host":     s.Host != old.Host,
		"listen":   s.Listen != old.Listen,
		"store":    s.Store != old.Store,
		"limits":   s.Limits != old.Limits,
		"shutdown": s.Shutdown != old.Shutdown,
	} {
		if changed {
			later = append(later, field)
		}
	}
	slices.Sort(later)
	return later
}

// versionGrace is how long an adapter's older version is still used.
func versionGrace(s *settings.Relay) time.Duration {
	return time.Duration(versionMargin * float64(s.Version.Value()))
}
