// Command foxtailcroft serves rarely used language models and adapters: it runs every role of the system and the commands for operators.
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
	exitFailure         = 1
	exitInvalidSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		stop()
		fmt.Fprintln(os.Stderr, "foxtailcroft:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode distinguishes invalid settings, missing files and unreadable input from other failures.
func exitCode(err error) int {
	var invalid *conf.InvalidSetting
	var unreadable *unreadableInput
	if errors.As(err, &invalid) || errors.As(err, &unreadable) || errors.Is(err, os.ErrNotExist) {
		return exitInvalidSettings
	}
	return exitFailure
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "foxtailcroft",
		Short:         "Serve rarely used language models and adapters",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(entryCommand(), frontCommand(), agentCommand(), standinCommand(), devCommand(),
		applyCommand(), getCommand(), deleteCommand(), watchCommand(), statusCommand(), auditCommand(), configCommand(), measureCommand(), causesCommand(), digestCommand())
	return cmd
}
