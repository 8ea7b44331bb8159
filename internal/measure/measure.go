// Package measure defines the form of a measurement: a seeded run that reports
// a policy beside its baselines, and which targets were met. It prints reports;
// the packages below it measure.
package measure

// Measure is one named measurement.
type Measure struct {
	Name  string
	Short string // one line of help
	Run   func(seed uint64) (Report, error)
}

// Report is the result of one run.
type Report struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Tables  []Table  `json:"tables"`
	Targets []Target `json:"targets"`
}

// Table is a set of rows under columns that name their units.
type Table struct {
	Title   string   `json:"title"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
}

// Row is one case of a table, such as a policy under a trace.
type Row struct {
	Label  string    `json:"label"`
	Values []float64 `json:"values"`
}

// Target is a stated bound, the measured value and whether the bound is met.
type Target struct {
	Name     string  `json:"name"`
	Bound    string  `json:"bound"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}
