package relay

import (
	"bytes"
	"io"
	"net"
	"slices"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/hangup"
)

// sendUntilClose answers the caller with the header in ctx and with a body whose end nothing
// but the end of the connection marks. It is for answers whose replica marked no end: a
// length or a last chunk would declare complete what may have been broken off. Where body
// fails, the connection is reset. The answer is sent, and body closed, after the request's
// handler has returned.
func sendUntilClose(ctx *fasthttp.RequestCtx, body io.ReadCloser) {
	ctx.SetConnectionClose()
	header := slices.Clone(ctx.Response.Header.Header())
	conn := ctx.Conn()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(to net.Conn) { // the server closes the connection afterwards
		_, err := to.Write(header)
		if err == nil {
			_, err = io.Copy(to, body)
		}
		if err != nil {
			hangup.ResetOnClose(conn)
		}
		_ = body.Close()
	})
}

// sendBodyUntilClose is sendUntilClose for a body that has been read completely.
func sendBodyUntilClose(ctx *fasthttp.RequestCtx, body []byte) {
	sendUntilClose(ctx, io.NopCloser(bytes.NewReader(body)))
}
