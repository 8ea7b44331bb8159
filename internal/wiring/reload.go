package wiring

import (
	"slices"
	"time"

	"github.com/apex/log"

	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/settings"
)

// Apply applies changed settings. It returns the sorted names of the changed
// sections that take effect only at the next start.
func (r *RelayHost) Apply(s *settings.Relay) (afterRestart []string) {
	old := r.settings.Load()
	if s.Log != "" {
		log.SetLevelFromString(s.Log)
	}
	r.gateway.Notify(relaynode.SettingsChanged{
		RetryShare:    s.Retry.Share,
		RetrySlack:    s.Retry.Slack,
		RetryWindow:   s.Retry.Window.Value(),
		VersionGrace:  versionGrace(s),
		VersionExpiry: versionExpiry(s),
	})
	r.settings.Store(s)
	for field, changed := range map[string]bool{
		"host":     s.Host != old.Host,
		"listen":   s.Listen != old.Listen,
		"store":    s.Store != old.Store,
		"limits":   s.Limits != old.Limits,
		"shutdown": s.Shutdown != old.Shutdown,

		"evacuation": s.Evacuation.Value() != old.Evacuation.Value(),
	} {
		if changed {
			afterRestart = append(afterRestart, field)
		}
	}
	slices.Sort(afterRestart)
	return afterRestart
}

// versionGrace is how long requests are still sent to an older version of an adapter.
func versionGrace(s *settings.Relay) time.Duration {
	return time.Duration(versionGraceFraction * float64(s.Version.Value()))
}

// versionExpiry is how long requests may still begin on an older version of an adapter, as far
// as this host decides it. What is left of the configured time is for the withdrawal to reach
// the replica, which takes no less where that time is short.
func versionExpiry(s *settings.Relay) time.Duration {
	configured := s.Version.Value()
	expiry := time.Duration(versionExpiryFraction * float64(configured))
	return max(min(expiry, configured-minWithdrawalTime), versionGrace(s))
}
