package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/zeebo/errs"
)

// Invalid is the class of settings that can't be used. Each message names the
// file, the line, the field and why.
var Invalid = errs.Class("settings")

// maxFile is the longest settings file in bytes.
const maxFile = 1 << 20

var checks = newChecks()

func newChecks() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	must(v.RegisterValidation("duration", func(l validator.FieldLevel) bool {
		_, ok := parseDuration(l.Field().String())
		return ok
	}))
	must(v.RegisterValidation("size", func(l validator.FieldLevel) bool {
		_, ok := parseSize(l.Field().String())
		return ok
	}))
	must(v.RegisterValidation("ip_port", func(l validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(l.Field().String())
		return err == nil // no names: nothing here waits for a name server
	}))
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Decode reads settings strictly: an unknown or repeated key, a value of the
// wrong kind or one that breaks its rule is an error.
func Decode[T any](file string, b []byte) (*T, error) {
	if len(b) > maxFile {
		return nil, Invalid.New("%s: over %d bytes", file, maxFile)
	}
	var v T
	if err := yaml.UnmarshalWithOptions(b, &v, yaml.Strict()); err != nil {
		return nil, Invalid.New("%s:%s", file, located(err))
	}
	if err := checks.Struct(&v); err != nil {
		return nil, Invalid.New("%s", broken(file, b, err))
	}
	return &v, nil
}

// located is a decoding error as "line: message".
func located(err error) string {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil && at.GetToken().Position != nil {
		return fmt.Sprintf("%d: %s: %s", at.GetToken().Position.Line, at.GetToken().Value, at.GetMessage())
	}
	return " " + err.Error()
}

// broken lists every rule that does not hold, one line each.
func broken(file string, b []byte, err error) string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return file + ": " + err.Error()
	}
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		lines = append(lines, fmt.Sprintf("%s: %s: %s", place(file, b, path), path, why(f)))
	}
	return strings.Join(lines, "\n")
}

// place is "file:line" of a field, or of its nearest ancestor where the field
// itself is missing.
func place(file string, b []byte, path string) string {
	parsed, err := parser.ParseBytes(b, 0)
	if err != nil {
		return file
	}
	for path != "" {
		if line, ok := lineOf(parsed, path); ok {
			return fmt.Sprintf("%s:%d", file, line)
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return file + ":1"
}

func lineOf(file *ast.File, path string) (int, bool) {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0, false
	}
	node, err := p.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, false
	}
	return node.GetToken().Position.Line, true
}

// why says in words which rule a field breaks.
func why(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing"
	case "duration":
		return fmt.Sprintf("%q is not a duration such as 250ms, 10s or 1h", f.Value())
	case "size":
		return fmt.Sprintf("%q is not a size such as 512B, 16KiB or 1MiB", f.Value())
	case "ip_port":
		return fmt.Sprintf("%q is not an ip:port", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", f.Value(), f.Param())
	case "min", "max", "gt", "gte", "lte":
		return fmt.Sprintf("%v breaks the bound %s %s", f.Value(), f.Tag(), f.Param())
	case "len", "hexadecimal":
		return "is not a hash of 64 hexadecimal digits"
	}
	return fmt.Sprintf("%v breaks the rule %s", f.Value(), f.Tag())
}
