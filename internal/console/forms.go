package console

import (
	"strconv"
	"strings"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// input is one field of a form.
type input struct {
	Name    string
	Label   string
	Help    string
	Kind    string   // text, number, checkbox or select
	Options []string // of a select
}

// section describes the form of one list of the document.
type section struct {
	Name   config.Section
	Title  string
	ID     input
	Inputs []input
}

// sections are the forms of the console, in the order of its menu.
var sections = []section{
	{config.SectionWorkspaces, "Workspaces", input{Name: "id", Label: "Name", Kind: "text"}, []input{
		{Name: "rate", Label: "Rate", Help: "tokens a second, over all hosts", Kind: "number"},
		{Name: "burst", Label: "Burst", Help: "tokens", Kind: "number"},
		{Name: "weight", Label: "Weight", Help: "share of contended capacity", Kind: "number"},
	}},
	{config.SectionKeys, "Keys", input{Name: "id", Label: "Name", Kind: "text"}, []input{
		{Name: "workspace", Label: "Workspace", Kind: "text"},
		{Name: "withdrawn", Label: "Withdrawn", Help: "refused by all hosts within seconds; running answers are aborted", Kind: "checkbox"},
	}},
	{config.SectionAdapters, "Adapters", input{Name: "id", Label: "Name", Kind: "text"}, []input{
		{Name: "base", Label: "Base model", Kind: "text"},
		{Name: "versions", Label: "Versions", Help: "numbers, separated by commas", Kind: "text"},
		{Name: "default", Label: "Default version", Kind: "number"},
		{Name: "workspaces", Label: "Workspaces", Help: "separated by commas; empty: all", Kind: "text"},
	}},
	{config.SectionRoutes, "Routes", input{Name: "id", Label: "Path", Kind: "text"}, []input{
		{Name: "kind", Label: "Kind", Kind: "select", Options: []string{"completions", "chat", "service"}},
		{Name: "pool", Label: "Pool of upstreams", Kind: "text"},
		{Name: "class", Label: "Priority", Kind: "select", Options: []string{"interactive", "normal", "overnight"}},
		{Name: "idempotent", Label: "Idempotent", Help: "may be repeated; otherwise a request runs at most once", Kind: "checkbox"},
		{Name: "cost", Label: "Cost", Help: "tokens a request, of a service route", Kind: "number"},
		{Name: "workspaces", Label: "Workspaces", Help: "separated by commas; empty: all", Kind: "text"},
		{Name: "open", Label: "Open to all", Help: "without a key", Kind: "checkbox"},
		{Name: "charged", Label: "Charged to", Help: "workspace whose limit an open route spends", Kind: "text"},
	}},
	{config.SectionUpstreams, "Upstreams", input{Name: "id", Label: "Name", Kind: "text"}, []input{
		{Name: "kind", Label: "Kind", Kind: "select", Options: []string{"engine", "service"}},
		{Name: "pool", Label: "Pool", Kind: "text"},
		{Name: "address", Label: "Address", Help: "IP address and port", Kind: "text"},
		{Name: "domain", Label: "Failure domain", Kind: "text"},
		{Name: "base", Label: "Base model", Help: "of an engine", Kind: "text"},
		{Name: "slots", Label: "Adapter slots", Help: "of an engine", Kind: "number"},
		{Name: "batch", Label: "Batch", Help: "concurrent requests", Kind: "number"},
		{Name: "checks_fencing", Label: "Checks fencing numbers", Help: "refuses an order with an old number; set only if it does", Kind: "checkbox"},
		{Name: "leaving", Label: "Leaving", Help: "gets no new requests", Kind: "checkbox"},
	}},
	{config.SectionBaseModels, "Base models", input{Name: "id", Label: "Name", Kind: "text"}, nil},
}

func findSection(name string) *section {
	for i := range sections {
		if string(sections[i].Name) == name {
			return &sections[i]
		}
	}
	return nil
}

// sectionEntries returns the entries of a section.
func sectionEntries(d *config.Document, s config.Section) []config.Entry {
	switch s {
	case config.SectionBaseModels:
		return toEntries(d.BaseModels)
	case config.SectionWorkspaces:
		return toEntries(d.Workspaces)
	case config.SectionKeys:
		return toEntries(d.Keys)
	case config.SectionAdapters:
		return toEntries(d.Adapters)
	case config.SectionRoutes:
		return toEntries(d.Routes)
	case config.SectionUpstreams:
		return toEntries(d.Upstreams)
	}
	return nil
}

func toEntries[T config.Entry](list []T) []config.Entry {
	out := make([]config.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, e)
	}
	return out
}

