package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/badrequest"
	"gentiancroft/internal/core"
)

// brokenStreamRetryAfter is when a caller may retry a request whose answer was
// incomplete.
const brokenStreamRetryAfter = time.Second

// outcomeOK is the outcome of a request that got a complete answer.
const outcomeOK core.Code = "ok"

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code       core.Code `json:"code"`
	Message    string    `json:"message"`
	Ran        core.Ran  `json:"ran"`
	RetryAfter float64   `json:"retry_after"` // seconds; 0: a retry doesn't help
}

// statusByCode maps refusal codes to HTTP statuses; every other code is 503.
var statusByCode = map[core.Code]int{
	core.CodeBadRequest:             400,
	core.CodeIdempotencyKeyRequired: 400,
	core.CodeTooLarge:               413,
	core.CodeInvalidKey:             401,
	core.CodeKeyWithdrawn:           401,
	core.CodeRouteForbidden:         403,
	core.CodeUnknownAdapter:         404,
	core.CodeUnknownRoute:           404,
	core.CodeIdempotencyKeyReused:   422,
	core.CodeSuspect:                422,
	core.CodeExceedsBurst:           413,
	core.CodeRateLimited:            429,
	core.CodeUpstreamFailed:         502,
	core.CodeOutcomeUnknown:         409,
	core.CodeDeadlineExceeded:       504,
	core.CodeInternal:               500,
}

func encodeRefusal(r *core.Refusal) []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code:       r.Code,
		Message:    r.Message,
		Ran:        r.Ran,
		RetryAfter: r.RetryAfter.Seconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return body
}

// errorEvent returns the event that ends an incomplete stream. It can't be mistaken for
// [DONE].
func errorEvent(r *core.Refusal) []byte {
	event := append([]byte("event: error\ndata: "), encodeRefusal(r)...)
	return append(event, "\n\n"...)
}

// writeRefusal answers a request with a refusal.
func writeRefusal(ctx *fasthttp.RequestCtx, r *core.Refusal) {
	status, ok := statusByCode[r.Code]
	if !ok {
		status = fasthttp.StatusServiceUnavailable
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	ctx.SetBody(encodeRefusal(r))
}

// handleReadError answers a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	s.metrics.unreadable.Inc(1)
	refusal, status := badrequest.Classify(err)
	writeRefusal(ctx, refusal)
	if status != 0 {
		ctx.SetStatusCode(status)
	}
}
