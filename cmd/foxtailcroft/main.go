// Command foxtailcroft serves rarely used language models and adapters: it runs each role of the system and the operators' commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/base/conf"
)

// The exit codes.
const (
	exitFailed  = 1
	exitSetting = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		stop()
		fmt.Fprintln(os.Stderr, "foxtailcroft:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode tells wrong settings from other failures.
func exitCode(err error) int {
	var wrong *conf.Wrong
	if errors.As(err, &wrong) || errors.Is(err, os.ErrNotExist) {
		return exitSetting
	}
	return exitFailed
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "foxtailcroft",
		Short:         "Serve rarely used language models and adapters",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(entryCommand(), frontCommand(), agentCommand(), standinCommand(), devCommand(),
		applyCommand(), getCommand(), deleteCommand(), watchCommand(), statusCommand(), auditCommand(), configCommand(), measureCommand(), causesCommand())
	return cmd
}
