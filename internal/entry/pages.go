package entry

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/exposition"
)

// Status gives the state of the host and the fleet. Its methods are called from many
// goroutines.
type Status interface {
	// Ready reports whether the host serves requests, and if not, the reason.
	Ready() (ok bool, reason string)
	// Entries returns the hosts that the caller with a key should use. If near is not
	// empty, hosts in that failure domain come first.
	Entries(keyHash string, near core.Domain) (Entries, *core.Refusal)
	// Models returns the models that the caller with a key may use.
	Models(keyHash string) ([]Model, *core.Refusal)
}

// Entries are the addresses of hosts that a caller should send its requests to.
type Entries struct {
	Addresses []string      // ip:port, in order of preference
	TTL       time.Duration // how long a caller may use the addresses
}

// Model is a model name that a caller may use.
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
		writeRefusal(ctx, refusal)
		return
	}
	writeJSON(ctx, entriesBody{Entries: e.Addresses, Keep: e.TTL.Seconds()})
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	models, refusal := s.status.Models(s.keyHash(ctx))
	if refusal != nil {
		writeRefusal(ctx, refusal)
		return
	}
	body := modelsBody{Object: "list", Data: make([]modelBody, 0, len(models))}
	for _, m := range models {
		body.Data = append(body.Data, modelBody{ID: m.ID, Object: "model", Owner: "gentiancroft", Parent: m.Base})
	}
	writeJSON(ctx, body)
}

// keyHash returns the hash of the caller's key, or "" if it sent none.
func (s *Server) keyHash(ctx *fasthttp.RequestCtx) string {
	key := credential(ctx)
	if key == "" {
		return ""
	}
	return config.HashKey(s.keySecret, key)
}

// writeJSON answers a request with body as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		writeRefusal(ctx, &core.Refusal{Code: core.CodeInternal, Message: "the answer can't be encoded", Ran: core.RanNo})
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// serveMetrics answers with the metrics in text form.
func (s *Server) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(exposition.ContentType)
	ctx.SetBody(exposition.Text(s.metrics.registry))
}
