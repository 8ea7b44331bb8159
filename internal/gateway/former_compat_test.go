package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/shard"
)

// formerPair is a type that hosts of both builds write, with the former build's copy of it.
type formerPair struct {
	file         string // of the former build's encoding
	ours, theirs reflect.Type
}

var formerPairs = []formerPair{
	{"message.cbor", reflect.TypeFor[relaynode.Message](), reflect.TypeFor[formerRelaynodeMessage]()},
	{"lease.json", reflect.TypeFor[shard.Record](), reflect.TypeFor[formerShardRecord]()},
	{"registration.json", reflect.TypeFor[fleet.Registration](), reflect.TypeFor[formerFleetRegistration]()},
}

// codec encodes and decodes as hosts do.
type codec struct {
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

func (p formerPair) codec() codec {
	if filepath.Ext(p.file) == ".cbor" {
		return codec{cbor.Marshal, cbor.Unmarshal}
	}
	return codec{json.Marshal, json.Unmarshal}
}

// filled returns a value of one of the types with every field set. Fields that both have get the
// same values.
func (p formerPair) filled(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	fill(v, p.ours.Name())
	return v
}

// common returns a value of this build's type with every field set that the former one has.
func (p formerPair) common() reflect.Value {
	v := p.filled(p.ours)
	clearNew(v, p.theirs)
	return v
}

// clearNew clears the exported fields of a value, at any depth, that the former build's type has
// none of the same name for.
func clearNew(v reflect.Value, former reflect.Type) {
	if v.Kind() != former.Kind() {
		return // the values differ then
	}
	switch v.Kind() {
	case reflect.Pointer:
		clearNew(v.Elem(), former.Elem())
	case reflect.Slice:
		for i := range v.Len() {
			clearNew(v.Index(i), former.Elem())
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			value := reflect.New(v.Type().Elem()).Elem()
			value.Set(v.MapIndex(k))
			clearNew(value, former.Elem())
			v.SetMapIndex(k, value)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if !f.IsExported() {
				continue
			}
			if old, ok := former.FieldByName(f.Name); ok {
				clearNew(v.Field(i), old.Type)
			} else {
				v.Field(i).SetZero()
			}
		}
	}
}

// The former build reads each of its fields from a value of this build with all fields set, and the
// fields that it doesn't know keep it from none. A number, name or type that has changed, or a
// field that an array got, would have it drop the whole message or read another value.
func TestTheFormerBuildsTypesReadThisBuildsEncodings(t *testing.T) {
	for _, p := range formerPairs {
		t.Run(p.file, func(t *testing.T) {
			is := is.New(t)
			b, err := p.codec().marshal(p.filled(p.ours).Interface())
			is.NoErr(err)
			got := reflect.New(p.theirs)
			is.NoErr(p.codec().unmarshal(b, got.Interface()))
			is.Equal(got.Elem().Interface(), p.filled(p.theirs).Interface())
		})
	}
}

// This build reads each field that the former build has from a value of that with all fields set,
// and leaves the others empty.
func TestThisBuildsTypesReadTheFormerBuildsEncodings(t *testing.T) {
	for _, p := range formerPairs {
		t.Run(p.file, func(t *testing.T) {
			is := is.New(t)
			b, err := p.codec().marshal(p.filled(p.theirs).Interface())
			is.NoErr(err)
			is.Equal(b, former(t, p.file)) // the copies of the types are those of the build that wrote the files
			got := reflect.New(p.ours)
			is.NoErr(p.codec().unmarshal(b, got.Interface()))
			is.Equal(got.Elem().Interface(), p.common().Interface())
		})
	}
}

// clearNew finds new fields at any depth; otherwise the comparisons above would miss them or fail
// where a field is new.
func TestFieldsThatAreNewAreCleared(t *testing.T) {
	is := is.New(t)
	type oldInner struct{ A int }
	type newInner struct {
		A int
		B string
	}
	type before struct {
		List []oldInner
		Map  map[string]oldInner
		At   *oldInner
	}
	type after struct {
		List []newInner
		Map  map[string]newInner
		At   *newInner
		New  []newInner
	}
	var v after
	fill(reflect.ValueOf(&v).Elem(), "after")
	want := v
	want.List = []newInner{{A: v.List[0].A}}
	want.Map = map[string]newInner{}
	for k, x := range v.Map {
		want.Map[k] = newInner{A: x.A}
	}
	want.At, want.New = &newInner{A: v.At.A}, nil
	clearNew(reflect.ValueOf(&v).Elem(), reflect.TypeFor[before]())
	is.Equal(v, want)
}

// arrayFile lists the types that the former build encodes as arrays, with their elements.
const arrayFile = "arrays.txt"

// A host that decodes an array drops the whole message if the number of its elements differs from
// that of its type. So no type that the former build encodes as an array gets or loses an element.
func TestTypesThatAreArraysKeepTheirElements(t *testing.T) {
	is := is.New(t)
	now := arrayTypes(t, filepath.Join("..", ".."))
	if os.Getenv("WRITE_ENCODINGS") != "" {
		is.NoErr(os.WriteFile(filepath.Join(formerBuild, arrayFile), []byte(strings.Join(now, "\n")+"\n"), 0o600))
	}
	then := strings.Split(strings.TrimSpace(string(former(t, arrayFile))), "\n")
	is.True(len(then) >= 10) // the list is not empty
	for _, line := range then {
		if !slices.Contains(now, line) {
			t.Errorf("the former build has the array %q, and this one not: a host of one of them drops messages of the other", line)
		}
	}
}

// arrayTypes returns the types below a directory that are encoded as arrays, with the names and
// types of their elements, one in a line.
func arrayTypes(t *testing.T, root string) []string {
	var lines []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil || !bytes.Contains(source, []byte("toarray")) {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, source, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		directory, err := filepath.Rel(root, filepath.Dir(path))
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if s, ok := spec.Type.(*ast.StructType); ok && isArray(s) {
					lines = append(lines, fmt.Sprintf("%s.%s: %s", filepath.ToSlash(directory), spec.Name, elements(files, s)))
				}
			}
			return true
		})
		return err
	})
	is.New(t).NoErr(err)
	slices.Sort(lines)
	return lines
}

