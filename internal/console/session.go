package console

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// A session is a signed cookie, so that any host knows it and none keeps it.
const (
	cookieName  = "gentiancroft_session"
	sessionTerm = 8 * time.Hour
	nonceBytes  = 16
)

// session is who is signed in.
type session struct {
	operator string
	csrf     string // must come with every form
}

// sign returns the keyed hash of a value for one purpose.
func (c *Console) sign(purpose, value string) string {
	mac := hmac.New(sha256.New, c.secret)
	mac.Write([]byte("console " + purpose + "\n" + value))
	return hex.EncodeToString(mac.Sum(nil))
}

// newCookie returns the value of a new session's cookie: operator, end and
// nonce, with a signature over them.
func (c *Console) newCookie(operator string) string {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	until := strconv.FormatInt(c.now().Add(sessionTerm).Unix(), 10)
	value := hex.EncodeToString([]byte(operator)) + "." + until + "." + hex.EncodeToString(nonce[:])
	return value + "." + c.sign("session", value)
}

// session returns who a cookie speaks for.
func (c *Console) session(cookie string) (session, bool) {
	i := strings.LastIndexByte(cookie, '.')
	if i < 0 || !hmac.Equal([]byte(cookie[i+1:]), []byte(c.sign("session", cookie[:i]))) {
		return session{}, false
	}
	parts := strings.Split(cookie[:i], ".")
	if len(parts) != 3 {
		return session{}, false
	}
	until, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || c.now().Unix() >= until {
		return session{}, false
	}
	operator, err := hex.DecodeString(parts[0])
	if err != nil || !c.operators.Known(string(operator)) {
		return session{}, false // no longer an operator
	}
	return session{operator: string(operator), csrf: c.sign("form", cookie)}, true
}

// handler is a page for an operator who is signed in.
type handler func(ctx *fasthttp.RequestCtx, who session)

// signedIn lets only operators through, and changes only from the console's own
// forms.
func (c *Console) signedIn(next handler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		who, ok := c.session(string(ctx.Request.Header.Cookie(cookieName)))
		if !ok {
			ctx.Redirect(Root+"/login", fasthttp.StatusSeeOther)
			return
		}
		if ctx.IsPost() && !hmac.Equal(ctx.PostArgs().Peek("csrf"), []byte(who.csrf)) {
			c.render(ctx, fasthttp.StatusForbidden, "failed", "Not done", who, failure{Text: "The form is not from this session. Nothing was changed.", Again: true})
			return
		}
		next(ctx, who)
	}
}

func (c *Console) loginForm(ctx *fasthttp.RequestCtx) {
	c.render(ctx, fasthttp.StatusOK, "login", "Sign in", session{}, "")
}

func (c *Console) login(ctx *fasthttp.RequestCtx) {
	operator, err := c.operators.Check(string(ctx.PostArgs().Peek("key")))
	if err != nil {
		c.render(ctx, fasthttp.StatusForbidden, "login", "Sign in", session{}, "This is no operator's key.")
		return
	}
	setCookie(ctx, c.newCookie(operator), int(sessionTerm.Seconds()))
	ctx.Redirect(Root, fasthttp.StatusSeeOther)
}

func (c *Console) logout(ctx *fasthttp.RequestCtx, _ session) {
	setCookie(ctx, "", -1)
	ctx.Redirect(Root+"/login", fasthttp.StatusSeeOther)
}

func setCookie(ctx *fasthttp.RequestCtx, value string, maxAge int) {
	var k fasthttp.Cookie
	k.SetKey(cookieName)
	k.SetValue(value)
	k.SetPath(Root)
	k.SetHTTPOnly(true)
	k.SetSecure(ctx.IsTLS())
	k.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	k.SetMaxAge(maxAge)
	if maxAge < 0 {
		k.SetExpire(fasthttp.CookieExpireDelete)
	}
	ctx.Response.Header.SetCookie(&k)
}
