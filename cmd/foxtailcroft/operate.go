package main

import (
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/oper/remote"
)

// entryFlags holds the flags of the commands that call the operator API of an entry.
type entryFlags struct {
	entry  string
	actor  string
	output string
}

// defaultEntry is the base URL used if neither --entry nor FOXTAILCROFT_ENTRY is set.
const defaultEntry = "http://127.0.0.1:8080"

// register adds the flags to a command. The output flag is left out if its default, output, is empty.
func (t *entryFlags) register(cmd *cobra.Command, output string) {
	entry := os.Getenv("FOXTAILCROFT_ENTRY")
	if entry == "" {
		entry = defaultEntry
	}
	cmd.Flags().StringVar(&t.entry, "entry", entry, "base URL of any entry (or FOXTAILCROFT_ENTRY)")
	cmd.Flags().StringVar(&t.actor, "as", currentUserName(), "operator name recorded in the audit trail")
	if output != "" {
		cmd.Flags().StringVarP(&t.output, "output", "o", output, "table, json or yaml")
	}
}

func (t *entryFlags) client() *remote.Client {
	return remote.New(t.entry, t.actor)
}

// currentUserName returns the name of the user who runs the command, or "unknown" if the lookup fails.
func currentUserName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
