package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

func TestTourHolds(t *testing.T) {
	log.SetHandler(discard.Default)
	is := is.New(t)
	var out bytes.Buffer
	err := Run(context.Background(), &out, Options{Deployment: "parapet", Output: "json"})
	var r Result
	is.NoErr(json.Unmarshal(out.Bytes(), &r))
	for _, s := range r.Steps {
		if !s.OK {
			t.Errorf("%s: %s", s.Name, s.Detail)
		}
	}
	is.NoErr(err)
}

func TestBadOptions(t *testing.T) {
	is := is.New(t)
	is.True(Usage.Has(Run(context.Background(), &bytes.Buffer{}, Options{Deployment: "parapet", Output: "xml"})))
	is.True(Usage.Has(Run(context.Background(), &bytes.Buffer{}, Options{Deployment: "nobody", Output: "json"})))
}
