package table

import (
	"testing"

	"github.com/matryer/is"
)

func TestRouteTakesTheLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := Table{Routes: []Route{
		{Name: "all", Host: "a", Prefix: "/"},
		{Name: "one", Host: "a", Prefix: "/one/"},
		{Name: "deep", Host: "a", Prefix: "/one/two/"},
		{Name: "other", Host: "b", Prefix: "/one/"},
	}}
	table.Index()
	for path, want := range map[string]string{"/": "all", "/x": "all", "/one": "all", "/one/": "one", "/one/x": "one", "/one/two/x/y": "deep"} {
		is.Equal(table.Route("a", path).Name, want)
	}
	is.Equal(table.Route("b", "/one/x").Name, "other")
	is.True(table.Route("b", "/two/") == nil)
	is.True(table.Route("c", "/one/") == nil)
	is.True(table.Route("a", "") == nil)
}

func TestTargetFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	count := map[ServiceID]int{}
	for i := range uint64(1000) {
		count[r.Target(i)]++
	}
	is.Equal(count["a"], 900)
	is.Equal(count["b"], 100)
	is.Equal((&Route{}).Target(3), ServiceID(""))
}

func TestOnlyIdempotentAndResumableWorkRepeats(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Idempotent}).Repeatable())
	is.True(!(&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
	is.True(!(&Route{Kind: Streaming}).Repeatable())
	is.True((&Route{Kind: Streaming, Resumable: true}).Repeatable())
}
