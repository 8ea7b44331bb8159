package main

import (
	"os"

	"github.com/spf13/cobra"

	"gentiancroft/internal/settings"
	"gentiancroft/internal/standin/fleet"
)

func standinCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "standin",
		Short:   "Run emulators of the platform, engines and plain services",
		Example: "  gentiancroft standin --settings examples/standins.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := os.ReadFile(file)
			if err != nil {
				return settings.Invalid.Wrap(err)
			}
			s, err := fleet.Parse(file, b)
			if err != nil {
				return err
			}
			return fleet.Run(c.Context(), s)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "YAML file with the emulators' settings")
	_ = c.MarkFlagRequired("settings")
	return c
}
