package console

import (
	"context"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/admin"
	"gentiancroft/internal/core/config"
)

// Rows per page.
const (
	listPageSize  = 100
	auditPageSize = 50
)

// listBody is the body of the page with a list.
type listBody struct {
	Section section
	Version uint64
	Query   string
	Columns []string
	Rows    []config.Entry
	Total   int
	Next    int // offset of the next page; 0: none
}

// loadSection returns the section that the request's path names, and the configuration that it
// is read from.
func (c *Console) loadSection(callCtx context.Context, ctx *fasthttp.RequestCtx) (*section, *admin.AcceptedConfiguration, error) {
	s := findSection(ctx.UserValue("section").(string))
	if s == nil {
		return nil, nil, admin.Invalid.New("no such list")
	}
	current, err := c.service.Load(callCtx)
	return s, current, err
}

func (c *Console) list(ctx *fasthttp.RequestCtx, sess session) {
	callCtx, cancel := callContext()
	defer cancel()
	s, current, err := c.loadSection(callCtx, ctx)
	if err != nil {
		c.fail(ctx, sess, err)
		return
	}
	l := listBody{Section: *s, Version: current.Head.Version, Query: string(ctx.QueryArgs().Peek("q"))}
	all := filterEntries(sectionEntries(current.Document, s.Name), l.Query)
	l.Total = len(all)
	from := min(max(ctx.QueryArgs().GetUintOrZero("from"), 0), len(all))
	to := min(from+listPageSize, len(all))
	l.Rows = all[from:to]
	if to < len(all) {
		l.Next = to
	}
	if len(l.Rows) > 0 {
		for _, f := range l.Rows[0].Fields() {
			l.Columns = append(l.Columns, f.Name)
		}
	}
	c.render(ctx, fasthttp.StatusOK, "list", s.Title, sess, l)
}

// filterEntries returns the entries whose identity or workspaces contain a text.
func filterEntries(all []config.Entry, query string) []config.Entry {
	if query == "" {
		return all
	}
	var out []config.Entry
	for _, e := range all {
		hit := strings.Contains(e.Identity(), query)
		for _, f := range e.Fields() {
			hit = hit || (strings.HasPrefix(f.Name, "workspace") && strings.Contains(f.Value, query))
		}
		if hit {
			out = append(out, e)
		}
	}
	return out
}

// auditBody is the body of the audit page.
type auditBody struct {
	Records []admin.Record
	Before  uint64 // newest version of the next page; 0: none
}

func (c *Console) audit(ctx *fasthttp.RequestCtx, sess session) {
	callCtx, cancel := callContext()
	defer cancel()
	to, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("to")), 10, 64)
	if err != nil {
		current, err := c.service.Load(callCtx)
		if err != nil {
			c.fail(ctx, sess, err)
			return
		}
		to = current.Head.Version
	}
	from := to - min(to, auditPageSize) + 1
	records, err := c.service.History(callCtx, from, to)
	if err != nil {
		c.fail(ctx, sess, err)
		return
	}
	t := auditBody{Records: records}
	if from > 1 && len(records) > 0 {
		t.Before = from - 1
	}
	c.render(ctx, fasthttp.StatusOK, "audit", "Audit trail", sess, t)
}
