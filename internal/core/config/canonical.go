package config

import (
	"cmp"
	"slices"

	"gentiancroft/internal/core"
)

// Canonical returns a copy in canonical form: every list sorted by its
// identity, an empty one nil. Two documents that mean the same are equal in
// canonical form.
func Canonical(d *Document) *Document {
	c := &Document{
		BaseModels: byIdentity(d.BaseModels),
		Workspaces: byIdentity(d.Workspaces),
		Keys:       byIdentity(d.Keys),
		Adapters:   byIdentity(d.Adapters),
		Routes:     byIdentity(d.Routes),
		Upstreams:  byIdentity(d.Upstreams),
	}
	for i := range c.Adapters {
		a := &c.Adapters[i]
		a.Versions = sorted(a.Versions)
		a.Workspaces = sorted(a.Workspaces)
	}
	for i := range c.Routes {
		c.Routes[i].Workspaces = sorted(c.Routes[i].Workspaces)
	}
	return c
}

func sorted[T cmp.Ordered](in []T) []T {
	if len(in) == 0 {
		return nil
	}
	out := slices.Clone(in)
	slices.Sort(out)
	return out
}

func byIdentity[T Entry](in []T) []T {
	if len(in) == 0 {
		return nil
	}
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(a.Identity(), b.Identity()) })
	return out
}

// ParseClass reads the name of a priority class; none is normal.
func ParseClass(name string) (core.Class, bool) {
	switch name {
	case "interactive":
		return core.Interactive, true
	case "normal", "":
		return core.Normal, true
	case "overnight":
		return core.Overnight, true
	}
	return core.Normal, false
}
