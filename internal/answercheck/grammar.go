package answercheck

import (
	"bytes"
	"strconv"
	"strings"
)

// Statuses with a meaning for an answer's framing.
const (
	firstFinalStatus  = 200
	statusSwitching   = 101
	statusNoContent   = 204
	statusNotModified = 304
)

// isVersion reports whether a word is a version of HTTP/1.
func isVersion(word []byte) bool {
	digit, ok := bytes.CutPrefix(word, []byte("HTTP/1."))
	return ok && len(digit) == 1 && isDigit(digit[0])
}

// isStatus reports whether a word is a status from 100 to 599.
func isStatus(word []byte) bool {
	return len(word) == 3 && word[0] >= '1' && word[0] <= '5' && isDigit(word[1]) && isDigit(word[2])
}

// parseField splits a header or trailer field.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, Malformed.New("the name of a field isn't a token")
	}
	if !isText(value) {
		return nil, nil, Malformed.New("a field has a control byte")
	}
	return name, bytes.Trim(value, " \t"), nil
}

// parseLength returns the length of a body in bytes.
func parseLength(value []byte) (int64, error) {
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil {
		return 0, Malformed.New("the body's length is no number")
	}
	return int64(n), nil
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, x := range b {
		if !isTokenByte(x) {
			return false
		}
	}
	return len(b) > 0
}

func isTokenByte(x byte) bool {
	isLetter := x|0x20 >= 'a' && x|0x20 <= 'z'
	return isLetter || isDigit(x) || strings.IndexByte("!#$%&'*+-.^_`|~", x) >= 0
}

// isText reports whether b has only visible bytes, blanks, tabs and bytes over 127.
func isText(b []byte) bool {
	for _, x := range b {
		if x < ' ' && x != '\t' || x == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(x byte) bool { return x >= '0' && x <= '9' }
