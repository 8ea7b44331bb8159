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

func TestTourSucceedsAndMetricsAreDocumented(t *testing.T) {
	log.SetHandler(discard.Default)
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := start(ctx, "parapet")
	is.NoErr(err)
	defer d.stop()
	for _, s := range d.runTour(ctx, io.Discard).Steps {
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

// documented reports whether the page names a metric or its group.
func documented(page, name string) bool {
	group := name[:strings.LastIndexByte(name, '.')+1] + "*"
	return strings.Contains(page, "`"+name+"`") || strings.Contains(page, "`"+group+"`")
}

// Checks every decision that the core can log, including those that don't occur
// in the tour.
func TestEveryDecisionIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	is.NoErr(err)
	logged := regexp.MustCompile(`\.(?:note|logDecision)\("([a-z_.]+)"(?:, "([a-z_]+)")?`)
	found := 0
	for _, dir := range []string{"../core/node", "../core/placement"} {
		files, err := filepath.Glob(dir + "/*.go")
		is.NoErr(err)
		for _, f := range files {
			b, err := os.ReadFile(f)
			is.NoErr(err)
			for _, m := range logged.FindAllStringSubmatch(string(b), -1) {
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

// metricNames returns the names of the hosts' metrics, with * for the name of
// an upstream.
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

func TestInvalidOptionsAreRejected(t *testing.T) {
	is := is.New(t)
	is.True(InvalidOptions.Has(Run(context.Background(), &bytes.Buffer{}, Options{Deployment: "parapet", Output: "xml"})))
	is.True(InvalidOptions.Has(Run(context.Background(), &bytes.Buffer{}, Options{Deployment: "nobody", Output: "json"})))
}

// Metric names can be built from parts, so only the last part of each
// documented name is searched for in the code.
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
