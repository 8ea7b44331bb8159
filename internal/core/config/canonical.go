package config

import (
	"cmp"
	"slices"

	"gentiancroft/internal/core"
)

// Canonical returns a copy in canonical form: every list sorted by its
// identity. Two documents that mean the same are equal in canonical form.
func Canonical(d *Document) *Document {
	c := &Document{
		BaseModels: slices.Clone(d.BaseModels),
		Workspaces: slices.Clone(d.Workspaces),
		Keys:       slices.Clone(d.Keys),
		Adapters:   slices.Clone(d.Adapters),
		Routes:     slices.Clone(d.Routes),
		Upstreams:  slices.Clone(d.Upstreams),
	}
	for i := range c.Adapters {
		a := &c.Adapters[i]
		a.Versions = sorted(a.Versions)
		a.Workspaces = sorted(a.Workspaces)
	}
	for i := range c.Routes {
		c.Routes[i].Workspaces = sorted(c.Routes[i].Workspaces)
	}
	sortByIdentity(c.BaseModels)
	sortByIdentity(c.Workspaces)
	sortByIdentity(c.Keys)
	sortByIdentity(c.Adapters)
	sortByIdentity(c.Routes)
	sortByIdentity(c.Upstreams)
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

func sortByIdentity[T Entry](list []T) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(a.Identity(), b.Identity()) })
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
