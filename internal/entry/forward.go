package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/upstream"
)

// forwarded are the only header fields that reach an upstream. Credentials
// (Authorization, X-Api-Key, Cookie, ...) are not among them.
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent"}

// leastSecret is the shortest key that is looked for in what goes upstream; a
// shorter one would be found by chance.
const leastSecret = 8 // bytes

func forwardHeaders(ctx *fasthttp.RequestCtx) []upstream.Header {
	var headers []upstream.Header
	for _, name := range forwarded {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			headers = append(headers, upstream.Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

// leaks reports whether the caller repeats its key where it would go upstream.
func leaks(ctx *fasthttp.RequestCtx, key string) bool {
	if len(key) < leastSecret {
		return false
	}
	secret := []byte(key)
	if bytes.Contains(ctx.Request.Body(), secret) || bytes.Contains(ctx.RequestURI(), secret) || bytes.Contains(ctx.Path(), secret) {
		return true
	}
	for _, name := range forwarded {
		if bytes.Contains(ctx.Request.Header.Peek(name), secret) {
			return true
		}
	}
	return false
}
