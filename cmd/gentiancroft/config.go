package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gentiancroft/internal/admin"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/platform"
)

// commandTimeout bounds one administrative command.
const commandTimeout = 2 * time.Minute

// adminOptions are the flags that config and audit share.
type adminOptions struct {
	platform string
	operator string
	keyFile  string
	output   string
}

func (o *adminOptions) register(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&o.platform, "platform", "", "the platform's address, ip:port")
	f.StringVar(&o.operator, "operator", "", "name of the operator, for the audit trail")
	f.StringVar(&o.keyFile, "key-file", "", "file with the operator's key, which signs the audit record")
	f.StringVar(&o.output, "output", "text", "text or json")
}

// connect returns the administration service on the platform, a context that ends after
// commandTimeout, and a function that releases both.
func (o *adminOptions) connect(ctx context.Context) (*admin.Service, context.Context, func(), error) {
	if o.platform == "" {
		return nil, nil, nil, admin.Invalid.New("--platform must be given")
	}
	if o.output != "text" && o.output != "json" {
		return nil, nil, nil, admin.Invalid.New("--output must be text or json")
	}
	client := platform.New(platform.Options{Address: o.platform})
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	return admin.New(client), ctx, func() { cancel(); client.Close() }, nil
}

// withAccepted connects and calls f with the accepted configuration.
func (o *adminOptions) withAccepted(ctx context.Context, f func(context.Context, *admin.Service, *admin.AcceptedConfiguration) error) error {
	s, ctx, closeClient, err := o.connect(ctx)
	if err != nil {
		return err
	}
	defer closeClient()
	accepted, err := s.Load(ctx)
	if err != nil {
		return err
	}
	return f(ctx, s, accepted)
}

// operatorFromFlags returns the operator that the flags name.
func (o *adminOptions) operatorFromFlags() (admin.Operator, error) {
	if o.operator == "" {
		return admin.Operator{}, admin.Invalid.New("--operator must be given: the audit trail records who made a change")
	}
	operator := admin.Operator{Name: o.operator, Via: "command line"}
	if o.keyFile != "" {
		b, err := os.ReadFile(o.keyFile)
		if err != nil {
			return admin.Operator{}, admin.Invalid.Wrap(err)
		}
		operator.Key = strings.TrimSpace(string(b))
	}
	return operator, nil
}

func configCommand() *cobra.Command {
	var o adminOptions
	c := &cobra.Command{
		Use:   "config",
		Short: "Check, compare, apply and show the configuration",
		Example: `  gentiancroft config show --platform 10.0.0.5:7000 > document.yaml
  gentiancroft config check document.yaml
  gentiancroft config diff document.yaml --platform 10.0.0.5:7000
  gentiancroft config apply document.yaml --platform 10.0.0.5:7000 --operator ana --key-file ana.key`,
	}
	o.register(c)
	c.AddCommand(checkCommand(&o), diffCommand(&o), applyCommand(&o), showCommand(&o))
	return c
}

// readDocument reads and validates a document from a file, or from standard input if
// the name is "-". from is the version on which the document is based, 0 if the document
// doesn't state one.
func readDocument(c *cobra.Command, name string) (d *config.Document, from uint64, err error) {
	var text []byte
	if name == "-" {
		text, err = io.ReadAll(c.InOrStdin())
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, 0, admin.Invalid.Wrap(err)
	}
	if d, err = config.ParseYAML(text); err == nil {
		err = config.Check(d)
	}
	if err != nil {
		return nil, 0, admin.Invalid.Wrap(err)
	}
	if m := versionLine.FindSubmatch(text); m != nil {
		from, err = strconv.ParseUint(string(m[1]), 10, 64)
	}
	return d, from, admin.Invalid.Wrap(err)
}

// versionLine matches the comment in which config show states the version.
var versionLine = regexp.MustCompile(`(?m)^# gentiancroft configuration version (\d+)\b`)

func checkCommand(o *adminOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "List every error in a document",
		Example: "  gentiancroft config check examples/documents/parapet.yaml",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			d, _, err := readDocument(c, args[0])
			if err != nil {
				return err
			}
			warnings := config.Warnings(&config.Document{}, d, nil)
			return o.print(c.OutOrStdout(), summary{Warnings: warnings}, "the document is valid")
		},
	}
}

// oneFile returns a usage error unless there is exactly one argument.
func oneFile(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return admin.Invalid.New("exactly one file must be given; - is standard input")
	}
	return nil
}

func diffCommand(o *adminOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what a document would change and the warnings that this raises",
		Example: "  gentiancroft config diff document.yaml --platform 10.0.0.5:7000 --output json",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			next, _, err := readDocument(c, args[0])
			if err != nil {
				return err
			}
			return o.withAccepted(c.Context(), func(_ context.Context, s *admin.Service, base *admin.AcceptedConfiguration) error {
				plan, err := s.Plan(base, next, nil)
				if err != nil {
					return err
				}
				return o.print(c.OutOrStdout(), summary{Version: base.Head.Version, Changes: plan.Changes, Warnings: plan.Warnings}, "")
			})
		},
	}
}

