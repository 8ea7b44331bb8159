package rawjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// anyValue draws a JSON value.
func anyValue() *rapid.Generator[any] {
	leaf := rapid.OneOf(rapid.Just[any](nil), rapid.Map(rapid.Bool(), func(b bool) any { return b }),
		rapid.Map(rapid.Float64(), func(f float64) any { return f }), rapid.Map(rapid.String(), func(s string) any { return s }))
	return rapid.OneOf(leaf, rapid.Map(rapid.SliceOfN(leaf, 0, 4), func(a []any) any { return a }),
		rapid.Map(rapid.MapOfN(rapid.String(), leaf, 0, 4), func(m map[string]any) any { return m }))
}

func TestMembersAndElementsAreThoseOfTheDecoder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		object := rapid.MapOf(rapid.String(), anyValue()).Draw(rt, "object")
		array := rapid.SliceOf(anyValue()).Draw(rt, "array")
		indent := rapid.SampledFrom([]string{"", " ", "\t"}).Draw(rt, "indent")
		encode := func(v any) []byte {
			b, err := json.MarshalIndent(v, "", indent)
			is.NoErr(err)
			return b
		}
		members, err := Members(encode(object))
		is.NoErr(err)
		is.Equal(len(members), len(object))
		for name, raw := range members {
			var v any
			is.NoErr(json.Unmarshal(raw, &v))
			is.Equal(v, object[name])
		}
		elements, err := Elements(encode(array))
		is.NoErr(err)
		is.Equal(len(elements), len(array))
		for i, raw := range elements {
			var v any
			is.NoErr(json.Unmarshal(raw, &v))
			is.Equal(v, array[i])
		}
	})
}

func TestDepthIsNotBounded(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	members, err := Members([]byte(`{"a":` + deep + `,"b":1}`))
	is.NoErr(err)
	is.Equal(len(members["a"]), 2<<20)
	is.Equal(string(members["b"]), "1")
}

func TestMalformedTextIsATypedError(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "null", "[", "{", `{"a"`, `{"a":`, `{"a":}`, `{"a":1`, `{"a":1,`, `{a:1}`, `{"a":1 "b":2}`, `{"a":"`, `{"a":"\"}`, `["a"`, `[1,]`, `[[]`, `[}`} {
		_, err1 := Members([]byte(text))
		_, err2 := Elements([]byte(text))
		is.True(Malformed.Has(err1))
		is.True(Malformed.Has(err2))
	}
}

// Whatever the text is, splitting it ends without a panic.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"\\"}]}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = Members(text)
		_, _ = Elements(text)
	})
}
