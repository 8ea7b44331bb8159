package wiring

import (
	"github.com/fasthttp/router"

	"gentiancroft/internal/admin"
	"gentiancroft/internal/console"
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
	"gentiancroft/internal/platform"
	"gentiancroft/internal/settings"
)

// SettingsFrom converts the settings of a process into those of a host. It returns an error
// if the key secret or the certificates can't be read.
func SettingsFrom(h *settings.Host) (Settings, error) {
	secret, err := h.KeySecret()
	if err != nil {
		return Settings{}, err
	}
	material, err := h.LinkMaterial()
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Name:      h.Host.Name,
		Domain:    core.Domain(h.Host.Domain),
		Region:    core.Region(h.Host.Region),
		Callers:   h.Listen.Callers,
		Links:     h.Listen.Links,
		Platform:  h.Platform,
		KeySecret: secret,
		Material:  material,
		Limits:    entryLimits(h.Limits),
		Memory:    h.Memory.BytesOr(defaultServeMemory),
		Node:      nodeSettings(h),
	}
	s.Routes = append(s.Routes, consoleRoutes(s, h.OperatorsByHash()))
	return s, nil
}

func entryLimits(l settings.Limits) entry.Limits {
	d := entry.DefaultLimits
	limits := entry.Limits{
		MaxBodyBytes:   l.Body.BytesOr(d.MaxBodyBytes),
		MaxHeaderBytes: l.Header.BytesOr(d.MaxHeaderBytes),
		MaxConnections: l.Connections,
		MaxFields:      l.Fields,
		ReadTimeout:    l.Read.ValueOr(d.ReadTimeout),
		IdleTimeout:    l.Idle.ValueOr(d.IdleTimeout),
		StallTimeout:   l.Stall.ValueOr(d.StallTimeout),
	}
	if limits.MaxConnections == 0 {
		limits.MaxConnections = d.MaxConnections
	}
	return limits
}

func nodeSettings(h *settings.Host) node.Settings {
	return node.Settings{
		Lease:               lease.Settings{Term: h.Timings.LeaseTerm.Value(), RenewInterval: h.Timings.LeaseRenew.Value()},
		Feed:                feed.Settings{PingInterval: h.Timings.FeedPing.Value(), HeadReadInterval: h.Timings.FeedRead.Value(), FreshnessBound: h.Timings.FeedBound.Value()},
		PollInterval:        h.Timings.Poll.Value(),
		ListInterval:        h.Timings.List.Value(),
		RequestRefusalDelay: h.Shutdown.Keep.Value(),
		DrainTimeout:        h.Shutdown.Drain.Value(),
		Capacity:            h.Limits.InFlight,
	}
}

// consoleRoutes returns a function that registers the operators' console.
func consoleRoutes(s Settings, operators map[string]string) func(*router.Router) {
	byName := make(map[string]string, len(operators))
	for hash, name := range operators {
		byName[name] = hash
	}
	c := console.New(console.Options{
		Service:   admin.New(platform.New(platform.Options{Address: s.Platform})),
		Operators: admin.NewOperators(s.KeySecret, byName),
		Secret:    s.KeySecret,
	})
	return func(r *router.Router) { console.Register(r, c) }
}
