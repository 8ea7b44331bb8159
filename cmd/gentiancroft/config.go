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
	f.StringVar(&o.operator, "operator", "", "who is asking; goes to the audit trail")
	f.StringVar(&o.keyFile, "key-file", "", "file with the operator's key, which signs the audit record")
	f.StringVar(&o.output, "output", "text", "text or json")
}

// connect returns the service at the platform and how to leave it.
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

// who returns the operator that the flags name.
func (o *adminOptions) who() (admin.Operator, error) {
	if o.operator == "" {
		return admin.Operator{}, admin.Invalid.New("--operator must be given: the audit trail names who changes something")
	}
	who := admin.Operator{Name: o.operator, Via: "command line"}
	if o.keyFile != "" {
		b, err := os.ReadFile(o.keyFile)
		if err != nil {
			return admin.Operator{}, admin.Invalid.Wrap(err)
		}
		who.Key = strings.TrimSpace(string(b))
	}
	return who, nil
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

// readDocument reads and checks a file, "-" for standard input. The version
// that it was made from is 0 where it does not say.
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
	if m := fromLine.FindSubmatch(text); m != nil {
		from, err = strconv.ParseUint(string(m[1]), 10, 64)
	}
	return d, from, admin.Invalid.Wrap(err)
}

// fromLine is how a shown document says which version it is.
var fromLine = regexp.MustCompile(`(?m)^# gentiancroft configuration version (\d+)\b`)

func checkCommand(o *adminOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Tell everything that is wrong with a document",
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

// oneFile makes a wrong number of arguments a usage error.
func oneFile(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return admin.Invalid.New("one file must be named, - for standard input")
	}
	return nil
}

func diffCommand(o *adminOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Tell what a document would change, and what that would break",
		Example: "  gentiancroft config diff document.yaml --platform 10.0.0.5:7000 --output json",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			next, _, err := readDocument(c, args[0])
			if err != nil {
				return err
			}
			s, ctx, leave, err := o.connect(c.Context())
			if err != nil {
				return err
			}
			defer leave()
			base, err := s.Load(ctx)
			if err != nil {
				return err
			}
			plan, err := s.Plan(base, next, nil)
			if err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), summary{Version: base.Head.Version, Changes: plan.Changes, Warnings: plan.Warnings}, "")
		},
	}
}

func applyCommand(o *adminOptions) *cobra.Command {
	var from uint64
	var anyway bool
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a document the accepted configuration",
		Long: `Make a document the accepted configuration.

The document must say which version it was made from: config show writes that
as a comment, or give --from. Where another operator changed something since,
nothing is applied and the command tells who changed what.`,
		Example: `  gentiancroft config apply document.yaml --platform 10.0.0.5:7000 --operator ana
  gentiancroft config apply first.yaml --from 0 --platform 10.0.0.5:7000 --operator ana`,
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			next, said, err := readDocument(c, args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("from") {
				said = from
			} else if said == 0 {
				return admin.Invalid.New("the document does not say which version it was made from; give --from (0 for the first)")
			}
			return o.apply(c, next, said, anyway)
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "the version that the document was made from")
	c.Flags().BoolVar(&anyway, "accept-warnings", false, "apply although something would break")
	return c
}

func (o *adminOptions) apply(c *cobra.Command, next *config.Document, from uint64, anyway bool) error {
	who, err := o.who()
	if err != nil {
		return err
	}
	s, ctx, leave, err := o.connect(c.Context())
	if err != nil {
		return err
	}
	defer leave()
	base, err := s.Load(ctx)
	if err != nil {
		return err
	}
	if err := s.MadeFrom(ctx, base, from); err != nil {
		return err
	}
	plan, err := s.Plan(base, next, nil)
	if err != nil {
		return err
	}
	if len(plan.Warnings) > 0 && !anyway {
		if err := o.print(c.OutOrStdout(), summary{Version: base.Head.Version, Changes: plan.Changes, Warnings: plan.Warnings}, ""); err != nil {
			return err
		}
		return admin.Invalid.New("%d warning(s); apply with --accept-warnings if that is meant", len(plan.Warnings))
	}
	h, err := s.Apply(ctx, who, plan)
	if err != nil {
		return err
	}
	return o.print(c.OutOrStdout(), summary{Version: h.Version, Hash: h.Hash, Changes: plan.Changes, Warnings: plan.Warnings}, "accepted as version "+strconv.FormatUint(h.Version, 10))
}

func showCommand(o *adminOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Print the accepted document, ready to be edited and applied",
		Example: "  gentiancroft config show --platform 10.0.0.5:7000 > document.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, ctx, leave, err := o.connect(c.Context())
			if err != nil {
				return err
			}
			defer leave()
			now, err := s.Load(ctx)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return admin.Damaged.Wrap(json.NewEncoder(c.OutOrStdout()).Encode(shown{now.Head.Version, now.Head.Hash, now.Head.By, now.Head.At, now.Document}))
			}
			text, err := config.EncodeYAML(now.Document)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "# gentiancroft configuration version %d by %s at %s\n%s", now.Head.Version, now.Head.By, now.Head.At.UTC().Format(time.RFC3339), text)
			return err
		},
	}
}

// shown is the accepted document with its version.
type shown struct {
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
