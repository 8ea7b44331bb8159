package entry

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/exposition"
)

// Status is what a host knows about itself and the fleet. Its methods are
// called from many goroutines.
type Status interface {
	// Ready reports whether the host serves, and if not why.
	Ready() (ok bool, reason string)
	// Entries tells the holder of a key which hosts to use, near ones first where
	// the caller names its failure domain.
	Entries(keyHash string, near core.Domain) (Entries, *core.Refusal)
	// Models lists what the holder of a key may ask for.
	Models(keyHash string) ([]Model, *core.Refusal)
}

// Entries are the callers' addresses that a caller should use.
type Entries struct {
	Addresses []string      // ip:port, the preferred first
	Keep      time.Duration // how long the answer may be used
}

// Model is one adapter version that a caller may name.
type Model struct {
	ID   string // "adapter" or "adapter@version"
	Base core.BaseModel
}

type entriesBody struct {
	Entries []string `json:"entries"`
	Keep    float64  `json:"keep_seconds"`
}

type modelBody struct {
	ID     string         `json:"id"`
	Object string         `json:"object"`
	Owner  string         `json:"owned_by"`
	Parent core.BaseModel `json:"parent,omitempty"`
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

func (s *Server) healthz(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") }

func (s *Server) readyz(ctx *fasthttp.RequestCtx) {
	if s.status == nil {
		ctx.SetBodyString("ok\n")
		return
	}
	ok, reason := s.status.Ready()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(reason + "\n")
}

func (s *Server) entries(ctx *fasthttp.RequestCtx) {
	near := core.Domain(ctx.QueryArgs().Peek("domain"))
	e, refusal := s.status.Entries(s.keyHash(ctx), near)
	if refusal != nil {
		refuse(ctx, refusal)
		return
	}
	answer(ctx, entriesBody{Entries: e.Addresses, Keep: e.Keep.Seconds()})
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	models, refusal := s.status.Models(s.keyHash(ctx))
	if refusal != nil {
		refuse(ctx, refusal)
		return
	}
	body := modelsBody{Object: "list", Data: make([]modelBody, 0, len(models))}
	for _, m := range models {
		body.Data = append(body.Data, modelBody{ID: m.ID, Object: "model", Owner: "gentiancroft", Parent: m.Base})
	}
	answer(ctx, body)
}

func (s *Server) keyHash(ctx *fasthttp.RequestCtx) string {
	key := credential(ctx)
	if key == "" {
		return ""
	}
	return config.HashKey(s.keySecret, key)
}

func answer(ctx *fasthttp.RequestCtx, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		refuse(ctx, &core.Refusal{Code: core.CodeInternal, Message: "the answer can't be encoded", Ran: core.RanNo})
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// exposition shows the metrics.
func (s *Server) exposition(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(exposition.ContentType)
	ctx.SetBody(exposition.Text(s.metrics.registry))
}
