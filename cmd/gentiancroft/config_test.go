package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"gentiancroft/internal/admin"
	standin "gentiancroft/internal/standin/platform"
)

// execute runs a command line and returns what it prints.
func execute(c *cobra.Command, args ...string) (string, error) {
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func TestConfigurationFromTheCommandLine(t *testing.T) {
	is := is.New(t)
	h := httptest.NewServer(standin.NewServer(standin.NewStore()).Handler())
	defer h.Close()
	at := "--platform=" + h.Listener.Addr().String()
	parapet := "../../examples/documents/parapet.yaml"
	dir := t.TempDir()
	keyFile := filepath.Join(dir, "ana.key")
	is.NoErr(os.WriteFile(keyFile, []byte("gk_ana\n"), 0o600))

	out, err := execute(configCommand(), "check", parapet)
	is.NoErr(err)
	is.True(strings.Contains(out, "valid"))

	_, err = execute(configCommand(), "apply", parapet, at, "--operator=ana")
	is.True(admin.Invalid.Has(err)) // neither a version comment nor --from
	out, err = execute(configCommand(), "apply", parapet, at, "--operator=ana", "--from=0", "--key-file="+keyFile)
	is.NoErr(err)
	is.True(strings.Contains(out, "accepted as version 1"))

	text, err := execute(configCommand(), "show", at)
	is.NoErr(err)
	file := filepath.Join(dir, "document.yaml")
	edited := strings.Replace(text, "rate: 6000", "rate: 0", 1)
	is.True(edited != text)
	is.NoErr(os.WriteFile(file, []byte(edited), 0o600))
	out, err = execute(configCommand(), "diff", file, at)
	is.NoErr(err)
	is.True(strings.Contains(out, "~ workspaces/care-homes rate: 6000 -> 0"))
	is.True(strings.Contains(out, "warning: workspaces/care-homes"))
	_, err = execute(configCommand(), "apply", file, at, "--operator=ben")
	is.True(admin.Invalid.Has(err)) // warnings not accepted
	_, err = execute(configCommand(), "apply", file, at, "--operator=ben", "--accept-warnings")
	is.NoErr(err)
	_, err = execute(configCommand(), "apply", file, at, "--operator=ana", "--accept-warnings")
	is.True(admin.Conflict.Has(err)) // the file is based on version 1
	is.True(strings.Contains(err.Error(), "by ben"))

	out, err = execute(auditCommand(), at, "--key-file="+keyFile)
	is.NoErr(err)
	is.True(strings.Contains(out, "version 2, from 1, by ben (command line)"))
	is.True(strings.Contains(out, "by ana (command line)"))
	is.True(strings.Contains(out, "signed with this key"))
}

func TestInvalidDocumentIsUsageError(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "document.yaml")
	is.NoErr(os.WriteFile(file, []byte("workspaces:\n- {id: a, rate: 1, burst: 1, weight: 0}\n- {id: a, rate: -1, burst: 1, weight: 1}\n"), 0o600))
	_, err := execute(configCommand(), "check", file)
	is.True(admin.Invalid.Has(err))
	for _, path := range []string{"workspaces[0].weight", "workspaces[1].id", "workspaces[1].rate"} {
		is.True(strings.Contains(err.Error(), path))
	}
	_, err = execute(configCommand(), "show")
	is.True(admin.Invalid.Has(err))
}
