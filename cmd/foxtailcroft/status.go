package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/base/sleep"
	"foxtailcroft/internal/oper/print"
)

// statusRefreshInterval is the time between two reads of the status with --watch.
const statusRefreshInterval = time.Second

// clearScreen is the escape sequence that moves the cursor to the top left and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

func statusCommand() *cobra.Command {
	var flags entryFlags
	var watch bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show models, endpoints and the revision in force on each node",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStatus(cmd, flags, watch)
		},
	}
	flags.register(cmd, print.Table)
	cmd.Flags().BoolVarP(&watch, "watch", "w", false, "refresh the status every second until interrupted")
	return cmd
}

func runStatus(cmd *cobra.Command, flags entryFlags, watch bool) error {
	client, out := flags.client(), cmd.OutOrStdout()
	for {
		cluster, err := client.Cluster(cmd.Context())
		if err != nil {
			return err
		}
		if watch && isTerminal(out) {
			if _, err := fmt.Fprint(out, clearScreen); err != nil {
				return err
			}
		}
		if err := print.Render(out, flags.output, cluster, print.Cluster(cluster)); err != nil || !watch {
			return err
		}
		if !sleep.For(cmd.Context(), statusRefreshInterval) {
			return nil
		}
	}
}

// isTerminal reports whether w is a character device, such as a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
