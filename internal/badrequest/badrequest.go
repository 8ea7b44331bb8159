// Package badrequest maps the error of an HTTP server that could not read a request to the
// refusal and the HTTP status of its answer.
package badrequest

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/framing"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/held"
)

// retryAfterNoRoom is the Retry-After time of requests for which there was no memory.
const retryAfterNoRoom = 500 * time.Millisecond

// Classify returns the refusal of a request that could not be read. status is its HTTP
// status, or 0 if it is the usual one of the refusal's code.
func Classify(err error) (refusal *core.Refusal, status int) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), hangup.BodyTooLarge.Has(err):
		return core.Refuse(core.CodeTooLarge, 0, "the body is too large"), 0
	case framing.TooLong.Has(err):
		return core.Refuse(core.CodeTooLarge, 0, "the chunks of the body are too small"), 0
	case framing.TooManyFields.Has(err):
		return core.Refuse(core.CodeTooLarge, 0, "the header has too many fields"), fasthttp.StatusRequestHeaderFieldsTooLarge
	case held.Refused.Has(err):
		return core.Refuse(core.CodeOverloaded, retryAfterNoRoom, "this host has no memory for the request now"), 0
	case hangup.TooSlow.Has(err):
		return core.Refuse(core.CodeBadRequest, 0, "the request did not arrive in time"), fasthttp.StatusRequestTimeout
	case errors.As(err, &small):
		return core.Refuse(core.CodeTooLarge, 0, "the header is too large"), fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &network) && network.Timeout():
		return core.Refuse(core.CodeBadRequest, 0, "the request did not arrive in time"), fasthttp.StatusRequestTimeout
	}
	return core.Refuse(core.CodeBadRequest, 0, "the request is not well-formed HTTP"), 0
}
