package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"gentiancroft/internal/load"
)

func loadCommand() *cobra.Command {
	o := load.Options{UseEntries: true}
	var adapters int
	var prefix, output string
	c := &cobra.Command{
		Use:   "load",
		Short: "Generate open-loop load on hosts on this machine",
		Long: "Generate open-loop load on hosts on this machine: Poisson arrivals, adapters by Zipf's law,\n" +
			"and a fraction of callers that hang up. Latency counts from the scheduled start of a request.",
		Example: "  gentiancroft load --target 127.0.0.2:8080 --key k1 --key k2 --rate 50 --duration 30s --cancel 0.6",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if output != "text" && output != "json" {
				return load.Invalid.New("--output is text or json, not %q", output)
			}
			for i := range adapters {
				o.Adapters = append(o.Adapters, fmt.Sprintf("%s%d", prefix, i))
			}
			r, err := load.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if output == "json" {
				return r.WriteJSON(c.OutOrStdout())
			}
			return r.WriteText(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.StringSliceVar(&o.Targets, "target", nil, "ip:port of a host on this machine; may be repeated")
	f.StringSliceVar(&o.Keys, "key", nil, "a caller's key; may be repeated")
	f.StringVar(&o.Path, "path", "/v1/completions", "path of the completions endpoint")
	f.Float64Var(&o.RequestsPerSecond, "rate", 10, "requests per second")
	f.IntVar(&o.MaxRequests, "requests", 100_000, "maximum number of requests")
	f.DurationVar(&o.Duration, "duration", 10*time.Second, "maximum time during which requests are started")
	f.DurationVar(&o.RequestTimeout, "timeout", time.Minute, "timeout of one request")
	f.IntVar(&adapters, "adapters", 0, "number of adapters, named --adapter-prefix and a number from 0")
	f.StringVar(&prefix, "adapter-prefix", "adapter-", "prefix of the adapters' names")
	f.StringSliceVar(&o.Adapters, "adapter", nil, "an adapter by name, the most popular first; may be repeated")
	f.Float64Var(&o.ZipfExponent, "skew", 1.1, "exponent of Zipf's law, above 1")
	f.IntVar(&o.MaxTokens, "max-tokens", 64, "max_tokens of a request")
	f.IntVar(&o.PromptBytes, "prompt", 512, "bytes of the prompt")
	f.Float64Var(&o.CancelFraction, "cancel", 0, "fraction of callers that hang up")
	f.DurationVar(&o.MeanCancelDelay, "cancel-after", time.Second, "mean time until a hang-up")
	f.BoolVar(&o.UseEntries, "follow", true, "get the hosts' addresses from GET /v1/entries and refresh them when that answer expires")
	f.Uint64Var(&o.Seed, "seed", defaultSeed, "seed of arrivals, adapters and hang-ups")
	f.StringVar(&output, "output", "text", "text or json")
	return c
}
