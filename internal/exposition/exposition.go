// Package exposition writes the metrics of a registry in the Prometheus text format. Names,
// units and values are chosen by the packages that register them.
package exposition

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// quantiles are written for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// ContentType is the HTTP content type of the text.
const ContentType = "text/plain; version=0.0.4"

// Text returns the metrics of a registry, sorted, one series a line. Types other than
// counters, gauges, meters and histograms are left out.
func Text(r metrics.Registry) []byte {
	var lines []string
	r.Each(func(name string, m any) {
		lines = append(lines, metricLines(seriesOf(name), m)...)
	})
	slices.Sort(lines)
	var b bytes.Buffer
	for _, l := range lines {
		b.WriteString(l)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// series is a metric's name with its label, if any.
type series struct{ name, label string }

// BoolValue returns the gauge value of a boolean: 1 for true, 0 for false.
func BoolValue(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// labelPrefixes are the first parts of names whose middle part is a label's value; the
// prefix is the label's name.
var labelPrefixes = []string{"upstream", "route", "workspace", "service"}

// seriesOf turns "upstream.ID.calls" into a series labelled with the upstream,
// likewise for routes, workspaces and services, and every other name into one
// without a label.
func seriesOf(name string) series {
	last := strings.LastIndexByte(name, '.')
	for _, label := range labelPrefixes {
		value, ok := strings.CutPrefix(name[:max(last, 0)], label+".")
		if ok && value != "" {
			return series{"gentiancroft_" + label + "_" + sanitize(name[last+1:]), fmt.Sprintf("%s=%q", label, value)}
		}
	}
	return series{name: "gentiancroft_" + sanitize(name)}
}

func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

func (s series) line(suffix, label string, value any) string {
	labels := strings.Trim(s.label+","+label, ",")
	if labels != "" {
		labels = "{" + labels + "}"
	}
	return fmt.Sprintf("%s%s%s %v", s.name, suffix, labels, value)
}

func metricLines(s series, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{s.line("", "", m.Count())}
	case metrics.Gauge:
		return []string{s.line("", "", m.Value())}
	case metrics.GaugeFloat64:
		return []string{s.line("", "", m.Value())}
	case metrics.Meter:
		return []string{s.line("_count", "", m.Count())}
	case metrics.Histogram:
		h := m.Snapshot()
		return quantileLines(s, h.Percentiles(quantiles), h.Count())
	}
	return nil
}

func quantileLines(s series, values []float64, count int64) []string {
	lines := []string{s.line("_count", "", count)}
	for i, q := range quantiles {
		lines = append(lines, s.line("", fmt.Sprintf("quantile=\"%g\"", q), values[i]))
	}
	return lines
}
