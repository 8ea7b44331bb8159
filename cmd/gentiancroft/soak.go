package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"gentiancroft/platform/platformtest/soak"
)

// errSoak is the class of errors for soak runs that failed or violated a guarantee.
var errSoak = errs.Class("soak")

func soakCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var length time.Duration
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run hosts as processes under random faults and check what callers and replicas see",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			failed := 0
			for i := range seeds {
				ok, err := soakOne(c, seed+uint64(i), length)
				if err != nil {
					return errSoak.Wrap(err)
				}
				if !ok {
					failed++
				}
			}
			if failed > 0 {
				return errSoak.New("%d of %d seeds violated a guarantee", failed, seeds)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "first seed; a seed determines the plan of faults")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds to run, one after the other")
	c.Flags().DurationVar(&length, "length", 20*time.Second, "how long callers send requests")
	return c
}

// soakOne runs one seed and reports whether it passed. If it failed, the hosts' logs are
// kept.
func soakOne(c *cobra.Command, seed uint64, length time.Duration) (ok bool, err error) {
	program, err := os.Executable()
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "gentiancroft-soak-")
	if err != nil {
		return false, err
	}
	r, err := soak.Run(soak.Settings{Program: program, Dir: dir, Seed: seed, Duration: length})
	if err != nil {
		return false, err
	}
	c.Printf("seed %d: %d hosts, %d faults, %d requests, %d served, %d violations\n", seed, r.Plan.Hosts, len(r.Plan.Faults), r.Requests, r.Served, len(r.Violations))
	if len(r.Violations) == 0 {
		return true, os.RemoveAll(dir)
	}
	for _, v := range r.Violations {
		c.Println("  " + v.String())
	}
	for _, f := range r.Plan.Faults {
		c.Println(fmt.Sprintf("    %v", f))
	}
	c.Println("  logs in " + dir)
	return false, nil
}
