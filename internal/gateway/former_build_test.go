package gateway

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/shard"
)

// Hosts of two builds run side by side while machines are replaced, so that each reads what the other
// writes. The files in formerBuild are what the former build, b2585a3, writes where every field is
// set, with the values of fill. former_types_test.go has copies of its types. After a release both
// are written anew, in the released tree, by
//
//	WRITE_ENCODINGS=1 go test ./internal/gateway -run "FormerBuild|TypesThatAreArrays"
const formerBuild = "testdata/former-build"

// fill sets every exported field to a value that follows from its path, so that a new field changes
// no other one.
func fill(v reflect.Value, path string) {
	n := int64(core.Fingerprint(0, path)%1000) + 1
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(n % 100)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) / 4)
	case reflect.String:
		v.SetString(fmt.Sprint("s", n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), path+"[]")
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, path+"key")
		fill(value, path+"value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				fill(v.Field(i), path+"."+f.Name)
			}
		}
	}
}

// filled returns a value with every field set.
func filled[T any]() T {
	var v T
	fill(reflect.ValueOf(&v).Elem(), reflect.TypeFor[T]().Name())
	return v
}

// encodings are what a host writes for others, by file name.
func encodings(t *testing.T) map[string][]byte {
	is := is.New(t)
	message, err := cbor.Marshal(filled[relaynode.Message]())
	is.NoErr(err)
	lease, err := json.Marshal(filled[shard.Record]())
	is.NoErr(err)
	registration, err := json.Marshal(filled[fleet.Registration]())
	is.NoErr(err)
	return map[string][]byte{"message.cbor": message, "lease.json": lease, "registration.json": registration}
}

// former returns what the former build writes.
func former(t *testing.T, name string) []byte {
	b, err := os.ReadFile(filepath.Join(formerBuild, name))
	is.New(t).NoErr(err)
	return b
}

// The former build finds each of its fields, with the same name and type, in what this one writes.
// It ignores the others.
func TestTheFormerBuildReadsWhatThisOneWrites(t *testing.T) {
	written := encodings(t)
	if os.Getenv("WRITE_ENCODINGS") != "" {
		for name, b := range written {
			is.New(t).NoErr(os.WriteFile(filepath.Join(formerBuild, name), b, 0o600))
		}
		writeFormerTypes(t)
	}
	for name, b := range written {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			decode := json.Unmarshal
			if filepath.Ext(name) == ".cbor" {
				decode = cbor.Unmarshal
			}
			var theirs, ours any
			is.NoErr(decode(former(t, name), &theirs))
			is.NoErr(decode(b, &ours))
			checkContains(t, name, ours, theirs)
		})
	}
}

// checkContains checks that a value has all that another one has.
func checkContains(t *testing.T, path string, value, part any) {
	t.Helper()
	switch want := part.(type) {
	case map[any]any:
		got, ok := value.(map[any]any)
		if !ok {
			t.Fatalf("%s: %T in place of a map", path, value)
		}
		for k, v := range want {
			checkContains(t, fmt.Sprint(path, ".", k), got[k], v)
		}
	case map[string]any:
		got, ok := value.(map[string]any)
		if !ok {
			t.Fatalf("%s: %T in place of an object", path, value)
		}
		for k, v := range want {
			checkContains(t, path+"."+k, got[k], v)
		}
	case []any:
		got, ok := value.([]any)
		if !ok || len(got) != len(want) {
			t.Fatalf("%s: %v in place of %v", path, value, part)
		}
		for i, v := range want {
			checkContains(t, fmt.Sprint(path, "[", i, "]"), got[i], v)
		}
	default:
		if !reflect.DeepEqual(value, part) {
			t.Errorf("%s: %v in place of %v", path, value, part)
		}
	}
}

// This build reads all that the former one writes, and fields that are new are missing.
func TestThisBuildReadsWhatTheFormerOneWrites(t *testing.T) {
	for _, p := range formerPairs {
		t.Run(p.file, func(t *testing.T) {
			is := is.New(t)
			got := reflect.New(p.ours)
			is.NoErr(p.codec().unmarshal(former(t, p.file), got.Interface()))
			is.Equal(got.Elem().Interface(), p.common().Interface())
		})
	}
}

// What a later build adds is ignored.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	later, err := cbor.Marshal(map[int]any{1: []any{map[int]any{1: "h", 2: 7, 999: []any{1, "x"}}}, 998: map[string]any{"a": 1}})
	is.NoErr(err)
	var m relaynode.Message
	is.NoErr(cbor.Unmarshal(later, &m))
	is.Equal(m, relaynode.Message{Heartbeats: []relaynode.Heartbeat{{Host: "h", Number: 7}}})
	var r shard.Record
	is.NoErr(json.Unmarshal([]byte(`{"holder":"h","fence":3,"later":{"a":[1]}}`), &r))
	is.Equal(r, shard.Record{Owner: "h", Fence: 3})
	var h fleet.Registration
	is.NoErr(json.Unmarshal([]byte(`{"name":"n","later":[1]}`), &h))
	is.Equal(h, fleet.Registration{Name: "n"})
}
