package relay

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gentiancroft/internal/core/relaynode"
)

const (
	okLine   = "HTTP/1.1 200 OK\r\n"
	fieldsOf = "Id: 1\r\n" + madeHeader
	chunked  = "Transfer-Encoding: chunked\r\n"
	fourLong = "Content-Length: 4\r\n\r\nbody"
)

// malformedAnswers are bytes that are no answer, by what is wrong with them.
var malformedAnswers = map[string]string{
	"status 000":                   "HTTP/1.1 000 Odd\r\n" + fieldsOf + fourLong,
	"status 001":                   "HTTP/1.1 001 Odd\r\n" + fieldsOf + fourLong,
	"status 099":                   "HTTP/1.1 099 Odd\r\n" + fieldsOf + fourLong,
	"status 600":                   "HTTP/1.1 600 Odd\r\n" + fieldsOf + fourLong,
	"status 999":                   "HTTP/1.1 999 Odd\r\n" + fieldsOf + fourLong,
	"status of two digits":         "HTTP/1.1 20 OK\r\n" + fieldsOf + fourLong,
	"status of four digits":        "HTTP/1.1 2000 OK\r\n" + fieldsOf + fourLong,
	"status with a sign":           "HTTP/1.1 +20 OK\r\n" + fieldsOf + fourLong,
	"no status":                    "HTTP/1.1\r\n" + fieldsOf + fourLong,
	"two blanks before the status": "HTTP/1.1  200 OK\r\n" + fieldsOf + fourLong,
	"tab before the status":        "HTTP/1.1\t200 OK\r\n" + fieldsOf + fourLong,
	"HTTP/2.0":                     "HTTP/2.0 200 OK\r\n" + fieldsOf + fourLong,
	"HTTP/1.10":                    "HTTP/1.10 200 OK\r\n" + fieldsOf + fourLong,
	"another protocol":             "ICY 200 OK\r\n" + fieldsOf + fourLong,
	"small letters":                "http/1.1 200 OK\r\n" + fieldsOf + fourLong,
	"blank before the version":     " HTTP/1.1 200 OK\r\n" + fieldsOf + fourLong,
	"empty line first":             "\r\n" + okLine + fieldsOf + fourLong,
	"control byte in the reason":   "HTTP/1.1 200 O\x01K\r\n" + fieldsOf + fourLong,
	"CR in the reason":             "HTTP/1.1 200 O\rK\r\n" + fieldsOf + fourLong,
	"switch of protocols":          "HTTP/1.1 101 Switching\r\n" + fieldsOf + "\r\n" + okLine + fieldsOf + fourLong,
	"blank in a name":              okLine + fieldsOf + "Odd Name: x\r\n" + fourLong,
	"blank before the colon":       okLine + fieldsOf + "Odd : x\r\n" + fourLong,
	"blank in the length's name":   okLine + fieldsOf + "Content-Length : 2\r\n\r\nbody",
	"tab before the colon":         okLine + fieldsOf + "Odd\t: x\r\n" + fourLong,
	"control byte in a name":       okLine + fieldsOf + "O\x01dd: x\r\n" + fourLong,
	"byte over 127 in a name":      okLine + fieldsOf + "O\xe4d: x\r\n" + fourLong,
	"bracket in a name":            okLine + fieldsOf + "Odd(1): x\r\n" + fourLong,
	"no name":                      okLine + fieldsOf + ": x\r\n" + fourLong,
	"no colon":                     okLine + fieldsOf + "Odd\r\n" + fourLong,
	"blank before the first field": okLine + " Odd: x\r\n" + fieldsOf + fourLong,
	"NUL in a value":               okLine + fieldsOf + "Odd: x\x00y\r\n" + fourLong,
	"CR in a value":                okLine + fieldsOf + "Odd: x\ry\r\n" + fourLong,
	"DEL in a value":               okLine + fieldsOf + "Odd: x\x7fy\r\n" + fourLong,
	"line feeds alone":             "HTTP/1.1 200 OK\nId: 1\nMade: 1\nContent-Length: 4\n\nbody",
	"two lengths":                  okLine + fieldsOf + "Content-Length: 2\r\n" + fourLong,
	"length and chunks":            okLine + fieldsOf + chunked + "Content-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"negative length":              okLine + fieldsOf + "Content-Length: -4\r\n\r\nbody",
	"signed length":                okLine + fieldsOf + "Content-Length: +4\r\n\r\nbody",
	"list of lengths":              okLine + fieldsOf + "Content-Length: 4, 4\r\n\r\nbody",
	"empty length":                 okLine + fieldsOf + "Content-Length:\r\n\r\nbody",
	"folded length":                okLine + fieldsOf + "Content-Length: 4\r\n 0\r\n\r\nbody",
	"unknown coding":               okLine + fieldsOf + "Transfer-Encoding: gzip\r\n\r\nbody",
	"two codings":                  okLine + fieldsOf + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunk without a size":         okLine + fieldsOf + chunked + "\r\n\r\nbody\r\n0\r\n\r\n",
	"chunk's size isn't hex":       okLine + fieldsOf + chunked + "\r\n4x\r\nbody\r\n0\r\n\r\n",
	"signed chunk":                 okLine + fieldsOf + chunked + "\r\n+4\r\nbody\r\n0\r\n\r\n",
	"chunk too long":               okLine + fieldsOf + chunked + "\r\n3\r\nbody\r\n0\r\n\r\n",
	"LF after a chunk's size":      okLine + fieldsOf + chunked + "\r\n4\nbody\r\n0\r\n\r\n",
	"control in an extension":      okLine + fieldsOf + chunked + "\r\n4;a=\x01\r\nbody\r\n0\r\n\r\n",
	"blank in a trailer's name":    okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\nOdd Name: x\r\n\r\n",
	"blank before its colon":       okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\nOdd : x\r\n\r\n",
	"control in a trailer's name":  okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\nO\x01dd: x\r\n\r\n",
	"control in a trailer":         okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\nOdd: \x01\r\n\r\n",
	"trailer without a colon":      okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\nOdd\r\n\r\n",
	"bytes before the end":         okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\n",
}

