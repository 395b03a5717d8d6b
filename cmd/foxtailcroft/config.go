package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/platform"
)

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Validate settings, resource files and platform documents, or print example settings"}
	cmd.AddCommand(configCheckCommand(), configDiffCommand(), configExampleCommand())
	return cmd
}

func configCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate resource files and the settings files of entries, agents and the platform",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, file := range args {
				contents, err := checkFile(file)
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid %s\n", file, contents); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// checkFile infers the type of a file from its fields, validates it and returns a description of the type.
func checkFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	switch {
	case json.Valid(data):
		_, err := platform.DecodeSettings(file, data)
		return "platform settings", err
	case hasTopLevelField(data, "Kind"):
		list, err := conf.DecodeResources(file, data)
		return fmt.Sprintf("file of %d resources", len(list)), err
	case hasTopLevelField(data, "Engine"), hasTopLevelField(data, "Service"):
		_, err := conf.ReadAgent(file)
		return "agent settings", err
	}
	_, err = conf.ReadEntry(file)
	return "entry settings", err
}

// hasTopLevelField reports whether a YAML document has the named field at its top level.
func hasTopLevelField(data []byte, name string) bool {
	field := []byte(name + ":")
	return bytes.HasPrefix(data, field) || bytes.Contains(data, append([]byte("\n"), field...))
}

func configExampleCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "example ROLE",
		Short:     "Print example settings for a role",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: conf.ExampleRoles(),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := conf.Example(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), text)
			return err
		},
	}
}
