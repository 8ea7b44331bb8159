package console

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/admin"
	"gentiancroft/internal/core/config"
)

// Operations of a form.
const (
	opPut    = "put"
	opRemove = "remove"
)

// edited is a change as its form says, with the document it leads to.
type edited struct {
	section *section
	values  values
	op      string
	isNew   bool   // the form adds an entry
	from    uint64 // the version that the form was filled from
	newKey  string // shown once, after the acceptance
	plan    *admin.Plan
	errors  map[string]string // by field
	other   []config.Problem  // errors elsewhere in the document
}

// read takes a posted form and works out its plan.
func (c *Console) read(call context.Context, ctx *fasthttp.RequestCtx) (*edited, error) {
	s := sectionOf(ctx.UserValue("section").(string))
	if s == nil {
		return nil, admin.Invalid.New("no such list")
	}
	e := &edited{section: s, values: values{}, errors: map[string]string{}}
	args := ctx.PostArgs()
	for _, in := range append([]input{s.ID}, s.Inputs...) {
		e.values[in.Name] = string(args.Peek(in.Name))
	}
	e.op = string(args.Peek("op"))
	e.isNew = string(args.Peek("new")) != ""
	from, err := strconv.ParseUint(string(args.Peek("from")), 10, 64)
	if err != nil {
		return nil, admin.Invalid.New("the form does not say which version it was made from")
	}
	e.from = from
	now, err := c.service.Load(call)
	if err != nil {
		return nil, err
	}
	if err := c.service.MadeFrom(call, now, from); err != nil {
		return nil, err
	}
	return e, c.planEdit(e, now)
}

// planEdit validates the whole document that a form leads to.
func (c *Console) planEdit(e *edited, now *admin.Current) error {
	id := strings.TrimSpace(e.values["id"])
	if e.isNew && slices.ContainsFunc(entries(now.Document, e.section.Name), func(x config.Entry) bool { return x.Identity() == id }) {
		e.errors["id"] = "stands already"
		return nil
	}
	change := config.Change{Section: e.section.Name, ID: id}
	if e.op == opPut {
		r := reader{values: e.values, errors: e.errors}
		change.After = r.entry(e.section.Name, c.hashFor(e, now.Document, id))
	}
	next := config.Patch(now.Document, []config.Change{change})
	c.sortProblems(e, next, id, config.Validate(next))
	if len(e.errors) > 0 || len(e.other) > 0 {
		return nil
	}
	plan, err := c.service.Plan(now, next, c.inUse())
	e.plan = plan
	return err
}

// hashFor returns the hash of a key that stands, or makes a new key.
func (c *Console) hashFor(e *edited, d *config.Document, id string) string {
	if e.section.Name != config.SectionKeys {
		return ""
	}
	for _, k := range d.Keys {
		if k.ID == id {
			return k.Hash
		}
	}
	key, hash := admin.NewKey(c.secret)
	e.newKey = key
	return hash
}

// sortProblems puts each problem at its field, or under the form.
func (c *Console) sortProblems(e *edited, next *config.Document, id string, problems []config.Problem) {
	prefix := "\x00"
	for i, x := range entries(next, e.section.Name) {
		if x.Identity() == id {
			prefix = string(e.section.Name) + "[" + strconv.Itoa(i) + "]."
		}
	}
	for _, p := range problems {
		field, mine := strings.CutPrefix(p.Path, prefix)
		if !mine {
			e.other = append(e.other, p)
			continue
		}
		field, _, _ = strings.Cut(field, "[")
		if field == "path" || field == "hash" {
			field = "id"
		}
		if e.errors[field] == "" {
			e.errors[field] = p.Why
		}
	}
}

// form is the body of the page with a form.
type form struct {
	Section section
	New     bool
	From    uint64
	Values  values
	Errors  map[string]string
	Other   []config.Problem
}

func (c *Console) edit(ctx *fasthttp.RequestCtx, who session) {
	call, cancel := within()
	defer cancel()
	s := sectionOf(ctx.UserValue("section").(string))
	if s == nil {
		c.fail(ctx, who, admin.Invalid.New("no such list"))
		return
	}
	now, err := c.service.Load(call)
	if err != nil {
		c.fail(ctx, who, err)
		return
	}
	f := form{Section: *s, New: true, From: now.Head.Version, Values: values{}}
	id := string(ctx.QueryArgs().Peek("id"))
	for _, e := range entries(now.Document, s.Name) {
		if e.Identity() == id {
			f.New, f.Values = false, formValues(e)
		}
	}
	c.render(ctx, fasthttp.StatusOK, "edit", s.Title, who, f)
}

// confirmation is the body of the page that asks whether a change is meant.
type confirmation struct {
	Section  section
	From     uint64
	Op       string
	New      bool
	Values   values
	Changes  []config.Change
	Warnings []config.Warning
}

// preview shows what a form would change.
func (c *Console) preview(ctx *fasthttp.RequestCtx, who session) {
	call, cancel := within()
	defer cancel()
	e, err := c.read(call, ctx)
	if err != nil {
		c.fail(ctx, who, err)
		return
	}
	if e.plan == nil {
		c.again(ctx, who, e)
		return
	}
	c.render(ctx, fasthttp.StatusOK, "confirm", "Confirm", who, confirmation{
		Section:  *e.section,
		From:     e.from,
		Op:       e.op,
		New:      e.isNew,
		Values:   e.values,
		Changes:  shownChanges(e),
		Warnings: e.plan.Warnings,
	})
}

// shownChanges leaves out the hash of a key that is made only on acceptance.
func shownChanges(e *edited) []config.Change {
	out := slices.Clone(e.plan.Changes)
	for i := range out {
		if e.newKey == "" {
			break
		}
		fields := slices.Clone(out[i].Fields)
		out[i].Fields = slices.DeleteFunc(fields, func(f config.FieldChange) bool { return f.Name == "hash" })
	}
	return out
}

// again shows a form with its errors.
func (c *Console) again(ctx *fasthttp.RequestCtx, who session, e *edited) {
	c.render(ctx, fasthttp.StatusUnprocessableEntity, "edit", e.section.Title, who, form{
		Section: *e.section,
		New:     e.isNew,
		From:    e.from,
		Values:  e.values,
		Errors:  e.errors,
		Other:   e.other,
	})
}

// done is the body of the page after an acceptance.
type done struct {
	Version uint64
	Key     string
	Changes []config.Change
	Section section
}

// apply makes a confirmed change the accepted configuration.
func (c *Console) apply(ctx *fasthttp.RequestCtx, who session) {
	call, cancel := within()
	defer cancel()
	e, err := c.read(call, ctx)
	if err != nil {
		c.fail(ctx, who, err)
		return
	}
	if e.plan == nil {
		c.again(ctx, who, e)
		return
	}
	h, err := c.service.Apply(call, admin.Operator{Name: who.operator, Via: "console"}, e.plan)
	if err != nil {
		c.fail(ctx, who, err)
		return
	}
	c.render(ctx, fasthttp.StatusOK, "done", "Accepted", who, done{Version: h.Version, Key: e.newKey, Changes: e.plan.Changes, Section: *e.section})
}
