// Package untilclose sends callers answers whose end nothing but the end of the connection
// marks. It is for answers whose upstream marked no end either: a length or a last chunk would
// declare complete what may have been broken off.
package untilclose

import (
	"bytes"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/hangup"
)

// Send answers the caller with the header in ctx and a body. Unless all of it has been read and
// written, the connection is reset, also where the process ends meanwhile. The answer is sent,
// and the body closed, after the request's handler has returned.
func Send(ctx *fasthttp.RequestCtx, body io.ReadCloser) {
	ctx.SetConnectionClose()
	conn := ctx.Conn()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(to net.Conn) { // the server closes the connection afterwards
		hangup.ResetOnClose(conn, true)
		_, err := to.Write(ctx.Response.Header.Header())
		if err == nil {
			_, err = io.Copy(to, body)
		}
		if err == nil {
			hangup.ResetOnClose(conn, false)
		}
		_ = body.Close()
	})
}

// SendBytes is Send for a body that has been read.
func SendBytes(ctx *fasthttp.RequestCtx, body []byte) {
	Send(ctx, io.NopCloser(bytes.NewReader(body)))
}
