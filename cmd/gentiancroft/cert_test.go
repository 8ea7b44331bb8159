package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/peer"
)

func TestCertWritesMaterialThatHostsCanLoad(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	c := certCommand()
	c.SetArgs([]string{"--dir", dir, "--host", "a", "--host", "b"})
	is.NoErr(c.Execute())
	for _, host := range []string{"a", "b"} {
		key := filepath.Join(dir, host+"-key.pem")
		_, err := peer.LoadMaterial(filepath.Join(dir, "authority.pem"), filepath.Join(dir, host+".pem"), key)
		is.NoErr(err)
		info, err := os.Stat(key)
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(keyMode))
	}
	c = certCommand()
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs([]string{"--dir", dir, "--host", "../a"})
	is.True(peer.MaterialError.Has(c.Execute()))
}
