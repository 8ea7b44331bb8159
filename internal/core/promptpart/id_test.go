package promptpart

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestIdentifiersAreHexadecimalNumbers(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]ID{"5c1e07a2": 0x5c1e07a2, "5C1E07A2": 0x5c1e07a2, "0005c1e07a2": 0x5c1e07a2, "ffffffffffffffff": 0xffffffffffffffff} {
		got, ok := ParseID(text)
		is.True(ok)
		is.Equal(got, want)
	}
	for _, text := range []string{"", "0", "000", "0x5c", "-5", "+5", " 5", "5 ", "5_0", "g", "5.0"} {
		_, ok := ParseID(text)
		is.True(!ok)
	}
}

func TestLongIdentifiersDiffer(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("ab", 30)
	one, ok := ParseID(long + "1")
	is.True(ok)
	two, ok := ParseID(long + "2")
	is.True(ok)
	is.True(one != two)
	upper, ok := ParseID("00" + strings.ToUpper(long) + "1")
	is.True(ok)
	is.Equal(upper, one)
}

func TestNamesAreShortened(t *testing.T) {
	is := is.New(t)
	is.Equal(Names([]ID{0x1a, 0x2b}), "1a,2b")
	is.Equal(Names([]ID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}), "1,2,3,4,5,6,7,8 and 2 more")
}
