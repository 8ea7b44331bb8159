package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/upstream"
)

// Bounds on a request's own settings.
const (
	defaultTimeout      = 5 * time.Minute
	leastTimeout        = 10 * time.Millisecond
	mostTimeout         = time.Hour
	maxIdempotencyBytes = 255
)

// Header fields that steer a request.
const (
	headerTimeout     = "X-Request-Timeout" // seconds
	headerIdempotency = "Idempotency-Key"
	headerKey         = "X-Api-Key"
)

// inbound is a request that was found well-formed.
type inbound struct {
	arrive     node.Arrive
	completion *completion // nil for a plain service
	body       []byte      // of a plain service
	method     string
	path       string // with the query
	headers    []upstream.Header
}

// sent is the body for an upstream.
func (r *inbound) sent(adapter core.AdapterRef) []byte {
	if r.completion == nil {
		return r.body
	}
	return r.completion.encode(adapter)
}

// fingerprintKey derives the key of request hashes, so that no one outside the
// deployment can make requests with equal hashes on purpose.
func fingerprintKey(secret []byte) uint64 {
	sum := sha256.Sum256(append([]byte("fingerprint\x00"), secret...))
	return binary.LittleEndian.Uint64(sum[:])
}

// parse turns a request into an arrival, or says why it is malformed.
func (s *Server) parse(ctx *fasthttp.RequestCtx, id core.RequestID) (*inbound, *core.Refusal) {
	key := credential(ctx)
	if leaks(ctx, key) {
		return nil, malformed("the key is repeated in the address, the body or a header that is passed on")
	}
	r := &inbound{
		arrive:  node.Arrive{ID: id, Path: string(ctx.Path())},
		method:  string(ctx.Method()),
		path:    string(ctx.URI().RequestURI()),
		headers: forwardHeaders(ctx),
	}
	if key != "" {
		r.arrive.KeyHash = config.HashKey(s.keySecret, key)
	}
	if refusal := r.parseHeaders(ctx); refusal != nil {
		return nil, refusal
	}
	if isCompletion(r) {
		return r, s.parseEngine(r, ctx)
	}
	r.body = ctx.Request.Body()
	r.arrive.Body = core.Fingerprint(s.hashKey, r.method, r.path, string(r.body))
	r.arrive.Fingerprint = r.arrive.Body
	return r, nil
}

func (s *Server) parseEngine(r *inbound, ctx *fasthttp.RequestCtx) *core.Refusal {
	c, refusal := parseCompletion(ctx.Request.Body())
	if refusal != nil {
		return refusal
	}
	a := &r.arrive
	r.completion = c
	a.Model = c.model
	a.Prompt = c.tokens
	a.MaxTokens = c.maxTokens
	a.Fingerprint = core.Fingerprint(s.hashKey, append(c.deciding(), a.Path)...)
	a.Body = core.Fingerprint(s.hashKey, a.Path, string(ctx.Request.Body()))
	a.Prefix = core.Fingerprint(s.hashKey, c.head()...)
	return nil
}

func isCompletion(r *inbound) bool {
	return r.method == fasthttp.MethodPost && strings.HasSuffix(r.arrive.Path, "/completions")
}

func (r *inbound) parseHeaders(ctx *fasthttp.RequestCtx) *core.Refusal {
	switch r.method {
	case fasthttp.MethodGet, fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch, fasthttp.MethodDelete:
	default:
		return malformed("method " + strconv.Quote(r.method) + " is not served")
	}
	if len(ctx.Request.Header.ContentEncoding()) > 0 {
		return malformed("an encoded body is not served")
	}
	r.arrive.IdempotencyKey = string(ctx.Request.Header.Peek(headerIdempotency))
	if len(r.arrive.IdempotencyKey) > maxIdempotencyBytes {
		return malformed(headerIdempotency + " is too long")
	}
	r.arrive.Timeout = defaultTimeout
	value := string(ctx.Request.Header.Peek(headerTimeout))
	if value == "" {
		return nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds >= leastTimeout.Seconds() && seconds <= mostTimeout.Seconds()) {
		return malformed(headerTimeout + " is not a number of seconds from 0.01 to 3600")
	}
	r.arrive.Timeout = time.Duration(seconds * float64(time.Second))
	return nil
}

// credential is the caller's key, "" where it sent none.
func credential(ctx *fasthttp.RequestCtx) string {
	const scheme = "bearer "
	value := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(value) > len(scheme) && strings.EqualFold(value[:len(scheme)], scheme) {
		return value[len(scheme):]
	}
	return string(ctx.Request.Header.Peek(headerKey))
}
