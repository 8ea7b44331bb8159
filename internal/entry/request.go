package entry

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/host"
	"gentiancroft/internal/upstream"
)

const chunkBytes = 16 << 10

func newRequestID() core.RequestID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return core.RequestID(hex.EncodeToString(b[:]))
}

// request serves one caller request from its parsing to the start of its answer.
func (s *Server) request(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	ctx.Response.Header.Set("X-Request-Id", string(id))
	arrive, refusal := s.parse(ctx, id)
	if refusal != nil {
		refuse(ctx, refusal)
		return
	}
	body := append([]byte(nil), ctx.Request.Body()...)
	x := s.host.Begin(arrive)
	for decision := range x.Decisions {
		switch d := decision.(type) {
		case node.Refuse:
			x.Close()
			refuse(ctx, d.Refusal)
			return
		case node.Dispatch:
			if s.attempt(ctx, x, d, body) {
				return
			}
		}
	}
}

// attempt runs one attempt and reports whether the answer has begun.
func (s *Server) attempt(ctx *fasthttp.RequestCtx, x *host.Exchange, d node.Dispatch, body []byte) bool {
	attempt, cancel := x.Attempt(context.Background())
	answer, err := upstream.Do(attempt, upstream.Call{
		Address: d.Address,
		Method:  string(ctx.Method()),
		Path:    string(ctx.Path()),
		Body:    body,
		Request: d.ID,
		Adapter: d.Adapter,
		Class:   d.Class,
		Fence:   d.Fence,
	})
	if err != nil {
		cancel()
		kind := node.EndFailed
		if upstream.NotReached.Has(err) {
			kind = node.EndNotRun
		}
		s.host.Tell(node.Ended{ID: d.ID, Attempt: d.Attempt, Kind: kind})
		return false
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	if d.Adapter != (core.AdapterRef{}) {
		ctx.Response.Header.Set("X-Adapter", d.Adapter.String())
	}
	s.host.Tell(node.FirstByte{ID: d.ID, Attempt: d.Attempt})
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer x.Close()
		s.copy(w, x, d, answer)
	})
	return true
}

// copy streams an answer to the caller and tells the node how it ended.
func (s *Server) copy(w *bufio.Writer, x *host.Exchange, d node.Dispatch, answer *upstream.Answer) {
	defer answer.Close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil || w.Flush() != nil {
				s.host.Tell(node.Gone{ID: d.ID})
				return
			}
		}
		if err == nil {
			continue
		}
		kind := node.EndOK
		if err.Error() != "EOF" {
			kind = node.EndBroken
		}
		s.host.Tell(node.Ended{ID: d.ID, Attempt: d.Attempt, Kind: kind})
		return
	}
}
