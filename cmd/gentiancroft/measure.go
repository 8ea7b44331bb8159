package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"gentiancroft/internal/measure"
	"gentiancroft/internal/measure/adapters"
	"gentiancroft/internal/measure/fairness"
	"gentiancroft/internal/measure/limits"
	"gentiancroft/internal/measure/membership"
	"gentiancroft/internal/measure/once"
	"gentiancroft/internal/measure/overhead"
	"gentiancroft/internal/report"
)

const defaultSeed = 1

// measures are all measurements that `measure` and `report` run.
var measures = []measure.Measure{
	adapters.Measure,
	limits.Measure,
	fairness.Measure,
	membership.Measure,
	once.Measure,
	overhead.Measure,
}

func measureCommand() *cobra.Command {
	var seed uint64
	var output string
	c := &cobra.Command{
		Use:     "measure",
		Short:   "Measure the policies against their baselines",
		Example: "  gentiancroft measure limits --output json\n  gentiancroft measure all",
	}
	c.PersistentFlags().Uint64Var(&seed, "seed", defaultSeed, "seed of the run")
	c.PersistentFlags().StringVar(&output, "output", "text", "text or json")
	for _, m := range measures {
		c.AddCommand(&cobra.Command{
			Use:     m.Name,
			Short:   m.Short,
			Example: "  gentiancroft measure " + m.Name + " --output json",
			Args:    cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return runMeasures(c.OutOrStdout(), []measure.Measure{m}, seed, output)
			},
		})
	}
	c.AddCommand(&cobra.Command{
		Use:     "all",
		Short:   "Run every measurement",
		Example: "  gentiancroft measure all --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runMeasures(c.OutOrStdout(), measures, seed, output)
		},
	})
	return c
}

func runMeasures(w io.Writer, all []measure.Measure, seed uint64, output string) error {
	write := measure.WriteText
	switch output {
	case "text":
	case "json":
		write = measure.WriteJSON
	default:
		return errUsage.New("--output is text or json, not %q", output)
	}
	for _, m := range all {
		r, err := m.Run(seed)
		if err != nil {
			return fmt.Errorf("measure %s: %w", m.Name, err)
		}
		if err := write(w, r); err != nil {
			return err
		}
	}
	return nil
}

func reportCommand() *cobra.Command {
	var seed uint64
	var file string
	c := &cobra.Command{
		Use:     "report",
		Short:   "Write all measurements as one HTML page",
		Example: "  gentiancroft report --file report.html",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return writeReport(file, seed)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", defaultSeed, "seed of the runs")
	c.Flags().StringVar(&file, "file", "report.html", "file to write the page to")
	return c
}

func writeReport(file string, seed uint64) error {
	reports := make([]measure.Report, 0, len(measures))
	for _, m := range measures {
		r, err := m.Run(seed)
		if err != nil {
			return fmt.Errorf("measure %s: %w", m.Name, err)
		}
		reports = append(reports, r)
	}
	f, err := os.Create(file)
	if err != nil {
		return report.Error.Wrap(err)
	}
	if err := report.Write(f, reports); err != nil {
		_ = f.Close()
		return err
	}
	return report.Error.Wrap(f.Close())
}