func applyCommand(o *adminOptions) *cobra.Command {
	var from uint64
	var acceptWarnings bool
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a document the accepted configuration",
		Long: `Make a document the accepted configuration.

The document must state the version on which it is based: config show writes it
as a comment, and --from overrides it. If the configuration has changed since that
version, nothing is applied and the error lists who changed what.`,
		Example: `  gentiancroft config apply document.yaml --platform 10.0.0.5:7000 --operator ana
  gentiancroft config apply first.yaml --from 0 --platform 10.0.0.5:7000 --operator ana`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			next, baseVersion, err := readDocument(c, args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("from") {
				baseVersion = from
			} else if baseVersion == 0 {
				return admin.Invalid.New("the document does not say which version it was made from; give --from (0 for the first document)")
			}
			return o.apply(c, next, baseVersion, acceptWarnings)
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "version on which the document is based")
	c.Flags().BoolVar(&acceptWarnings, "accept-warnings", false, "apply despite warnings")
	return c
}

// change is a document to apply, and the terms of its application.
type change struct {
	next           *config.Document
	from           uint64 // version on which the document is based
	operator       admin.Operator
	acceptWarnings bool
}

func (o *adminOptions) apply(c *cobra.Command, next *config.Document, from uint64, acceptWarnings bool) error {
	operator, err := o.operatorFromFlags()
	if err != nil {
		return err
	}
	return o.withAccepted(c.Context(), func(ctx context.Context, s *admin.Service, base *admin.AcceptedConfiguration) error {
		return o.applyTo(ctx, c.OutOrStdout(), s, base, change{next: next, from: from, operator: operator, acceptWarnings: acceptWarnings})
	})
}

// applyTo applies a change to the accepted configuration.
func (o *adminOptions) applyTo(ctx context.Context, w io.Writer, s *admin.Service, base *admin.AcceptedConfiguration, x change) error {
	if err := s.CheckBaseVersion(ctx, base, x.from); err != nil {
		return err
	}
	plan, err := s.Plan(base, x.next, nil)
	if err != nil {
		return err
	}
	if len(plan.Warnings) > 0 && !x.acceptWarnings {
		if err := o.print(w, summary{Version: base.Head.Version, Changes: plan.Changes, Warnings: plan.Warnings}, ""); err != nil {
			return err
		}
		return admin.Invalid.New("%d warning(s), so nothing was applied; --accept-warnings applies the document anyway", len(plan.Warnings))
	}
	h, err := s.Apply(ctx, x.operator, plan)
	if err != nil {
		return err
	}
	return o.print(w, summary{Version: h.Version, Hash: h.Hash, Changes: plan.Changes, Warnings: plan.Warnings}, "accepted as version "+strconv.FormatUint(h.Version, 10))
}

func showCommand(o *adminOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Print the accepted document, for editing and applying",
		Example: "  gentiancroft config show --platform 10.0.0.5:7000 > document.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withAccepted(c.Context(), func(_ context.Context, _ *admin.Service, now *admin.AcceptedConfiguration) error {
				return o.show(c.OutOrStdout(), now)
			})
		},
	}
}

// show prints the accepted configuration.
func (o *adminOptions) show(w io.Writer, now *admin.AcceptedConfiguration) error {
	if o.output == "json" {
		return admin.Damaged.Wrap(json.NewEncoder(w).Encode(showOutput{now.Head.Version, now.Head.Hash, now.Head.By, now.Head.At, now.Document}))
	}
	text, err := config.EncodeYAML(now.Document)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "# gentiancroft configuration version %d by %s at %s\n%s", now.Head.Version, now.Head.By, now.Head.At.UTC().Format(time.RFC3339), text)
	return err
}

// showOutput is the JSON output of config show: the accepted document with its version.
type showOutput struct {
	Version  uint64           `json:"version"`
	Hash     string           `json:"hash"`
	By       string           `json:"by"`
	At       time.Time        `json:"at"`
	Document *config.Document `json:"document"`
}

// summary is what a command prints about a change.
type summary struct {
	Version  uint64           `json:"version,omitempty"`
	Hash     string           `json:"hash,omitempty"`
	Changes  []config.Change  `json:"changes,omitempty"`
	Warnings []config.Warning `json:"warnings,omitempty"`
}

func (o *adminOptions) print(w io.Writer, r summary, last string) error {
	if o.output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	for _, x := range r.Warnings {
		fmt.Fprintln(w, "warning:", x)
	}
	if last != "" {
		fmt.Fprintln(w, last)
	}
	return nil
}
