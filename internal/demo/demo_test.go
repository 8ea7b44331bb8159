package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestTourHolds(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	err := Run(context.Background(), &out, Options{Deployment: "parapet", Output: "json"})
	is.NoErr(err)
	var r Result
	is.NoErr(json.Unmarshal(out.Bytes(), &r))
	is.True(r.OK)
}
