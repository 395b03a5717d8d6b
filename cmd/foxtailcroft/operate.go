package main

import (
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/oper/remote"
)

// target are the flags of the commands that call an entry.
type target struct {
	entry  string
	actor  string
	output string
}

// defaultEntry is the entry that the commands call unless told otherwise.
const defaultEntry = "http://127.0.0.1:8080"

// add adds the flags to a command.
func (t *target) add(cmd *cobra.Command, output string) {
	entry := os.Getenv("FOXTAILCROFT_ENTRY")
	if entry == "" {
		entry = defaultEntry
	}
	cmd.Flags().StringVar(&t.entry, "entry", entry, "base URL of any entry (or FOXTAILCROFT_ENTRY)")
	cmd.Flags().StringVar(&t.actor, "as", operator(), "operator's name for the audit trail")
	if output != "" {
		cmd.Flags().StringVarP(&t.output, "output", "o", output, "table, json or yaml")
	}
}

func (t *target) client() *remote.Client {
	return remote.New(t.entry, t.actor)
}

// operator returns the name of the user who runs the command.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
