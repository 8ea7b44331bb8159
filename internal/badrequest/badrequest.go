// Package badrequest maps the error of an HTTP server that could not read a request to the
// refusal and the HTTP status of its answer.
package badrequest

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
)

// Classify returns the refusal of a request that could not be read. status is its HTTP
// status, or 0 if it is the usual one of the refusal's code.
func Classify(err error) (refusal *core.Refusal, status int) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return core.Refuse(core.CodeTooLarge, 0, "the body is too large"), 0
	case errors.As(err, &small):
		return core.Refuse(core.CodeTooLarge, 0, "the header is too large"), fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &network) && network.Timeout():
		return core.Refuse(core.CodeBadRequest, 0, "the request did not arrive in time"), fasthttp.StatusRequestTimeout
	}
	return core.Refuse(core.CodeBadRequest, 0, "the request is not well-formed HTTP"), 0
}
