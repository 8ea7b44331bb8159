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

// A session is a signed cookie, so that every host can check it and none stores it.
const (
	cookieName = "gentiancroft_session"
	sessionTTL = 8 * time.Hour
	nonceBytes = 16
)

// session is the operator who is signed in.
type session struct {
	operator string
	csrf     string // token that every posted form must carry
}

// sign returns the keyed hash of a value for one purpose.
func (c *Console) sign(purpose, value string) string {
	mac := hmac.New(sha256.New, c.secret)
	mac.Write([]byte("console " + purpose + "\n" + value))
	return hex.EncodeToString(mac.Sum(nil))
}

// newCookie returns the value of a new session's cookie: operator, expiry and
// nonce, and a signature over them.
func (c *Console) newCookie(operator string) string {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	until := strconv.FormatInt(c.now().Add(sessionTTL).Unix(), 10)
	value := hex.EncodeToString([]byte(operator)) + "." + until + "." + hex.EncodeToString(nonce[:])
	return value + "." + c.sign("session", value)
}

// parseCookie returns the session of a cookie; false if its signature is wrong, it
// expired or the operator was removed.
func (c *Console) parseCookie(cookie string) (session, bool) {
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
	if err != nil || !c.operators.IsOperator(string(operator)) {
		return session{}, false // no longer an operator
	}
	return session{operator: string(operator), csrf: c.sign("form", cookie)}, true
}

// sessionHandler serves a page to an operator who is signed in.
type sessionHandler func(ctx *fasthttp.RequestCtx, sess session)

// requireSession redirects requests without a session to the sign-in page, and
// refuses posts without the session's CSRF token.
func (c *Console) requireSession(next sessionHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		sess, ok := c.parseCookie(string(ctx.Request.Header.Cookie(cookieName)))
		if !ok {
			ctx.Redirect(RootPath+"/login", fasthttp.StatusSeeOther)
			return
		}
		if ctx.IsPost() && !hmac.Equal(ctx.PostArgs().Peek("csrf"), []byte(sess.csrf)) {
			c.render(ctx, fasthttp.StatusForbidden, "failed", "Request failed", sess, failedBody{Text: "The form is not from this session. Nothing was changed.", Again: true})
			return
		}
		next(ctx, sess)
	}
}

func (c *Console) loginForm(ctx *fasthttp.RequestCtx) {
	c.render(ctx, fasthttp.StatusOK, "login", "Sign in", session{}, "")
}

func (c *Console) login(ctx *fasthttp.RequestCtx) {
	operator, err := c.operators.Authenticate(string(ctx.PostArgs().Peek("key")))
	if err != nil {
		c.render(ctx, fasthttp.StatusForbidden, "login", "Sign in", session{}, "This key belongs to no operator.")
		return
	}
	setCookie(ctx, c.newCookie(operator), int(sessionTTL.Seconds()))
	ctx.Redirect(RootPath, fasthttp.StatusSeeOther)
}

func (c *Console) logout(ctx *fasthttp.RequestCtx, _ session) {
	setCookie(ctx, "", -1)
	ctx.Redirect(RootPath+"/login", fasthttp.StatusSeeOther)
}

func setCookie(ctx *fasthttp.RequestCtx, value string, maxAge int) {
	var k fasthttp.Cookie
	k.SetKey(cookieName)
	k.SetValue(value)
	k.SetPath(RootPath)
	k.SetHTTPOnly(true)
	k.SetSecure(ctx.IsTLS())
	k.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	k.SetMaxAge(maxAge)
	if maxAge < 0 {
		k.SetExpire(fasthttp.CookieExpireDelete)
	}
	ctx.Response.Header.SetCookie(&k)
}