// formValues are a form's fields as posted, by name.
type formValues map[string]string

// formReader converts fields to typed values and collects an error for each field
// that can't be converted.
type formReader struct {
	values formValues
	errors map[string]string
}

func (r *formReader) text(name string) string { return strings.TrimSpace(r.values[name]) }

func (r *formReader) flag(name string) bool { return r.values[name] != "" }

func (r *formReader) number(name string) int64 {
	s := r.text(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		r.errors[name] = strconv.Quote(s) + " is not a whole number"
	}
	return n
}

func (r *formReader) int32Number(name string) int {
	n := r.number(name)
	if n != int64(int32(n)) {
		r.errors[name] = "is too large"
		return 0
	}
	return int(n)
}

// list splits a field at commas and spaces.
func (r *formReader) list(name string) []string {
	return strings.FieldsFunc(r.values[name], func(c rune) bool { return c == ',' || c == ' ' })
}

func (r *formReader) numbers(name string) []int {
	var out []int
	for _, s := range r.list(name) {
		n, err := strconv.Atoi(s)
		if err != nil {
			r.errors[name] = strconv.Quote(s) + " is not a whole number"
		}
		out = append(out, n)
	}
	return out
}

func (r *formReader) workspaces(name string) []core.WorkspaceID {
	var out []core.WorkspaceID
	for _, s := range r.list(name) {
		out = append(out, core.WorkspaceID(s))
	}
	return out
}

// entry returns the entry that a form describes, or nil for an unknown section.
// hash is the keyed hash of a key.
func (r *formReader) entry(s config.Section, hash string) config.Entry {
	id := r.text("id")
	switch s {
	case config.SectionBaseModels:
		return config.BaseModel{ID: core.BaseModel(id)}
	case config.SectionWorkspaces:
		return config.Workspace{ID: core.WorkspaceID(id), Rate: r.number("rate"), Burst: r.number("burst"), Weight: r.int32Number("weight")}
	case config.SectionKeys:
		return config.Key{ID: id, Workspace: core.WorkspaceID(r.text("workspace")), Hash: hash, Withdrawn: r.flag("withdrawn")}
	case config.SectionAdapters:
		return config.Adapter{ID: core.AdapterID(id), Base: core.BaseModel(r.text("base")), Versions: r.numbers("versions"), Default: r.int32Number("default"), Workspaces: r.workspaces("workspaces")}
	case config.SectionRoutes:
		return config.Route{
			Path: id, Kind: config.RouteKind(r.text("kind")), Pool: r.text("pool"), Class: r.text("class"),
			Open: r.flag("open"), Idempotent: r.flag("idempotent"), Cost: r.number("cost"),
			Workspaces: r.workspaces("workspaces"), Charged: core.WorkspaceID(r.text("charged")),
		}
	case config.SectionUpstreams:
		return config.Upstream{
			ID: core.UpstreamID(id), Kind: config.UpstreamKind(r.text("kind")), Pool: r.text("pool"), Address: r.text("address"),
			Domain: core.Domain(r.text("domain")), Base: core.BaseModel(r.text("base")), Slots: r.int32Number("slots"), Batch: r.int32Number("batch"),
			Fencing: r.flag("checks_fencing"), Leaving: r.flag("leaving"),
		}
	}
	return nil
}

// entryValues returns an entry's fields as its form shows them.
func entryValues(s *section, e config.Entry) formValues {
	v := formValues{"id": e.Identity()}
	for _, f := range e.Fields() {
		v[f.Name] = f.Value
	}
	for _, i := range s.Inputs {
		if i.Kind == "checkbox" && v[i.Name] == strconv.FormatBool(false) {
			v[i.Name] = ""
		}
	}
	if allowed, ok := allowedWorkspaces(e); ok && len(allowed) == 0 {
		v["workspaces"] = "" // no restriction
	}
	return v
}

// allowedWorkspaces returns the workspaces that may use an entry, and false if it has no
// such list.
func allowedWorkspaces(e config.Entry) (list []core.WorkspaceID, ok bool) {
	switch x := e.(type) {
	case config.Adapter:
		return x.Workspaces, true
	case config.Route:
		return x.Workspaces, true
	}
	return nil, false
}
