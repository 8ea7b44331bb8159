package config

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestSampleDocumentsAreValid(t *testing.T) {
	for _, name := range []string{"parapet", "embalse"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile("../../../examples/documents/" + name + ".yaml")
			is.NoErr(err)
			d, err := ParseYAML(text)
			is.NoErr(err)
			is.Equal(Validate(d), nil)
			is.Equal(len(d.Adapters), 3000)
			is.Equal(Warnings(d, d, nil), nil)
		})
	}
}
