package config

import (
	"errors"
	"strconv"

	"github.com/goccy/go-yaml"
)

// maxDocumentBytes bounds a document's text.
const maxDocumentBytes = 32 << 20

// item is one entry of a list. It keeps its own error, so that a document's
// bad entries are all told at once.
type item[T any] struct {
	value T
	err   error
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (i *item[T]) UnmarshalYAML(unmarshal func(any) error) error {
	i.err = unmarshal(&i.value)
	return nil
}

// text is a document as it is read.
type text struct {
	BaseModels []item[BaseModel] `yaml:"base_models"`
	Workspaces []item[Workspace] `yaml:"workspaces"`
	Keys       []item[Key]       `yaml:"keys"`
	Adapters   []item[Adapter]   `yaml:"adapters"`
	Routes     []item[Route]     `yaml:"routes"`
	Upstreams  []item[Upstream]  `yaml:"upstreams"`
}

// Parse reads a document's YAML strictly: an unknown field or a wrong type is a
// problem with its line. The result is in canonical form but not validated.
// The error is an *InvalidError.
func Parse(b []byte) (*Document, error) {
	if len(b) > maxDocumentBytes {
		return nil, &InvalidError{[]Problem{{Path: "document", Reason: ReasonRange, Why: "longer than " + strconv.Itoa(maxDocumentBytes) + " bytes"}}}
	}
	var t text
	if err := yaml.UnmarshalWithOptions(b, &t, yaml.Strict()); err != nil {
		return nil, &InvalidError{[]Problem{textProblem("document", err)}}
	}
	d, problems := &Document{}, []Problem(nil)
	d.BaseModels = take("base_models", t.BaseModels, &problems)
	d.Workspaces = take("workspaces", t.Workspaces, &problems)
	d.Keys = take("keys", t.Keys, &problems)
	d.Adapters = take("adapters", t.Adapters, &problems)
	d.Routes = take("routes", t.Routes, &problems)
	d.Upstreams = take("upstreams", t.Upstreams, &problems)
	if len(problems) > 0 {
		return nil, &InvalidError{problems}
	}
	return d, nil
}

func take[T any](section string, items []item[T], problems *[]Problem) []T {
	var out []T
	for i, x := range items {
		if x.err != nil {
			*problems = append(*problems, textProblem(section+"["+strconv.Itoa(i)+"]", x.err))
			continue
		}
		out = append(out, x.value)
	}
	return out
}

// textProblem turns the YAML library's error into a problem.
func textProblem(path string, err error) Problem {
	p := Problem{Path: path, Reason: ReasonSyntax, Why: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Why = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			p.Line = t.Position.Line
		}
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

// Text returns a document's YAML in canonical form.
func Text(d *Document) ([]byte, error) {
	b, err := yaml.Marshal(Canonical(d))
	return b, Error.Wrap(err)
}
