package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/base/pause"
	"foxtailcroft/internal/oper/print"
)

// refreshEvery is how often a watched status is read again.
const refreshEvery = time.Second

// clearScreen moves a terminal's cursor home and clears what is below.
const clearScreen = "\x1b[H\x1b[2J"

func statusCommand() *cobra.Command {
	var t target
	var follow bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show models, endpoints and the revisions in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStatus(cmd, t, follow)
		},
	}
	t.add(cmd, print.Table)
	cmd.Flags().BoolVarP(&follow, "watch", "w", false, "show it again every second until interrupted")
	return cmd
}

func runStatus(cmd *cobra.Command, t target, follow bool) error {
	client, out := t.client(), cmd.OutOrStdout()
	for {
		cluster, err := client.Cluster(cmd.Context())
		if err != nil {
			return err
		}
		if follow && isTerminal(out) {
			if _, err := fmt.Fprint(out, clearScreen); err != nil {
				return err
			}
		}
		if err := print.Value(out, t.output, cluster, print.Cluster(cluster)); err != nil || !follow {
			return err
		}
		if !pause.For(cmd.Context(), refreshEvery) {
			return nil
		}
	}
}

// isTerminal reports whether a person looks at the output.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
