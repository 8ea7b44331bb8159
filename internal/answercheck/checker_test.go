package answercheck

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// check checks bytes that arrive in pieces, and returns how many pass and whether the rest doesn't.
func check(b []byte, piece int) (legal int, malformed bool) {
	var c Checker
	c.BeginAnswer(false)
	for len(b) > 0 {
		n, err := c.Check(b[:min(piece, len(b))])
		legal += n
		if err != nil {
			return legal, true
		}
		b = b[min(piece, len(b)):]
	}
	return legal, false
}

const okHead = "HTTP/1.1 200 OK\r\n"

// Answers follow each other on a connection, and each is checked from its own start.
func TestAnswersAreCheckedOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	sound := okHead + "Content-Length: 4\r\n\r\nbody" + okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nX-Sum: 1\r\n\r\n" +
		"HTTP/1.1 204 None\r\n\r\nHTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\nHTTP/1.1 100 Go on\r\n\r\n"
	for piece := range len(sound) {
		legal, malformed := check([]byte(sound+okHead+"Odd Name: x\r\n\r\n"), piece+1)
		is.True(malformed)
		is.True(legal >= len(sound+okHead) && legal < len(sound+okHead+"Odd Name: x\r\n"))
	}
}

// A HEAD request's answer has no body, whatever length its head gives.
func TestAnswerToAHeadRequestHasNoBody(t *testing.T) {
	is := is.New(t)
	head := []byte(okHead + "Content-Length: 400\r\n\r\n")
	var c Checker
	c.BeginAnswer(true)
	n, err := c.Check(append(head, "body"...))
	is.True(err == nil && n == len(head)+len("body")) // the start of a line
	_, err = c.Check([]byte("\r\n"))
	is.True(Malformed.Has(err))
}

// A line and the interim answers have bounds, as the checker keeps a line.
func TestLinesAndInterimAnswersHaveBounds(t *testing.T) {
	is := is.New(t)
	legal, malformed := check(append([]byte(okHead+"X: "), bytes.Repeat([]byte("x"), 2*maxLineBytes)...), 1<<10)
	is.True(malformed && legal <= len(okHead)+maxLineBytes)
	_, malformed = check(bytes.Repeat([]byte("HTTP/1.1 100 Go on\r\n\r\n"), maxInterimAnswers+1), 7)
	is.True(malformed)
}

// Nothing of a malformed line's end passes, and each later read fails as well.
func TestReadFailsAtTheFirstMalformedLine(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	go func() {
		_, _ = theirs.Write([]byte(okHead + "Id: 1\r\nOdd Name: x\r\n\r\n"))
		_ = theirs.Close()
	}()
	c := New(ours)
	c.BeginAnswer(false)
	got, err := io.ReadAll(c)
	is.True(Malformed.Has(err) && c.Failed())
	is.Equal(string(got), okHead+"Id: 1\r\n")
	_, err = c.Read(make([]byte, 1))
	is.True(Malformed.Has(err))
}

// FuzzChecker compares the pieces in which bytes arrive, and with the standard library's reader: what the
// checker lets pass as a whole answer with a length, that one reads as well.
func FuzzChecker(f *testing.F) {
	f.Add([]byte(okHead+"Content-Length: 4\r\n\r\nbody"), uint8(3))
	f.Add([]byte(okHead+"Transfer-Encoding: chunked\r\n\r\n2;x\r\nbo\r\n0\r\nX: y\r\n\r\n"), uint8(1))
	f.Add([]byte("HTTP/1.0 000 Odd\r\nA B: c\r\n\r\n"), uint8(9))
	f.Fuzz(func(t *testing.T, b []byte, piece uint8) {
		_, inPieces := check(b, int(piece)+1)
		legal, atOnce := check(b, len(b)+1)
		if inPieces != atOnce {
			t.Fatalf("malformed in pieces of %d: %v; at once: %v", int(piece)+1, inPieces, atOnce)
		}
		if atOnce || !bytes.Contains(b[:legal], []byte("\r\n\r\n")) {
			return
		}
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		if err != nil && !bytes.Contains(b, []byte("\r\n ")) && !bytes.Contains(b, []byte("\r\n\t")) {
			t.Fatalf("%q passes, and net/http says %v", b, err)
		}
		if err == nil {
			_ = r.Body.Close()
		}
	})
}
