// Package console serves the operators' web pages, on every host: lists, forms
// and the audit trail of the configuration. A posted form becomes one validated
// document; a page shows its differences and warnings before it is applied.
// Loading, planning and applying are left to package admin.
package console

import (
	"context"
	"embed"
	"html/template"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/admin"
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// RootPath is the path prefix of the console.
const RootPath = "/console"

// callTimeout bounds the object API calls of one page.
const callTimeout = 10 * time.Second

//go:embed templates/*.html
var templateFiles embed.FS

// Options of a console.
type Options struct {
	Service        *admin.Service
	Operators      *admin.Operators
	Secret         []byte                   // the deployment's key, the same on every host
	RecentAdapters func() []core.AdapterRef // adapter versions in recent requests; may be nil
	Now            func() time.Time         // nil: time.Now
}

// Console serves the operators' pages.
type Console struct {
	service   *admin.Service
	operators *admin.Operators
	secret    []byte
	inUse     func() []core.AdapterRef
	now       func() time.Time
	pages     map[string]*template.Template
}

// New returns a console. It panics if an embedded template is not valid.
func New(o Options) *Console {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RecentAdapters == nil {
		o.RecentAdapters = func() []core.AdapterRef { return nil }
	}
	c := &Console{
		service:   o.Service,
		operators: o.Operators,
		secret:    o.Secret,
		inUse:     o.RecentAdapters,
		now:       o.Now,
		pages:     map[string]*template.Template{},
	}
	for _, name := range []string{"login", "list", "edit", "confirm", "done", "audit", "failed"} {
		c.pages[name] = template.Must(template.ParseFS(templateFiles, "templates/layout.html", "templates/"+name+".html"))
	}
	return c
}

// Register adds the console's paths to a host's router.
func Register(r *router.Router, c *Console) {
	r.GET(RootPath, c.requireSession(c.home))
	r.GET(RootPath+"/login", c.loginForm)
	r.POST(RootPath+"/login", c.login)
	r.POST(RootPath+"/logout", c.requireSession(c.logout))
	r.GET(RootPath+"/audit", c.requireSession(c.audit))
	r.GET(RootPath+"/list/{section}", c.requireSession(c.list))
	r.GET(RootPath+"/edit/{section}", c.requireSession(c.edit))
	r.POST(RootPath+"/preview/{section}", c.requireSession(c.preview))
	r.POST(RootPath+"/apply/{section}", c.requireSession(c.apply))
}

// page is the data of every template.
type page struct {
	Title    string
	Operator string
	CSRF     string
	Sections []section
	Body     any
}

// render writes a page. Its headers forbid framing, caching and content from other
// sources.
func (c *Console) render(ctx *fasthttp.RequestCtx, status int, name, title string, sess session, body any) {
	h := &ctx.Response.Header
	h.SetContentType("text/html; charset=utf-8")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("Cache-Control", "no-store")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("X-Content-Type-Options", "nosniff")
	ctx.SetStatusCode(status)
	p := page{Title: title, Operator: sess.operator, CSRF: sess.csrf, Sections: sections, Body: body}
	if err := c.pages[name].ExecuteTemplate(ctx, "layout", p); err != nil {
		ctx.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// failedBody is the body of the page for a request that failed.
type failedBody struct {
	Text   string
	Detail string
	Again  bool // offer to start again from the accepted configuration
}

// fail shows an error and what the operator can do about it.
func (c *Console) fail(ctx *fasthttp.RequestCtx, sess session, err error) {
	status, f := fasthttp.StatusInternalServerError, failedBody{Text: "The request failed.", Detail: err.Error()}
	switch {
	case admin.Conflict.Has(err):
		status = fasthttp.StatusConflict
		f = failedBody{Text: "Another operator was first. Nothing was changed.", Detail: err.Error(), Again: true}
	case admin.Invalid.Has(err):
		status = fasthttp.StatusUnprocessableEntity
		f.Text = "The change is not valid. Nothing was changed."
	case admin.ResultUnknown.Has(err):
		status = fasthttp.StatusBadGateway
		f = failedBody{Text: "Nobody knows yet whether the change was accepted. Look at the audit trail before you try again.", Detail: err.Error()}
	case admin.Unavailable.Has(err):
		status = fasthttp.StatusServiceUnavailable
		f = failedBody{Text: "The platform's object API does not answer. Nothing was changed; serving goes on.", Detail: err.Error(), Again: true}
	}
	c.render(ctx, status, "failed", "Request failed", sess, f)
}

// callContext returns a context for the object API calls of one page.
func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

func (c *Console) home(ctx *fasthttp.RequestCtx, _ session) {
	ctx.Redirect(RootPath+"/list/"+string(config.SectionWorkspaces), fasthttp.StatusSeeOther)
}
