package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gentiancroft/internal/peer"
)

// Modes of the files that cert writes.
const (
	certMode = 0o644
	keyMode  = 0o600
	dirMode  = 0o755
)

func certCommand() *cobra.Command {
	var directory string
	var hosts []string
	var validity time.Duration
	c := &cobra.Command{
		Use:   "cert",
		Short: "Create a test authority and host certificates for the links between hosts",
		Long: "Create a test certificate authority and host certificates for the links between hosts.\n" +
			"Writes authority.pem, and HOST.pem and HOST-key.pem for each host. The authority's\n" +
			"private key is not stored: every run creates a new authority.",
		Example: "  gentiancroft cert --dir ./certs --host sofia-a-0 --host sofia-b-0",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return writeCerts(directory, hosts, validity)
		},
	}
	c.Flags().StringVar(&directory, "dir", "certs", "directory to write to")
	c.Flags().StringSliceVar(&hosts, "host", nil, "name of a host; may be repeated")
	c.Flags().DurationVar(&validity, "valid", 30*24*time.Hour, "how long the certificates are valid")
	_ = c.MarkFlagRequired("host")
	return c
}

func writeCerts(directory string, hosts []string, validity time.Duration) error {
	authority, err := peer.NewAuthority("gentiancroft test authority", validity)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, dirMode); err != nil {
		return peer.MaterialError.Wrap(err)
	}
	if err := writePEM(directory, "authority.pem", authority.PEM, certMode); err != nil {
		return err
	}
	for _, host := range hosts {
		if host == "" || strings.ContainsAny(host, `/\`) {
			return peer.MaterialError.New("--host %q is not a host name", host)
		}
		id, err := authority.Issue(host, validity)
		if err != nil {
			return err
		}
		if err := writePEM(directory, host+".pem", id.Certificate, certMode); err != nil {
			return err
		}
		if err := writePEM(directory, host+"-key.pem", id.Key, keyMode); err != nil {
			return err
		}
	}
	return nil
}

func writePEM(directory, name string, b []byte, mode os.FileMode) error {
	return peer.MaterialError.Wrap(os.WriteFile(filepath.Join(directory, name), b, mode))
}
