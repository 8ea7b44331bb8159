package demo

import (
	"bytes"
	"context"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

func TestTourHoldsAndItsMetricsAreDocumented(t *testing.T) {
	log.SetHandler(discard.Default)
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := start(ctx, "parapet")
	is.NoErr(err)
	defer d.stop()
	for _, s := range d.walk(ctx, io.Discard).Steps {
		if !s.OK {
			t.Errorf("%s: %s", s.Name, s.Detail)
		}
	}
	page, err := os.ReadFile("../../docs/metrics.md")
	is.NoErr(err)
	for _, name := range metricNames(d) {
		if !documented(string(page), name) {
			t.Errorf("docs/metrics.md does not name %s", name)
		}
	}
}

// documented reports whether the page has a metric, by name or as one of a group.
func documented(page, name string) bool {
	group := name[:strings.LastIndexByte(name, '.')+1] + "*"
	return strings.Contains(page, "`"+name+"`") || strings.Contains(page, "`"+group+"`")
}

// Every decision that the core can note is on the page, whether or not a run
// comes to it.
func TestEveryDecisionIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	is.NoErr(err)
	noted := regexp.MustCompile(`\.note\("([a-z_.]+)"(?:, "([a-z_]+)")?`)
	found := 0
	for _, dir := range []string{"../core/node", "../core/placement"} {
		files, err := filepath.Glob(dir + "/*.go")
		is.NoErr(err)
		for _, f := range files {
			b, err := os.ReadFile(f)
			is.NoErr(err)
			for _, m := range noted.FindAllStringSubmatch(string(b), -1) {
				found++
				name := strings.Trim("decision."+m[1]+"."+m[2], ".")
				if !documented(string(page), name) && !strings.Contains(string(page), "`"+name+".") {
					t.Errorf("docs/metrics.md does not name %s (%s)", name, f)
				}
			}
		}
	}
	is.True(found > 30)
}

// metricNames are the metrics that the hosts count, with * for what varies.
func metricNames(d *deployment) []string {
	var names []string
	for _, h := range d.hosts {
		h.Metrics.Each(func(name string, _ any) {
			if rest, ok := strings.CutPrefix(name, "upstream."); ok {
				name = "upstream.*" + rest[strings.LastIndexByte(rest, '.'):]
			}
			names = append(names, name)
		})
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func TestBadOptions(t *testing.T) {
	is := is.New(t)
	is.True(Usage.Has(Run(context.Background(), &bytes.Buffer{}, Options{Deployment: "parapet", Output: "xml"})))
	is.True(Usage.Has(Run(context.Background(), &bytes.Buffer{}, Options{Deployment: "nobody", Output: "json"})))
}

// Every metric that the page names stands in the code, whole or by its parts.
func TestDocumentedMetricsExist(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	is.NoErr(err)
	var code strings.Builder
	is.NoErr(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			b, err := os.ReadFile(path)
			code.Write(b)
			return err
		}
		return err
	}))
	names := regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(string(page), -1)
	is.True(len(names) > 50)
	for _, n := range names {
		last := n[1][strings.LastIndexByte(n[1], '.')+1:]
		if last != "*" && !strings.Contains(code.String(), last) {
			t.Errorf("no code for %s", n[1])
		}
	}
}