// Guards against bytes that are no answer and reach the caller as one (issue 54): a status 000 became a
// 200, and fields whose names have blanks were passed on or changed the body.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for name, bytes := range malformedAnswers {
		h := newHarness(t, rawAnswer(bytes))
		h.script(h.dispatch(1, ""), refuseFailed)
		r, _ := h.request(get("1"))
		if r.StatusCode != http.StatusBadGateway || r.Header.Get("Made") != "" {
			t.Errorf("%s: the caller got %d", name, r.StatusCode)
		}
		if e := h.ended(); e.Kind != relaynode.EndBroken {
			t.Errorf("%s: the node was told %+v", name, e)
		}
	}
}

// The same for a stream, which is broken off where a chunk or a trailer is malformed.
func TestStreamWithAMalformedChunkIsBrokenOff(t *testing.T) {
	const events = "1e\r\n" + wholeEvents + "\r\n"
	for _, end := range []string{"x\r\n", "0\r\nOdd Name: x\r\n\r\n", "0\r\nOdd : x\r\n\r\n", "0\r\nOdd: \x01\r\n\r\n", "1\nx\r\n0\r\n\r\n"} {
		h := newHarness(t, rawAnswer(streamByClose+chunked+"\r\n"+events+end))
		h.script(h.dispatch(1, ""), abort)
		r, _ := h.request(get("1"))
		got, err := body(r)
		if err == nil || got != wholeEvents {
			t.Errorf("%q: the caller got %q, %v", end, got, err)
		}
		h.is.Equal(h.ended().Kind, relaynode.EndBroken)
	}
}

