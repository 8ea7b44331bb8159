package console

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/admin"
	"gentiancroft/internal/core/config"
)

// Rows on one page.
const (
	listRows  = 100
	auditRows = 50
)

// listing is the body of the page with a list.
type listing struct {
	Section section
	Version uint64
	Query   string
	Columns []string
	Rows    []config.Entry
	Total   int
	Next    int // offset of the next page; 0: none
}

func (c *Console) list(ctx *fasthttp.RequestCtx, who session) {
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
	l := listing{Section: *s, Version: now.Head.Version, Query: string(ctx.QueryArgs().Peek("q"))}
	all := matching(entries(now.Document, s.Name), l.Query)
	l.Total = len(all)
	from := min(max(ctx.QueryArgs().GetUintOrZero("from"), 0), len(all))
	to := min(from+listRows, len(all))
	l.Rows = all[from:to]
	if to < len(all) {
		l.Next = to
	}
	if len(l.Rows) > 0 {
		for _, f := range l.Rows[0].Fields() {
			l.Columns = append(l.Columns, f.Name)
		}
	}
	c.render(ctx, fasthttp.StatusOK, "list", s.Title, who, l)
}

// matching keeps the entries whose identity or workspace holds a text.
func matching(all []config.Entry, query string) []config.Entry {
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

// trail is the body of the audit page.
type trail struct {
	Records []admin.Record
	Before  uint64 // newest version of the next page; 0: none
}

func (c *Console) audit(ctx *fasthttp.RequestCtx, who session) {
	call, cancel := within()
	defer cancel()
	to, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("to")), 10, 64)
	if err != nil {
		now, err := c.service.Load(call)
		if err != nil {
			c.fail(ctx, who, err)
			return
		}
		to = now.Head.Version
	}
	from := to - min(to, auditRows) + 1
	records, err := c.service.History(call, from, to)
	if err != nil {
		c.fail(ctx, who, err)
		return
	}
	t := trail{Records: records}
	if from > 1 && len(records) > 0 {
		t.Before = from - 1
	}
	c.render(ctx, fasthttp.StatusOK, "audit", "Audit trail", who, t)
}
