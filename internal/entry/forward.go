package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/upstream"
)

// forwardedHeaders are the only header fields of a caller that reach an upstream.
// Credentials (Authorization, X-Api-Key, Cookie, ...) must not be among them.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent"}

// minSecretBytes is the length of the shortest key that containsKey searches for. A
// shorter one could match by chance.
const minSecretBytes = 8

// forwardHeaders returns the header fields to send to the upstream.
func forwardHeaders(ctx *fasthttp.RequestCtx) []upstream.Header {
	var headers []upstream.Header
	for _, name := range forwardedHeaders {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			headers = append(headers, upstream.Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

// containsKey reports whether a part of the request that is sent upstream contains the
// caller's key.
func containsKey(ctx *fasthttp.RequestCtx, key string) bool {
	if len(key) < minSecretBytes {
		return false
	}
	secret := []byte(key)
	if bytes.Contains(ctx.Request.Body(), secret) || bytes.Contains(ctx.RequestURI(), secret) || bytes.Contains(ctx.Path(), secret) {
		return true
	}
	for _, name := range forwardedHeaders {
		if bytes.Contains(ctx.Request.Header.Peek(name), secret) {
			return true
		}
	}
	return false
}
