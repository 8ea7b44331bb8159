package config

import (
	"errors"
	"strconv"

	"github.com/goccy/go-yaml"

	"gentiancroft/internal/core/strictyaml"
)

const maxDocumentBytes = 32 << 20

// listItem is one entry of a list. It keeps its own error, so that all invalid entries
// of a document are reported together.
type listItem[T any] struct {
	value T
	err   error
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (i *listItem[T]) UnmarshalYAML(unmarshal func(any) error) error {
	i.err = unmarshal(&i.value)
	return nil
}

// yamlDocument is a document as it is parsed.
type yamlDocument struct {
	BaseModels []listItem[BaseModel] `yaml:"base_models"`
	Workspaces []listItem[Workspace] `yaml:"workspaces"`
	Keys       []listItem[Key]       `yaml:"keys"`
	Adapters   []listItem[Adapter]   `yaml:"adapters"`
	Routes     []listItem[Route]     `yaml:"routes"`
	Upstreams  []listItem[Upstream]  `yaml:"upstreams"`
}

// ParseYAML parses a document's YAML strictly: an unknown field or a wrong type is a
// problem with its line. The result keeps the order of the text and is not
// validated. The error is an *InvalidError.
func ParseYAML(b []byte) (*Document, error) {
	if len(b) > maxDocumentBytes {
		return nil, &InvalidError{[]Problem{{Path: "document", Reason: ReasonRange, Why: "longer than " + strconv.Itoa(maxDocumentBytes) + " bytes"}}}
	}
	t, err := strictyaml.Decode[yamlDocument](b)
	if err != nil {
		return nil, &InvalidError{[]Problem{yamlProblem("document", err)}}
	}
	d, problems := &Document{}, []Problem(nil)
	d.BaseModels = collectValues("base_models", t.BaseModels, &problems)
	d.Workspaces = collectValues("workspaces", t.Workspaces, &problems)
	d.Keys = collectValues("keys", t.Keys, &problems)
	d.Adapters = collectValues("adapters", t.Adapters, &problems)
	d.Routes = collectValues("routes", t.Routes, &problems)
	d.Upstreams = collectValues("upstreams", t.Upstreams, &problems)
	if len(problems) > 0 {
		return nil, &InvalidError{problems}
	}
	return d, nil
}

// collectValues returns the entries without an error and appends a problem for each
// other one.
func collectValues[T any](section string, items []listItem[T], problems *[]Problem) []T {
	var out []T
	for i, x := range items {
		if x.err != nil {
			*problems = append(*problems, yamlProblem(section+"["+strconv.Itoa(i)+"]", x.err))
			continue
		}
		out = append(out, x.value)
	}
	return out
}

// yamlProblem converts an error of the YAML library.
func yamlProblem(path string, err error) Problem {
	p := Problem{Path: path, Reason: ReasonSyntax, Why: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Why = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			p.Line = t.Position.Line
		}
	}
	var unreadable *strictyaml.UnreadableError
	if errors.As(err, &unreadable) {
		p.Line, p.Why = unreadable.Line, unreadable.Cause
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		p.Reason = ReasonUnknown
	}
	var wrong *yaml.TypeError
	if errors.As(err, &wrong) && wrong.StructFieldName != nil {
		p.Path += "." + *wrong.StructFieldName
	}
	return p
}

// EncodeYAML returns a document's YAML in canonical form.
func EncodeYAML(d *Document) ([]byte, error) {
	b, err := yaml.Marshal(Canonical(d))
	return b, Error.Wrap(err)
}
