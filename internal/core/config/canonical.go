package config

import (
	"cmp"
	"slices"

	"gentiancroft/internal/core"
)

// Canonical returns a copy in canonical form: every list sorted by its
// identity, an empty one nil. Two documents that mean the same are equal in
// canonical form. Lists within an entry are shared where they are sorted.
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

// sorted returns the list itself where it is sorted already.
func sorted[T cmp.Ordered](in []T) []T {
	if len(in) == 0 {
		return nil
	}
	if slices.IsSorted(in) {
		return in
	}
	out := slices.Clone(in)
	slices.Sort(out)
	return out
}

// byIdentity returns a sorted copy. It sorts names and places, since entries
// are large to move.
func byIdentity[T Entry](in []T) []T {
	if len(in) == 0 {
		return nil
	}
	type place struct {
		name string
		at   int
	}
	places := make([]place, len(in))
	for i := range in {
		places[i] = place{in[i].Identity(), i}
	}
	slices.SortFunc(places, func(a, b place) int {
		if c := cmp.Compare(a.name, b.name); c != 0 {
			return c
		}
		return cmp.Compare(a.at, b.at)
	})
	out := make([]T, len(in))
	for i, p := range places {
		out[i] = in[p.at]
	}
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
