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
	var former string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run hosts as processes under random faults and check what callers and replicas see",
		Long: `Runs hosts as processes under random faults and checks what callers and replicas see.

With --former, it shows instead that this build and a former one run side by side. It builds the
former commit from the git history of the working directory, starts four hosts of it under load,
replaces them one at a time by this build and then back, and injects no other fault. In addition to
the usual checks, callers are served throughout, and hosts of both builds stay in touch and decode
each other's messages.`,
		Example: "  gentiancroft soak --seed 7 --seeds 4\n  gentiancroft soak --former 48aacaf --seeds 3",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			program, err := os.Executable()
			if err != nil {
				return errSoak.Wrap(err)
			}
			settings := soak.Settings{Program: program, Duration: length}
			if former != "" {
				if !c.Flags().Changed("length") {
					settings.Duration = soak.UpgradeLength
				}
				if _, err := soak.NewUpgradePlan(seed, settings.Duration); err != nil {
					return errUsage.Wrap(err)
				}
				dir, err := os.MkdirTemp("", "gentiancroft-former-")
				if err != nil {
					return errSoak.Wrap(err)
				}
				defer func() { _ = os.RemoveAll(dir) }()
				if settings.Former, err = soak.BuildFormer(former, dir); err != nil {
					return errSoak.Wrap(err)
				}
			}
			return soakSeeds(c, settings, seed, seeds)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "first seed; a seed determines the plan of faults, or of the upgrade")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds to run, one after the other")
	c.Flags().DurationVar(&length, "length", 20*time.Second, "how long callers send requests; 76s with --former if it isn't given")
	c.Flags().StringVar(&former, "former", "", "commit of a former build, for an upgrade to this build and back in place of faults")
	return c
}

// soakSeeds runs seeds one after the other, from the first on. The error says how many failed.
func soakSeeds(c *cobra.Command, s soak.Settings, first uint64, seeds int) error {
	failed := 0
	for i := range seeds {
		s.Seed = first + uint64(i)
		ok, err := soakOne(c, s)
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
}

// soakOne runs one seed and reports whether it passed. If it failed, the hosts' logs are
// kept.
func soakOne(c *cobra.Command, s soak.Settings) (ok bool, err error) {
	dir, err := os.MkdirTemp("", "gentiancroft-soak-")
	if err != nil {
		return false, err
	}
	s.Dir = dir
	r, err := soak.Run(s)
	if err != nil {
		return false, err
	}
	c.Printf("seed %d: %d hosts, %d faults, %d requests, %d served, %d violations\n", s.Seed, r.Plan.Hosts, len(r.Plan.Faults), r.Requests, r.Served, len(r.Violations))
	if u := r.Upgrade; r.Plan.Upgrade {
		c.Printf("  %d replacements of %.2f s at most; beside each other the former build served %d requests and this one %d; %.3f served in the worst 2 s\n", u.Replaced, u.Longest.Seconds(), u.ServedFormer, u.ServedThis, u.LowestShare)
	}
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
