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

// section is one list of the document as the console shows it.
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
		{Name: "withdrawn", Label: "Withdrawn", Help: "refused everywhere within seconds; running answers are cut", Kind: "checkbox"},
	}},
	{config.SectionAdapters, "Adapters", input{Name: "id", Label: "Name", Kind: "text"}, []input{
		{Name: "base", Label: "Base model", Kind: "text"},
		{Name: "versions", Label: "Versions", Help: "numbers, with commas", Kind: "text"},
		{Name: "default", Label: "Default version", Kind: "number"},
		{Name: "workspaces", Label: "Workspaces", Help: "with commas; empty: all", Kind: "text"},
	}},
	{config.SectionRoutes, "Routes", input{Name: "id", Label: "Path", Kind: "text"}, []input{
		{Name: "kind", Label: "Kind", Kind: "select", Options: []string{"completions", "chat", "service"}},
		{Name: "pool", Label: "Pool of upstreams", Kind: "text"},
		{Name: "class", Label: "Priority", Kind: "select", Options: []string{"interactive", "normal", "overnight"}},
		{Name: "idempotent", Label: "Idempotent", Help: "may be repeated; otherwise a request runs at most once", Kind: "checkbox"},
		{Name: "cost", Label: "Cost", Help: "tokens a request, of a service route", Kind: "number"},
		{Name: "workspaces", Label: "Workspaces", Help: "with commas; empty: all", Kind: "text"},
		{Name: "open", Label: "Open to all", Help: "without a key", Kind: "checkbox"},
		{Name: "charged", Label: "Charged to", Help: "workspace whose limit an open route spends", Kind: "text"},
	}},
	{config.SectionUpstreams, "Upstreams", input{Name: "id", Label: "Name", Kind: "text"}, []input{
		{Name: "kind", Label: "Kind", Kind: "select", Options: []string{"engine", "service"}},
		{Name: "pool", Label: "Pool", Kind: "text"},
		{Name: "address", Label: "Address", Help: "IP number and port", Kind: "text"},
		{Name: "domain", Label: "Failure domain", Kind: "text"},
		{Name: "base", Label: "Base model", Help: "of an engine", Kind: "text"},
		{Name: "slots", Label: "Adapter slots", Help: "of an engine", Kind: "number"},
		{Name: "batch", Label: "Batch", Help: "requests at once", Kind: "number"},
		{Name: "checks_fencing", Label: "Checks fencing numbers", Help: "refuses an order with an old one; say so only if it does", Kind: "checkbox"},
		{Name: "leaving", Label: "Leaving", Help: "takes no new work", Kind: "checkbox"},
	}},
	{config.SectionBaseModels, "Base models", input{Name: "id", Label: "Name", Kind: "text"}, nil},
}

func sectionOf(name string) *section {
	for i := range sections {
		if string(sections[i].Name) == name {
			return &sections[i]
		}
	}
	return nil
}

// entries returns a section's list.
func entries(d *config.Document, s config.Section) []config.Entry {
	switch s {
	case config.SectionBaseModels:
		return entryList(d.BaseModels)
	case config.SectionWorkspaces:
		return entryList(d.Workspaces)
	case config.SectionKeys:
		return entryList(d.Keys)
	case config.SectionAdapters:
		return entryList(d.Adapters)
	case config.SectionRoutes:
		return entryList(d.Routes)
	case config.SectionUpstreams:
		return entryList(d.Upstreams)
	}
	return nil
}

func entryList[T config.Entry](list []T) []config.Entry {
	out := make([]config.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, e)
	}
	return out
}

// values are a form's fields as they came.
type values map[string]string

// reader turns fields into typed values and keeps what can't be read.
type reader struct {
	values values
	errors map[string]string
}

func (r *reader) text(name string) string { return strings.TrimSpace(r.values[name]) }

func (r *reader) flag(name string) bool { return r.values[name] != "" }

func (r *reader) number(name string) int64 {
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

func (r *reader) small(name string) int {
	n := r.number(name)
	if n != int64(int32(n)) {
		r.errors[name] = "is too large"
		return 0
	}
	return int(n)
}

// list splits at commas.
func (r *reader) list(name string) []string {
	return strings.FieldsFunc(r.values[name], func(c rune) bool { return c == ',' || c == ' ' })
}

func (r *reader) numbers(name string) []int {
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

func (r *reader) workspaces(name string) []core.WorkspaceID {
	var out []core.WorkspaceID
	for _, s := range r.list(name) {
		out = append(out, core.WorkspaceID(s))
	}
	return out
}

// entry reads a form. hash is that of a key that is new or stands.
func (r *reader) entry(s config.Section, hash string) config.Entry {
	id := r.text("id")
	switch s {
	case config.SectionBaseModels:
		return config.BaseModel{ID: core.BaseModel(id)}
	case config.SectionWorkspaces:
		return config.Workspace{ID: core.WorkspaceID(id), Rate: r.number("rate"), Burst: r.number("burst"), Weight: r.small("weight")}
	case config.SectionKeys:
		return config.Key{ID: id, Workspace: core.WorkspaceID(r.text("workspace")), Hash: hash, Withdrawn: r.flag("withdrawn")}
	case config.SectionAdapters:
		return config.Adapter{ID: core.AdapterID(id), Base: core.BaseModel(r.text("base")), Versions: r.numbers("versions"), Default: r.small("default"), Workspaces: r.workspaces("workspaces")}
	case config.SectionRoutes:
		return config.Route{
			Path: id, Kind: config.RouteKind(r.text("kind")), Pool: r.text("pool"), Class: r.text("class"),
			Open: r.flag("open"), Idempotent: r.flag("idempotent"), Cost: r.number("cost"),
			Workspaces: r.workspaces("workspaces"), Charged: core.WorkspaceID(r.text("charged")),
		}
	case config.SectionUpstreams:
		return config.Upstream{
			ID: core.UpstreamID(id), Kind: config.UpstreamKind(r.text("kind")), Pool: r.text("pool"), Address: r.text("address"),
			Domain: core.Domain(r.text("domain")), Base: core.BaseModel(r.text("base")), Slots: r.small("slots"), Batch: r.small("batch"),
			Fencing: r.flag("checks_fencing"), Leaving: r.flag("leaving"),
		}
	}
	return nil
}

// formValues are an entry's fields as its form shows them.
func formValues(e config.Entry) values {
	v := values{"id": e.Identity()}
	for _, f := range e.Fields() {
		switch f.Value {
		case "false":
			v[f.Name] = ""
		case "all":
			v[f.Name] = ""
		default:
			v[f.Name] = f.Value
		}
	}
	return v
}
