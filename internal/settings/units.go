package settings

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a positive length of time with its unit, such as 250ms or 1h30m, or "".
type Duration string

// Value returns the duration, 0 if it is empty. For an invalid one, which Decode rejects,
// the result is undefined.
func (d Duration) Value() time.Duration {
	v, _ := parseDuration(string(d))
	return v
}

func parseDuration(text string) (time.Duration, bool) {
	if text == "" {
		return 0, true
	}
	v, err := time.ParseDuration(text)
	return v, err == nil && v > 0
}

// isDurationOrZero reports whether text is a duration or 0, with or without a unit.
func isDurationOrZero(text string) bool {
	v, err := time.ParseDuration(text)
	return text == "" || err == nil && v >= 0
}

// Size is a positive number of bytes with its unit (B, KiB, MiB or GiB), or "".
type Size string

// sizeUnits are tried in order, so that B does not match the end of KiB.
var sizeUnits = []struct {
	name  string
	bytes int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Bytes returns the size in bytes, 0 if it is empty or invalid.
func (s Size) Bytes() int {
	v, _ := parseSize(string(s))
	return v
}

func parseSize(text string) (int, bool) {
	if text == "" {
		return 0, true
	}
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || n <= 0 || n > math.MaxInt/u.bytes {
			return 0, false
		}
		return n * u.bytes, true
	}
	return 0, false
}

// ValueOr returns the duration, or other if none is set.
func (d Duration) ValueOr(other time.Duration) time.Duration {
	if v := d.Value(); v > 0 {
		return v
	}
	return other
}

// BytesOr returns the size in bytes, or other if none is set.
func (s Size) BytesOr(other int) int {
	if v := s.Bytes(); v > 0 {
		return v
	}
	return other
}
