package config

import (
	"cmp"
	"slices"

	"gentiancroft/internal/core"
)

// Canonical returns a copy in canonical form: each list is sorted by identity, an
// empty one is nil. Documents that mean the same are equal in canonical form. Lists
// within an entry that are already sorted are shared with d.
func Canonical(d *Document) *Document {
	c := &Document{
		BaseModels: sortedByIdentity(d.BaseModels),
		Workspaces: sortedByIdentity(d.Workspaces),
		Keys:       sortedByIdentity(d.Keys),
		Adapters:   sortedByIdentity(d.Adapters),
		Routes:     sortedByIdentity(d.Routes),
		Upstreams:  sortedByIdentity(d.Upstreams),
	}
	for i := range c.Adapters {
		a := &c.Adapters[i]
		a.Versions = sortedList(a.Versions)
		a.Workspaces = sortedList(a.Workspaces)
	}
	for i := range c.Routes {
		c.Routes[i].Workspaces = sortedList(c.Routes[i].Workspaces)
	}
	return c
}

// sortedList returns in itself if it is sorted, otherwise a sorted copy; nil if empty.
func sortedList[T cmp.Ordered](in []T) []T {
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

// sortedByIdentity returns a sorted copy. It sorts names and indices, since entries
// are large to move.
func sortedByIdentity[T Entry](in []T) []T {
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

// ParseClass returns the priority class with a name; an empty name means normal.
// False if there is no such class.
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