// isArray reports whether a struct is encoded as an array.
func isArray(s *ast.StructType) bool {
	return slices.ContainsFunc(s.Fields.List, func(f *ast.Field) bool {
		return f.Tag != nil && strings.Contains(f.Tag.Value, "toarray")
	})
}

// elements returns the names and types of the elements that an encoded struct has.
func elements(files *token.FileSet, s *ast.StructType) string {
	var all []string
	for _, f := range s.Fields.List {
		var typ bytes.Buffer
		_ = format.Node(&typ, files, f.Type) // a type of a file that was parsed
		for _, name := range f.Names {
			if name.Name != "_" {
				all = append(all, name.Name+" "+typ.String())
			}
		}
	}
	return fmt.Sprintf("%d, %s", len(all), strings.Join(all, ", "))
}

// writeFormerTypes writes the copies of this build's types; see formerBuild.
func writeFormerTypes(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	b.WriteString("// Code generated by go test with WRITE_ENCODINGS=1. DO NOT EDIT.\n\npackage gateway\n")
	written := map[reflect.Type]bool{}
	for _, p := range formerPairs {
		writeType(&b, p.ours, written)
	}
	source, err := format.Source(b.Bytes())
	is.NoErr(err)
	is.NoErr(os.WriteFile("former_types_test.go", source, 0o600))
}

// formerName returns the name of the copy of a type.
func formerName(t reflect.Type) string {
	directory := filepath.Base(t.PkgPath())
	return "former" + strings.ToUpper(directory[:1]) + directory[1:] + t.Name()
}

// writeType writes a copy of a struct type, then of those that it contains.
func writeType(b *bytes.Buffer, t reflect.Type, written map[reflect.Type]bool) {
	if written[t] {
		return
	}
	written[t] = true
	var inner []reflect.Type
	fmt.Fprintf(b, "\ntype %s struct {\n", formerName(t))
	for i := range t.NumField() {
		f := t.Field(i)
		fmt.Fprintf(b, "%s %s", f.Name, copied(f.Type, &inner))
		if f.Tag != "" {
			fmt.Fprintf(b, " `%s`", f.Tag)
		}
		b.WriteString("\n")
	}
	b.WriteString("}\n")
	for _, x := range inner {
		writeType(b, x, written)
	}
}

// copied returns the name of a field's type in the copy: named types but structs become what they
// are made of, so that later changes of them don't reach the copy.
func copied(t reflect.Type, inner *[]reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return "*" + copied(t.Elem(), inner)
	case reflect.Slice:
		return "[]" + copied(t.Elem(), inner)
	case reflect.Map:
		return "map[" + copied(t.Key(), inner) + "]" + copied(t.Elem(), inner)
	case reflect.Struct:
		if t.Name() == "" {
			return "struct{}" // of the field with the tag toarray
		}
		*inner = append(*inner, t)
		return formerName(t)
	default:
		return t.Kind().String()
	}
}
