package main

import (
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"gentiancroft/internal/load"
	"gentiancroft/internal/settings"
	"gentiancroft/platform/platformtest/soak"
)

func TestCommandsShowAnExampleAndTypeTheirErrors(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		command *cobra.Command
		args    []string
		class   func(error) bool
	}{
		{standinCommand(), []string{"--settings", "missing.yaml"}, settings.Invalid.Has},
		{loadCommand(), []string{"--target", "10.0.0.1:1", "--key", "k", "--adapter", "a"}, load.Invalid.Has},
		{loadCommand(), []string{"--output", "xml"}, load.Invalid.Has},
		{soakCommand(), []string{"--former", "no-such-commit"}, soak.FormerError.Has},
		{soakCommand(), []string{"--former", "no-such-commit", "--length", "10s"}, errUsage.Has},
	} {
		is.True(test.command.Example != "")
		test.command.SilenceErrors, test.command.SilenceUsage = true, true
		test.command.SetArgs(test.args)
		is.True(test.class(test.command.Execute()))
	}
}

func TestSampleDocumentIsValid(t *testing.T) {
	is := is.New(t)
	c := configCommand()
	c.SetArgs([]string{"check", "../../examples/document.yaml"})
	is.NoErr(c.Execute())
}
