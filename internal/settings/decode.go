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

	"gentiancroft/internal/core/strictyaml"
)

// Invalid is the class of errors for invalid settings. Each message names the file, the
// line, the field and the broken rule.
var Invalid = errs.Class("settings")

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	must(v.RegisterValidation("duration", func(l validator.FieldLevel) bool {
		_, ok := parseDuration(l.Field().String())
		return ok
	}))
	must(v.RegisterValidation("duration_or_zero", func(l validator.FieldLevel) bool {
		return isDurationOrZero(l.Field().String())
	}))
	must(v.RegisterValidation("size", func(l validator.FieldLevel) bool {
		_, ok := parseSize(l.Field().String())
		return ok
	}))
	must(v.RegisterValidation("ip_port", func(l validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(l.Field().String())
		return err == nil // no host names: no address depends on DNS
	}))
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Decode parses YAML settings strictly: an unknown or repeated key, a value of the wrong
// kind or one that breaks its validate tag is an error of class Invalid. file is used in
// messages only.
func Decode[T any](file string, b []byte) (*T, error) {
	if len(b) > maxFileBytes {
		return nil, Invalid.New("%s: over %d bytes", file, maxFileBytes)
	}
	v, err := strictyaml.Decode[T](b)
	if err != nil {
		return nil, Invalid.New("%s:%s", file, locateError(err))
	}
	if err := validate.Struct(v); err != nil {
		return nil, Invalid.New("%s", describeViolations(file, b, err))
	}
	return v, nil
}

// locateError formats a decoding error as "line: value: message", or " message" if its
// position is unknown.
func locateError(err error) string {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil && at.GetToken().Position != nil {
		return fmt.Sprintf("%d: %s: %s", at.GetToken().Position.Line, at.GetToken().Value, at.GetMessage())
	}
	return " " + err.Error()
}

// describeViolations lists every broken rule, one line each.
func describeViolations(file string, b []byte, err error) string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return file + ": " + err.Error()
	}
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		lines = append(lines, fmt.Sprintf("%s: %s: %s", fieldLocation(file, b, path), path, ruleText(f)))
	}
	return strings.Join(lines, "\n")
}

// fieldLocation returns "file:line" of a field, or of its nearest ancestor if the field
// itself is missing; the file alone if it can't be parsed.
func fieldLocation(file string, b []byte, path string) string {
	parsed, err := parser.ParseBytes(b, 0)
	if err != nil {
		return file
	}
	for path != "" {
		if line, ok := fieldLine(parsed, path); ok {
			return fmt.Sprintf("%s:%d", file, line)
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return file + ":1"
}

func fieldLine(file *ast.File, path string) (int, bool) {
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

// ruleText describes the rule that a field breaks.
func ruleText(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing"
	case "duration":
		return fmt.Sprintf("%q is not a duration such as 250ms, 10s or 1h", f.Value())
	case "duration_or_zero":
		return fmt.Sprintf("%q is neither 0 nor a duration such as 250ms, 10s or 1h", f.Value())
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
