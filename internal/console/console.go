// Package console is the operators' page of forms. Any host serves it. Every
// change leaves it as one validated document, after a page that shows what
// differs and what would break.
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

// Root is the path that the console is served under.
const Root = "/console"

// callTimeout bounds the object API calls of one page.
const callTimeout = 10 * time.Second

//go:embed templates/*.html
var files embed.FS

// Options of a console.
type Options struct {
	Service   *admin.Service
	Operators *admin.Operators
	Secret    []byte                   // the deployment's key, the same on every host
	InUse     func() []core.AdapterRef // versions that requests named of late; may be nil
	Now       func() time.Time         // nil: time.Now
}

// Console answers operators.
type Console struct {
	service   *admin.Service
	operators *admin.Operators
	secret    []byte
	inUse     func() []core.AdapterRef
	now       func() time.Time
	pages     map[string]*template.Template
}

// New returns a console.
func New(o Options) *Console {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.InUse == nil {
		o.InUse = func() []core.AdapterRef { return nil }
	}
	c := &Console{
		service:   o.Service,
		operators: o.Operators,
		secret:    o.Secret,
		inUse:     o.InUse,
		now:       o.Now,
		pages:     map[string]*template.Template{},
	}
	for _, name := range []string{"login", "list", "edit", "confirm", "done", "audit", "failed"} {
		c.pages[name] = template.Must(template.ParseFS(files, "templates/layout.html", "templates/"+name+".html"))
	}
	return c
}

// Register adds the console's paths to a host's router.
func Register(r *router.Router, c *Console) {
	r.GET(Root, c.signedIn(c.home))
	r.GET(Root+"/login", c.loginForm)
	r.POST(Root+"/login", c.login)
	r.POST(Root+"/logout", c.signedIn(c.logout))
	r.GET(Root+"/audit", c.signedIn(c.audit))
	r.GET(Root+"/list/{section}", c.signedIn(c.list))
	r.GET(Root+"/edit/{section}", c.signedIn(c.edit))
	r.POST(Root+"/preview/{section}", c.signedIn(c.preview))
	r.POST(Root+"/apply/{section}", c.signedIn(c.apply))
}

// page is what every template gets.
type page struct {
	Title    string
	Operator string
	CSRF     string
	Sections []section
	Body     any
}

// render writes a page. Nothing on it may come from elsewhere or be framed.
func (c *Console) render(ctx *fasthttp.RequestCtx, status int, name, title string, who session, body any) {
	h := &ctx.Response.Header
	h.SetContentType("text/html; charset=utf-8")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("Cache-Control", "no-store")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("X-Content-Type-Options", "nosniff")
	ctx.SetStatusCode(status)
	p := page{Title: title, Operator: who.operator, CSRF: who.csrf, Sections: sections, Body: body}
	if err := c.pages[name].ExecuteTemplate(ctx, "layout", p); err != nil {
		ctx.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// failure is the body of the page for a change that was not made.
type failure struct {
	Text   string
	Detail string
	Again  bool // loading the form anew helps
}

// fail shows an error with what the operator can do about it.
func (c *Console) fail(ctx *fasthttp.RequestCtx, who session, err error) {
	status, f := fasthttp.StatusInternalServerError, failure{Text: "That did not work.", Detail: err.Error()}
	switch {
	case admin.Conflict.Has(err):
		status = fasthttp.StatusConflict
		f = failure{Text: "Another operator was first. Nothing was changed.", Detail: err.Error(), Again: true}
	case admin.Invalid.Has(err):
		status = fasthttp.StatusUnprocessableEntity
		f.Text = "The change is not valid. Nothing was changed."
	case admin.InDoubt.Has(err):
		status = fasthttp.StatusBadGateway
		f = failure{Text: "Nobody knows yet whether the change was accepted. Look at the audit trail before you try again.", Detail: err.Error()}
	case admin.Unavailable.Has(err):
		status = fasthttp.StatusServiceUnavailable
		f = failure{Text: "The platform's object API does not answer. Nothing was changed; serving goes on.", Detail: err.Error(), Again: true}
	}
	c.render(ctx, status, "failed", "Not done", who, f)
}

// within gives a handler a context for its object API calls.
func within() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

func (c *Console) home(ctx *fasthttp.RequestCtx, _ session) {
	ctx.Redirect(Root+"/list/"+string(config.SectionWorkspaces), fasthttp.StatusSeeOther)
}
