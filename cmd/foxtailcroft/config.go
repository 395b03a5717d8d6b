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
	cmd := &cobra.Command{Use: "config", Short: "Check settings and resource files, or print examples"}
	cmd.AddCommand(configCheck(), configExample())
	return cmd
}

func configCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check files of resources, of an entry's or agent's settings, or of the platform's settings",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, file := range args {
				what, err := checkFile(file)
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid %s\n", file, what); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// checkFile tells by its fields what a file is, and checks it as that.
func checkFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	switch {
	case json.Valid(data):
		_, err := platform.DecodeSettings(file, data)
		return "platform settings", err
	case hasField(data, "Kind"):
		list, err := conf.Resources(file, data)
		return fmt.Sprintf("file of %d resources", len(list)), err
	case hasField(data, "Engine"), hasField(data, "Service"):
		_, err := conf.ReadAgent(file)
		return "agent settings", err
	}
	_, err = conf.ReadEntry(file)
	return "entry settings", err
}

// hasField reports whether a line of the document's top level begins with the field.
func hasField(data []byte, name string) bool {
	field := []byte(name + ":")
	return bytes.HasPrefix(data, field) || bytes.Contains(data, append([]byte("\n"), field...))
}

func configExample() *cobra.Command {
	return &cobra.Command{
		Use:       "example ROLE",
		Short:     "Print example settings of a role",
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
