package config

import (
	"strconv"
	"strings"

	"gentiancroft/internal/core"
)

// Field is one field of an entry in readable form.
type Field struct {
	Name  string
	Value string
}

// Entry is one element of a document's lists.
type Entry interface {
	// Identity is unique within the entry's list.
	Identity() string
	// Fields returns all values except the identity, in a fixed order.
	Fields() []Field
}

// Identity implements Entry.
func (b BaseModel) Identity() string { return string(b.ID) }

// Identity implements Entry.
func (w Workspace) Identity() string { return string(w.ID) }

// Identity implements Entry.
func (k Key) Identity() string { return k.ID }

// Identity implements Entry.
func (a Adapter) Identity() string { return string(a.ID) }

// Identity implements Entry.
func (r Route) Identity() string { return r.Path }

// Identity implements Entry.
func (u Upstream) Identity() string { return string(u.ID) }

// Fields implements Entry.
func (b BaseModel) Fields() []Field { return nil }

// Fields implements Entry.
func (w Workspace) Fields() []Field {
	return []Field{
		{"rate", strconv.FormatInt(w.Rate, 10)},
		{"burst", strconv.FormatInt(w.Burst, 10)},
		{"weight", strconv.Itoa(w.Weight)},
	}
}

// Fields implements Entry. The hash is shortened, but still distinguishes keys.
func (k Key) Fields() []Field {
	return []Field{
		{"workspace", string(k.Workspace)},
		{"hash", shortHash(k.Hash)},
		{"withdrawn", strconv.FormatBool(k.Withdrawn)},
	}
}

// Fields implements Entry.
func (a Adapter) Fields() []Field {
	return []Field{
		{"base", string(a.Base)},
		{"versions", joinInts(a.Versions)},
		{"default", strconv.Itoa(a.Default)},
		{"workspaces", joinNames(a.Workspaces)},
	}
}

// Fields implements Entry.
func (r Route) Fields() []Field {
	return []Field{
		{"kind", string(r.Kind)},
		{"pool", r.Pool},
		{"open", strconv.FormatBool(r.Open)},
		{"idempotent", strconv.FormatBool(r.Idempotent)},
		{"class", r.Class},
		{"cost", strconv.FormatInt(r.Cost, 10)},
		{"workspaces", joinNames(r.Workspaces)},
		{"charged", string(r.Charged)},
	}
}

// Fields implements Entry.
func (u Upstream) Fields() []Field {
	return []Field{
		{"kind", string(u.Kind)},
		{"pool", u.Pool},
		{"address", u.Address},
		{"domain", string(u.Domain)},
		{"base", string(u.Base)},
		{"slots", strconv.Itoa(u.Slots)},
		{"batch", strconv.Itoa(u.Batch)},
		{"checks_fencing", strconv.FormatBool(u.Fencing)},
		{"leaving", strconv.FormatBool(u.Leaving)},
	}
}

const shortHashDigits = 12 // hex

func shortHash(h string) string { return h[:min(len(h), shortHashDigits)] }

func joinInts(in []int) string {
	parts := make([]string, 0, len(in))
	for _, v := range in {
		parts = append(parts, strconv.Itoa(v))
	}
	return strings.Join(parts, ",")
}

func joinNames(in []core.WorkspaceID) string {
	if len(in) == 0 {
		return "all"
	}
	parts := make([]string, 0, len(in))
	for _, v := range in {
		parts = append(parts, string(v))
	}
	return strings.Join(parts, ",")
}
