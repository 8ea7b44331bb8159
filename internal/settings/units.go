package settings

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a length of time with its unit, such as 250ms or 1h30m.
type Duration string

// Value is the duration, 0 where none is set. It may be called once the
// settings were checked.
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

// Size is a number of bytes with its unit: B, KiB, MiB or GiB.
type Size string

// sizeUnits are tried in order, so that B does not match the end of KiB.
var sizeUnits = []struct {
	name  string
	bytes int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Value is the size in bytes, 0 where none is set. It may be called once the
// settings were checked.
func (s Size) Value() int {
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

// Or returns the duration, or another where none is set.
func (d Duration) Or(other time.Duration) time.Duration {
	if v := d.Value(); v > 0 {
		return v
	}
	return other
}

// Or returns the size in bytes, or another where none is set.
func (s Size) Or(other int) int {
	if v := s.Value(); v > 0 {
		return v
	}
	return other
}