// What sound replicas may send passes.
func TestUnusualAnswerIsAnAnswer(t *testing.T) {
	manyFields := ""
	for range 300 {
		manyFields += "X-Field: x\r\n"
	}
	for name, bytes := range map[string]string{
		"no reason":                  "HTTP/1.1 200 \r\n" + fieldsOf + fourLong,
		"nor a blank":                "HTTP/1.1 200\r\n" + fieldsOf + fourLong,
		"reason in Latin 1":          "HTTP/1.1 200 Gr\xfc\xdfe  an\talle\r\n" + fieldsOf + fourLong,
		"HTTP/1.0":                   "HTTP/1.0 200 OK\r\n" + fieldsOf + fourLong,
		"bytes over 127":             okLine + fieldsOf + "X-Field: \xe4\xff\r\n" + fourLong,
		"empty value":                okLine + fieldsOf + "X-Field:\r\nX-Other: \t \r\n" + fourLong,
		"no blank after a colon":     okLine + "id:1\r\nmade:1\r\ncontent-length:4\r\n\r\nbody",
		"blanks around values":       okLine + "Id: \t1 \r\nMade:  1\t\r\nContent-Length:  4 \r\n\r\nbody",
		"capitals, other order":      okLine + "CONTENT-LENGTH: 4\r\nMADE: 1\r\nID: 1\r\n\r\nbody",
		"every byte of a token":      okLine + fieldsOf + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + fourLong,
		"many fields":                okLine + fieldsOf + manyFields + fourLong,
		"folded line":                okLine + fieldsOf + "X-Field: x\r\n y\r\n\tz\r\n" + fourLong,
		"leading zeros":              okLine + fieldsOf + "Content-Length: 0004\r\n\r\nbody",
		"interim answers":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n" + okLine + fieldsOf + fourLong,
		"chunks":                     okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks with extensions":     okLine + fieldsOf + chunked + "\r\n2;a=\"b c\"\r\nbo\r\n2;x\r\ndy\r\n0\r\n\r\n",
		"zeros before a size":        okLine + fieldsOf + chunked + "\r\n0004\r\nbody\r\n0\r\n\r\n",
		"zeros before the last size": okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n000\r\n\r\n",
		"trailers":                   okLine + fieldsOf + chunked + "\r\n4\r\nbody\r\n0\r\nX-Sum: \xe4 b\r\nx-other:\r\n\r\n",
		"capitals in the coding":     okLine + fieldsOf + "TRANSFER-ENCODING: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"end by the connection's":    okLine + fieldsOf + "\r\nbody",
	} {
		h := newHarness(t, rawAnswer(bytes))
		h.script(h.dispatch(1, ""), refuseFailed)
		r, _ := h.request(get("1"))
		got, err := body(r)
		if err != nil || r.StatusCode != http.StatusOK || got != "body" || r.Header.Get("Made") != "1" {
			t.Errorf("%s: the caller got %d, %q, %v", name, r.StatusCode, got, err)
			continue
		}
		if e := h.ended(); e.Kind != relaynode.EndOK {
			t.Errorf("%s: the node was told %+v", name, e)
		}
	}
}

// The bytes after an answer belong to none: the connection carries no other request.
func TestConnectionWithMalformedBytesAfterAnAnswerIsNotUsedAgain(t *testing.T) {
	h := newHarness(t, func(c net.Conn, r *http.Request) {
		head := okLine + "Id: " + r.Header.Get("Id") + "\r\n" + madeHeader
		_, _ = io.WriteString(c, head+fourLong+"\x00no answer\r\n")
	})
	for _, id := range []string{"1", "2"} {
		h.script(h.dispatch(1, ""))
		r, _ := h.request(get(id))
		got, err := body(r)
		h.is.NoErr(err)
		h.is.Equal(got, "body")
		h.is.Equal(h.ended().Kind, relaynode.EndOK)
	}
}
