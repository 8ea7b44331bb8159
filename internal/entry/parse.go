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

// Limits of what a request may set.
const (
	defaultTimeout         = 5 * time.Minute
	minTimeout             = 10 * time.Millisecond
	maxTimeout             = time.Hour
	maxIdempotencyKeyBytes = 255
)

// Header fields with a request's settings and its key.
const (
	headerTimeout     = "X-Request-Timeout" // seconds
	headerIdempotency = "Idempotency-Key"
	headerKey         = "X-Api-Key"
)

// parsedRequest is a well-formed request.
type parsedRequest struct {
	arrival    node.RequestArrived
	completion *completion // nil for a plain service
	body       []byte      // for a plain service
	method     string
	path       string // including the query
	headers    []upstream.Header
}

// upstreamBody returns the body to send to an upstream that runs the given adapter.
func (r *parsedRequest) upstreamBody(adapter core.AdapterRef) []byte {
	if r.completion == nil {
		return r.body
	}
	return r.completion.encode(adapter)
}

// deriveHashKey derives the key of the request hashes from the deployment's secret, so
// that requests with equal hashes can't be constructed without it.
func deriveHashKey(secret []byte) uint64 {
	sum := sha256.Sum256(append([]byte("fingerprint\x00"), secret...))
	return binary.LittleEndian.Uint64(sum[:])
}

// parse checks and parses a request. It returns a refusal if the request is malformed.
func (s *Server) parse(ctx *fasthttp.RequestCtx, id core.RequestID) (*parsedRequest, *core.Refusal) {
	key := credential(ctx)
	if containsKey(ctx, key) {
		return nil, malformed("the key is repeated in the address, the body or a header that is passed on")
	}
	r := &parsedRequest{
		arrival: node.RequestArrived{ID: id, Path: string(ctx.Path())},
		method:  string(ctx.Method()),
		path:    string(ctx.URI().RequestURI()),
		headers: forwardHeaders(ctx),
	}
	if key != "" {
		r.arrival.KeyHash = config.HashKey(s.keySecret, key)
	}
	if refusal := r.parseHeaders(ctx); refusal != nil {
		return nil, refusal
	}
	if isCompletion(r) {
		return r, s.parseCompletionRequest(r, ctx)
	}
	r.body = ctx.Request.Body()
	r.arrival.BodyHash = core.Fingerprint(s.hashKey, r.method, r.path, string(r.body))
	r.arrival.Fingerprint = r.arrival.BodyHash
	return r, nil
}

// parseCompletionRequest parses the body of a completion request and hashes its parts.
func (s *Server) parseCompletionRequest(r *parsedRequest, ctx *fasthttp.RequestCtx) *core.Refusal {
	c, refusal := parseCompletion(ctx.Request.Body())
	if refusal != nil {
		return refusal
	}
	a := &r.arrival
	r.completion = c
	a.Model = c.model
	a.PromptTokens = c.promptTokens
	a.MaxTokens = c.maxTokens
	a.Fingerprint = core.Fingerprint(s.hashKey, append(c.semanticParts(), a.Path)...)
	a.BodyHash = core.Fingerprint(s.hashKey, a.Path, string(ctx.Request.Body()))
	a.PrefixHash = core.Fingerprint(s.hashKey, c.prefixParts()...)
	return nil
}

func isCompletion(r *parsedRequest) bool {
	return r.method == fasthttp.MethodPost && strings.HasSuffix(r.arrival.Path, "/completions")
}

func (r *parsedRequest) parseHeaders(ctx *fasthttp.RequestCtx) *core.Refusal {
	switch r.method {
	case fasthttp.MethodGet, fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch, fasthttp.MethodDelete:
	default:
		return malformed("method " + strconv.Quote(r.method) + " is not served")
	}
	if len(ctx.Request.Header.ContentEncoding()) > 0 {
		return malformed("an encoded body is not served")
	}
	r.arrival.IdempotencyKey = string(ctx.Request.Header.Peek(headerIdempotency))
	if len(r.arrival.IdempotencyKey) > maxIdempotencyKeyBytes {
		return malformed(headerIdempotency + " is too long")
	}
	r.arrival.Timeout = defaultTimeout
	value := string(ctx.Request.Header.Peek(headerTimeout))
	if value == "" {
		return nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds >= minTimeout.Seconds() && seconds <= maxTimeout.Seconds()) {
		return malformed(headerTimeout + " is not a number of seconds from 0.01 to 3600")
	}
	r.arrival.Timeout = time.Duration(seconds * float64(time.Second))
	return nil
}

// credential returns the caller's key from the Authorization or X-Api-Key header, or ""
// if it sent none.
func credential(ctx *fasthttp.RequestCtx) string {
	const scheme = "bearer "
	value := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(value) > len(scheme) && strings.EqualFold(value[:len(scheme)], scheme) {
		return value[len(scheme):]
	}
	return string(ctx.Request.Header.Peek(headerKey))
}
