// Package badrequest names what was wrong with a request that the HTTP server
// could not read.
package badrequest

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
)

// Classify returns the typed answer to a request that could not be read, and its
// HTTP status where that does not follow from the refusal's code; 0: it does.
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
