// Package promptpart finds out which part of a prompt crashes the replicas that begin to
// answer on it, whatever else a request holds.
//
// A Tracker learns from replicas that ended: each names the parts whose requests it had at that
// moment. All of them are suspected, since the whole batch ends with the replica. An answer that
// comes to a certain end acquits the parts of its prompt. A part that was there again and
// again, and was never acquitted in between, is blocked.
package promptpart

import (
	"strconv"
	"strings"

	"gentiancroft/internal/core"
)

// ID identifies a part of a prompt. It is never 0.
type ID uint64

// hashedLength is the number of hexadecimal digits from which an identifier is hashed, since it
// doesn't fit an ID.
const hashedLength = 17

// ParseID reads an identifier in hexadecimal. Upper case and leading zeros make no difference.
// It returns false for any other text, and for zero.
func ParseID(text string) (ID, bool) {
	digits := strings.TrimLeft(strings.ToLower(text), "0")
	if digits == "" || strings.Trim(digits, "0123456789abcdef") != "" {
		return 0, false
	}
	if len(digits) >= hashedLength {
		return ID(core.Fingerprint(0, digits) | 1), true
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return ID(n), err == nil
}

// String returns the identifier in hexadecimal.
func (p ID) String() string { return strconv.FormatUint(uint64(p), 16) }

// hash returns a hash of the identifier, which callers choose.
func (p ID) hash() uint64 { return core.Fingerprint(uint64(p)) }

// Names returns identifiers as a text for logs, shortened where there are many.
func Names(parts []ID) string {
	const most = 8
	var b strings.Builder
	for i, p := range parts {
		if i == most {
			b.WriteString(" and " + strconv.Itoa(len(parts)-most) + " more")
			break
		}
		if i > 0 {
			b.WriteString(",")
		}
		b.WriteString(p.String())
	}
	return b.String()
}
