package entry

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code       core.Code `json:"code"`
	Message    string    `json:"message"`
	Ran        core.Ran  `json:"ran"`
	RetryAfter float64   `json:"retry_after"` // seconds; 0: asking again does not help
}

// statuses maps codes to HTTP statuses; every other code is 503.
var statuses = map[core.Code]int{
	core.CodeBadRequest:     400,
	core.CodeKeyNeeded:      400,
	core.CodeTooLarge:       413,
	core.CodeNoKey:          401,
	core.CodeKeyWithdrawn:   401,
	core.CodeRouteForbidden: 403,
	core.CodeUnknownAdapter: 404,
	core.CodeUnknownRoute:   404,
	core.CodeKeyReused:      422,
	core.CodeSuspect:        422,
	core.CodeNeverFits:      413,
	core.CodeRateLimited:    429,
	core.CodeUpstreamFailed: 502,
	core.CodeOutcomeUnknown: 409,
	core.CodeDeadline:       504,
	core.CodeInternal:       500,
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

func refuse(ctx *fasthttp.RequestCtx, r *core.Refusal) {
	status, ok := statuses[r.Code]
	if !ok {
		status = 503
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	ctx.SetBody(encodeRefusal(r))
}
