// Package answercheck checks the answers that arrive on a client's connection against RFC 9112 while
// they arrive, so that an HTTP client which reads them leniently never parses a malformed one. Legal
// answers pass unchanged.
package answercheck

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// Malformed is the class of errors of bytes that are no answer. Such a connection can't be used
// further.
var Malformed = errs.Class("malformed answer")

const (
	// maxLineBytes bounds a line of a head or of a chunked body's framing.
	maxLineBytes = 16 << 10
	// maxInterimAnswers bounds the interim answers before one answer.
	maxInterimAnswers = 16
	// maxChunkBytes is far over any limit of an answer.
	maxChunkBytes = 1 << 40
)

// state is what comes next in an answer.
type state uint8

const (
	statusLine state = iota
	fieldLine
	lengthBody
	closeBody // ends with the connection
	chunkSize
	chunkData
	chunkEnd // the line break after a chunk's data
	trailerLine
)

// Length of a body as a head gives it.
const (
	untilClose = -1
	inChunks   = -2
)

// Checker checks the answers on one connection. Its zero value is at the start of the first one.
type Checker struct {
	state   state
	line    []byte // of the current line, without its end
	left    int64  // bytes of the body or chunk
	noBody  bool   // the present answer is to a HEAD request
	interim int    // interim answers so far

	// Of the head that is read:
	status   int
	version0 bool // HTTP/1.0
	fields   int
	length   int64 // untilClose, inChunks or bytes
	framed   bool  // a field gives the length
	lastSize bool  // the line before gave it
}

// BeginAnswer tells that a request was sent, and whether its answer has no body as it is to a HEAD
// request.
func (c *Checker) BeginAnswer(head bool) {
	c.noBody = head
	c.interim = 0
}

// Check checks the next bytes of the connection. It returns how many of them are the start of a legal
// answer; an error is about the bytes after those.
func (c *Checker) Check(b []byte) (n int, err error) {
	for n < len(b) {
		switch c.state {
		case closeBody:
			return len(b), nil
		case lengthBody, chunkData:
			n += c.skipBody(len(b) - n)
			continue
		}
		used, err := c.readLine(b[n:])
		if err != nil {
			return n, err
		}
		n += used
	}
	return n, nil
}

// skipBody passes over bytes of a body.
func (c *Checker) skipBody(available int) int {
	n := min(int64(available), c.left)
	c.left -= n
	if c.left > 0 {
		return int(n)
	}
	if c.state == chunkData {
		c.state = chunkEnd
	} else {
		c.endAnswer()
	}
	return int(n)
}

// readLine reads on in a line, and handles it at its end.
func (c *Checker) readLine(b []byte) (used int, err error) {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	if len(c.line)+len(part) > maxLineBytes {
		return 0, Malformed.New("a line is over %d bytes", maxLineBytes)
	}
	c.line = append(c.line, part...)
	if end < 0 {
		return len(b), nil
	}
	line, crlf := bytes.CutSuffix(c.line, []byte("\r"))
	c.line = c.line[:0]
	if !crlf {
		return 0, Malformed.New("a line doesn't end in CRLF")
	}
	if err := c.endLine(line); err != nil {
		return 0, err
	}
	return end + 1, nil
}

// endLine handles a whole line.
func (c *Checker) endLine(line []byte) error {
	switch c.state {
	case statusLine:
		return c.beginHead(line)
	case fieldLine:
		if len(line) == 0 {
			return c.endHead()
		}
		return c.field(line)
	case chunkSize:
		return c.beginChunk(line)
	case chunkEnd:
		if len(line) > 0 {
			return Malformed.New("a chunk is longer than its size says")
		}
		c.state = chunkSize
		return nil
	}
	return c.trailer(line)
}

// beginHead handles the status line.
func (c *Checker) beginHead(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !isVersion(version) {
		return Malformed.New("the status line doesn't begin with a version of HTTP/1")
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if !isStatus(code) {
		return Malformed.New("the status isn't a number from 100 to 599")
	}
	if !isText(reason) {
		return Malformed.New("the reason has a control byte")
	}
	c.status, _ = strconv.Atoi(string(code)) // three digits
	c.version0 = version[len(version)-1] == '0'
	c.fields, c.length, c.framed, c.lastSize = 0, untilClose, false, false
	c.state = fieldLine
	return nil
}

// field handles a line of a head's fields.
func (c *Checker) field(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return c.continuation(line)
	}
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	c.fields++
	isLength, isEncoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
	c.lastSize = isLength || isEncoding
	switch {
	case !c.lastSize:
		return nil
	case c.framed:
		return Malformed.New("the body's length is given twice")
	}
	c.framed = true
	if isEncoding {
		return c.encoding(value)
	}
	c.length, err = parseLength(value)
	return err
}

// continuation handles a line that continues the value of the field before it.
func (c *Checker) continuation(line []byte) error {
	switch {
	case c.fields == 0:
		return Malformed.New("the first field begins with a blank")
	case c.lastSize:
		return Malformed.New("a field that gives the body's length goes on in a second line")
	case !isText(line):
		return Malformed.New("a field has a control byte")
	}
	return nil
}

func (c *Checker) encoding(value []byte) error {
	if c.version0 || !bytes.EqualFold(value, []byte("chunked")) {
		return Malformed.New("the transfer encoding isn't known")
	}
	c.length = inChunks
	return nil
}

// endHead handles the end of a head.
func (c *Checker) endHead() error {
	switch {
	case c.status == statusSwitching:
		return Malformed.New("it switches to a protocol that wasn't asked for")
	case c.status < firstFinalStatus:
		return c.endInterim()
	case c.noBody || c.status == statusNoContent || c.status == statusNotModified || c.length == 0:
		c.endAnswer()
	case c.length == inChunks:
		c.state = chunkSize
	case c.length == untilClose:
		c.state = closeBody
	default:
		c.state, c.left = lengthBody, c.length
	}
	return nil
}

// endInterim handles the end of an interim answer.
func (c *Checker) endInterim() error {
	c.interim++
	if c.interim > maxInterimAnswers {
		return Malformed.New("over %d interim answers", maxInterimAnswers)
	}
	c.state = statusLine
	return nil
}

// endAnswer handles the end of an answer. The next bytes belong to another one.
func (c *Checker) endAnswer() {
	c.state = statusLine
	c.interim = 0
}

// beginChunk handles the line before a chunk's data.
func (c *Checker) beginChunk(line []byte) error {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil || size > maxChunkBytes {
		return Malformed.New("the size of a chunk is no number")
	}
	if !isText(extension) {
		return Malformed.New("a chunk's extension has a control byte")
	}
	c.left, c.state = int64(size), chunkData
	if size == 0 {
		c.state = trailerLine
	}
	return nil
}

// trailer handles a line after the last chunk.
func (c *Checker) trailer(line []byte) error {
	if len(line) == 0 {
		c.endAnswer()
		return nil
	}
	_, _, err := parseField(line)
	return err
}
