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

// Operations of a form, as its buttons send them.
const (
	opPut    = "put"
	opRemove = "remove"
)

// formEdit is the change that a posted form describes.
type formEdit struct {
	section       *section
	values        formValues
	op            string
	isNew         bool              // the form adds an entry
	baseVersion   uint64            // configuration version that the form was filled from
	newKey        string            // shown once, after the change is accepted
	plan          *admin.Plan       // nil if there are errors
	errors        map[string]string // by field
	otherProblems []config.Problem  // problems elsewhere in the document
}

// readForm reads a posted form and plans its change.
func (c *Console) readForm(callCtx context.Context, ctx *fasthttp.RequestCtx) (*formEdit, error) {
	s := findSection(ctx.UserValue("section").(string))
	if s == nil {
		return nil, admin.Invalid.New("no such list")
	}
	e := &formEdit{section: s, values: formValues{}, errors: map[string]string{}}
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
	e.baseVersion = from
	current, err := c.service.Load(callCtx)
	if err != nil {
		return nil, err
	}
	if err := c.service.CheckBaseVersion(callCtx, current, from); err != nil {
		return nil, err
	}
	return e, c.planEdit(e, current)
}

// planEdit validates the whole document that a form results in. It sets the plan,
// or the errors to show.
func (c *Console) planEdit(e *formEdit, current *admin.AcceptedConfiguration) error {
	id := strings.TrimSpace(e.values["id"])
	if e.isNew && slices.ContainsFunc(sectionEntries(current.Document, e.section.Name), func(x config.Entry) bool { return x.Identity() == id }) {
		e.errors["id"] = "already exists"
		return nil
	}
	change := config.Change{Section: e.section.Name, ID: id}
	if e.op == opPut {
		r := formReader{values: e.values, errors: e.errors}
		change.After = r.entry(e.section.Name, c.keyHash(e, current.Document, id))
	}
	next := config.Patch(current.Document, []config.Change{change})
	c.assignProblems(e, next, id, config.Validate(next))
	if len(e.errors) > 0 || len(e.otherProblems) > 0 {
		return nil
	}
	plan, err := c.service.Plan(current, next, c.inUse())
	e.plan = plan
	return err
}

// keyHash returns the hash of an existing key, or makes a new key. It returns ""
// for entries other than keys.
func (c *Console) keyHash(e *formEdit, d *config.Document, id string) string {
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

// assignProblems assigns each problem to its form field, or to otherProblems.
func (c *Console) assignProblems(e *formEdit, next *config.Document, id string, problems []config.Problem) {
	prefix := "\x00"
	for i, x := range sectionEntries(next, e.section.Name) {
		if x.Identity() == id {
			prefix = string(e.section.Name) + "[" + strconv.Itoa(i) + "]."
		}
	}
	for _, p := range problems {
		field, mine := strings.CutPrefix(p.Path, prefix)
		if !mine {
			e.otherProblems = append(e.otherProblems, p)
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

// editBody is the body of the page with a form.
type editBody struct {
	Section section
	New     bool
	From    uint64
	Values  formValues
	Errors  map[string]string
	Other   []config.Problem
}

func (c *Console) edit(ctx *fasthttp.RequestCtx, sess session) {
	callCtx, cancel := callContext()
	defer cancel()
	s, current, err := c.loadSection(callCtx, ctx)
	if err != nil {
		c.fail(ctx, sess, err)
		return
	}
	f := editBody{Section: *s, New: true, From: current.Head.Version, Values: formValues{}}
	id := string(ctx.QueryArgs().Peek("id"))
	for _, e := range sectionEntries(current.Document, s.Name) {
		if e.Identity() == id {
			f.New, f.Values = false, entryValues(s, e)
		}
	}
	c.render(ctx, fasthttp.StatusOK, "edit", s.Title, sess, f)
}

// confirmBody is the body of the page that asks the operator to confirm a change.
type confirmBody struct {
	Section  section
	From     uint64
	Op       string
	New      bool
	Values   formValues
	Changes  []config.Change
	Warnings []config.Warning
}

// preview shows what a form would change.
func (c *Console) preview(ctx *fasthttp.RequestCtx, sess session) {
	callCtx, cancel := callContext()
	defer cancel()
	e := c.readValidForm(callCtx, ctx, sess)
	if e == nil {
		return
	}
	c.render(ctx, fasthttp.StatusOK, "confirm", "Confirm", sess, confirmBody{
		Section:  *e.section,
		From:     e.baseVersion,
		Op:       e.op,
		New:      e.isNew,
		Values:   e.values,
		Changes:  displayedChanges(e),
		Warnings: e.plan.Warnings,
	})
}

// displayedChanges leaves out the hash of a new key: the key is made again when the
// change is applied.
func displayedChanges(e *formEdit) []config.Change {
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

// readValidForm reads a form. It answers the request itself and returns nil where the form
// can't be read or has errors.
func (c *Console) readValidForm(callCtx context.Context, ctx *fasthttp.RequestCtx, sess session) *formEdit {
	e, err := c.readForm(callCtx, ctx)
	if err != nil {
		c.fail(ctx, sess, err)
		return nil
	}
	if e.plan == nil {
		c.showErrors(ctx, sess, e)
		return nil
	}
	return e
}

// showErrors shows a form again with its errors.
func (c *Console) showErrors(ctx *fasthttp.RequestCtx, sess session, e *formEdit) {
	c.render(ctx, fasthttp.StatusUnprocessableEntity, "edit", e.section.Title, sess, editBody{
		Section: *e.section,
		New:     e.isNew,
		From:    e.baseVersion,
		Values:  e.values,
		Errors:  e.errors,
		Other:   e.otherProblems,
	})
}

// doneBody is the body of the page after a change was accepted.
type doneBody struct {
	Version uint64
	Key     string
	Changes []config.Change
	Section section
}

// apply applies a confirmed change.
func (c *Console) apply(ctx *fasthttp.RequestCtx, sess session) {
	callCtx, cancel := callContext()
	defer cancel()
	e := c.readValidForm(callCtx, ctx, sess)
	if e == nil {
		return
	}
	h, err := c.service.Apply(callCtx, admin.Operator{Name: sess.operator, Via: "console"}, e.plan)
	if err != nil {
		c.fail(ctx, sess, err)
		return
	}
	c.render(ctx, fasthttp.StatusOK, "done", "Accepted", sess, doneBody{Version: h.Version, Key: e.newKey, Changes: e.plan.Changes, Section: *e.section})
}
