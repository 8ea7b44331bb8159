package config

import (
	"slices"
	"strings"
)

// Section names one of a document's lists.
type Section string

// Sections.
const (
	SectionBaseModels Section = "base_models"
	SectionWorkspaces Section = "workspaces"
	SectionKeys       Section = "keys"
	SectionAdapters   Section = "adapters"
	SectionRoutes     Section = "routes"
	SectionUpstreams  Section = "upstreams"
)

// ChangeKind says what happened to an entry.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// FieldChange is one field whose value differs.
type FieldChange struct {
	Name string `json:"name" cbor:"1,keyasint"`
	Old  string `json:"old,omitempty" cbor:"2,keyasint,omitempty"`
	New  string `json:"new,omitempty" cbor:"3,keyasint,omitempty"`
}

// Change is what happened to one entry. Before and After hold the entry itself;
// Before is nil if it was added, After if it was removed.
type Change struct {
	Section Section       `json:"section" cbor:"1,keyasint"`
	ID      string        `json:"id" cbor:"2,keyasint"`
	Kind    ChangeKind    `json:"kind" cbor:"3,keyasint"`
	Fields  []FieldChange `json:"fields,omitempty" cbor:"4,keyasint,omitempty"`
	Before  Entry         `json:"-" cbor:"-"`
	After   Entry         `json:"-" cbor:"-"`
}

// String implements fmt.Stringer.
func (c Change) String() string {
	mark := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	parts := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		switch c.Kind {
		case Added:
			parts = append(parts, f.Name+"="+f.New)
		case Changed:
			parts = append(parts, f.Name+": "+f.Old+" -> "+f.New)
		}
	}
	return strings.TrimSpace(mark + " " + string(c.Section) + "/" + c.ID + " " + strings.Join(parts, ", "))
}

// Diff returns the changes from old to new, section by section, sorted by identity.
func Diff(old, new *Document) []Change {
	a, b := Canonical(old), Canonical(new)
	var out []Change
	out = diffList(out, SectionBaseModels, a.BaseModels, b.BaseModels)
	out = diffList(out, SectionWorkspaces, a.Workspaces, b.Workspaces)
	out = diffList(out, SectionKeys, a.Keys, b.Keys)
	out = diffList(out, SectionAdapters, a.Adapters, b.Adapters)
	out = diffList(out, SectionRoutes, a.Routes, b.Routes)
	out = diffList(out, SectionUpstreams, a.Upstreams, b.Upstreams)
	return out
}

// diffList appends the changes between two sorted lists.
func diffList[T Entry](out []Change, s Section, old, new []T) []Change {
	i, j := 0, 0
	for i < len(old) || j < len(new) {
		switch {
		case j == len(new) || (i < len(old) && old[i].Identity() < new[j].Identity()):
			out = append(out, Change{Section: s, ID: old[i].Identity(), Kind: Removed, Before: old[i]})
			i++
		case i == len(old) || new[j].Identity() < old[i].Identity():
			out = append(out, Change{Section: s, ID: new[j].Identity(), Kind: Added, After: new[j], Fields: diffFields(nil, new[j].Fields())})
			j++
		default:
			if fields := diffFields(old[i].Fields(), new[j].Fields()); len(fields) > 0 {
				out = append(out, Change{Section: s, ID: new[j].Identity(), Kind: Changed, Before: old[i], After: new[j], Fields: fields})
			}
			i++
			j++
		}
	}
	return out
}

func diffFields(old, new []Field) []FieldChange {
	var out []FieldChange
	for i, f := range new {
		was := ""
		if old != nil {
			was = old[i].Value
		}
		if was != f.Value {
			out = append(out, FieldChange{Name: f.Name, Old: was, New: f.Value})
		}
	}
	return out
}

// Patch applies changes to a document. An entry that is to be changed but missing is
// added as it is after the change; one that is to be removed but missing is ignored.
func Patch(old *Document, changes []Change) *Document {
	d := Canonical(old)
	for _, c := range changes {
		switch c.Section {
		case SectionBaseModels:
			d.BaseModels = patchList(d.BaseModels, c)
		case SectionWorkspaces:
			d.Workspaces = patchList(d.Workspaces, c)
		case SectionKeys:
			d.Keys = patchList(d.Keys, c)
		case SectionAdapters:
			d.Adapters = patchList(d.Adapters, c)
		case SectionRoutes:
			d.Routes = patchList(d.Routes, c)
		case SectionUpstreams:
			d.Upstreams = patchList(d.Upstreams, c)
		}
	}
	return Canonical(d)
}

func patchList[T Entry](list []T, c Change) []T {
	list = slices.DeleteFunc(list, func(e T) bool { return e.Identity() == c.ID })
	if after, ok := c.After.(T); ok {
		list = append(list, after)
	}
	return list
}
