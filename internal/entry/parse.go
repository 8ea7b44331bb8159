package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/node"
)

const (
	bytesPerToken    = 4 // estimate of a prompt's tokens from its bytes
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
	defaultTimeout   = 5 * time.Minute
)

// completion is the part of an OpenAI-compatible body that decides something.
type completion struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// parse turns a request into an arrival, or says why it is malformed.
func (s *Server) parse(ctx *fasthttp.RequestCtx, id core.RequestID) (node.Arrive, *core.Refusal) {
	a := node.Arrive{
		ID:             id,
		Path:           string(ctx.Path()),
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Timeout:        defaultTimeout,
	}
	if key := bearer(ctx); key != "" {
		a.KeyHash = config.HashKey(s.keySecret, key)
	}
	a.Fingerprint = core.Fingerprint(0, a.Path, string(ctx.Request.Body()))
	a.Body = a.Fingerprint
	if !strings.HasPrefix(a.Path, "/v1/") {
		return a, nil
	}
	var c completion
	if err := json.Unmarshal(ctx.Request.Body(), &c); err != nil {
		return a, core.Refuse(core.CodeBadRequest, 0, "the body is not a JSON object of a completion")
	}
	if c.Model == "" {
		return a, core.Refuse(core.CodeBadRequest, 0, "model is missing")
	}
	a.Model = c.Model
	a.MaxTokens = defaultMaxTokens
	if c.MaxTokens != nil {
		if *c.MaxTokens < 1 || *c.MaxTokens > maxMaxTokens {
			return a, core.Refuse(core.CodeBadRequest, 0, "max_tokens is out of range")
		}
		a.MaxTokens = core.Tokens(*c.MaxTokens)
	}
	a.Prompt = core.Tokens((len(c.Prompt)+len(c.Messages))/bytesPerToken) + 1
	return a, nil
}

func bearer(ctx *fasthttp.RequestCtx) string {
	const scheme = "Bearer "
	value := string(ctx.Request.Header.Peek("Authorization"))
	if !strings.HasPrefix(value, scheme) {
		return ""
	}
	return value[len(scheme):]
}
