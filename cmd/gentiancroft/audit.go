package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"gentiancroft/internal/admin"
)

// defaultAuditVersions is how many of the newest versions audit shows by default.
const defaultAuditVersions = 50

func auditCommand() *cobra.Command {
	var o adminOptions
	var from, to uint64
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed the configuration, when, and what was changed",
		Example: `  gentiancroft audit --platform 10.0.0.5:7000
  gentiancroft audit --platform 10.0.0.5:7000 --from 1200 --to 1300 --output json
  gentiancroft audit --platform 10.0.0.5:7000 --key-file ana.key`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, ctx, closeClient, err := o.connect(c.Context())
			if err != nil {
				return err
			}
			defer closeClient()
			if from == 0 {
				now, err := s.Load(ctx)
				if err != nil {
					return err
				}
				last := min(to, now.Head.Version)
				from = last - min(last, defaultAuditVersions) + 1
			}
			records, err := s.History(ctx, from, to)
			if err != nil {
				return err
			}
			key := ""
			if o.keyFile != "" {
				operator, err := (&adminOptions{operator: "-", keyFile: o.keyFile}).operatorFromFlags()
				if err != nil {
					return err
				}
				key = operator.Key
			}
			return o.printAudit(c.OutOrStdout(), records, key)
		},
	}
	o.register(c)
	c.Flags().Uint64Var(&from, "from", 0, "oldest version to show; 0: the last 50")
	c.Flags().Uint64Var(&to, "to", 1<<63, "newest version to show")
	return c
}

func (o *adminOptions) printAudit(w io.Writer, records []admin.Record, key string) error {
	if o.output == "json" {
		return json.NewEncoder(w).Encode(records)
	}
	for _, r := range records {
		fmt.Fprintf(w, "version %d, from %d, by %s (%s) at %s%s\n", r.Version, r.From, r.By, r.Via, r.At.UTC().Format(time.RFC3339), signature(r, key))
		for _, c := range r.Changes {
			fmt.Fprintln(w, "  "+c.String())
		}
		if r.Omitted > 0 {
			fmt.Fprintf(w, "  and %d more\n", r.Omitted)
		}
	}
	return nil
}

// signature describes a record's signature: whether it has one, and whether key made it.
// It returns "" for an unsigned record.
func signature(r admin.Record, key string) string {
	switch {
	case r.Signature == "":
		return ""
	case key == "":
		return ", signed"
	case r.SignedBy(key):
		return ", signed with this key"
	}
	return ", signed with another key"
}
