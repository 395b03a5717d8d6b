package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	sample "foxtailcroft/examples"
	"foxtailcroft/internal/base/logs"
	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/node/check"
	"foxtailcroft/internal/node/local"
	"foxtailcroft/internal/oper/remote"
)

// readyTimeout bounds the time to apply the example resources and for them to come into force.
const readyTimeout = 60 * time.Second

func devCommand() *cobra.Command {
	var runChecks bool
	var level string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a complete deployment with stand-ins in one process on the loopback interface",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDev(cmd, runChecks, level)
		},
	}
	cmd.Flags().BoolVar(&runChecks, "check", false, "send the example requests, check their outcomes and exit")
	cmd.Flags().StringVar(&level, "log", "error", "log level: debug, info, warn or error")
	return cmd
}

func runDev(cmd *cobra.Command, runChecks bool, level string) error {
	log, err := logs.New(os.Stderr, level, "dev")
	if err != nil {
		return eris.Wrap(err, "logger")
	}
	resources, err := check.ReadResources(sample.Files)
	if err != nil {
		return err
	}
	d, closeDev, err := local.Start(cmd.Context(), local.DefaultSettings(), log)
	if err != nil {
		return eris.Wrap(err, "deployment")
	}
	defer closeDev()
	client := remote.New(d.EntryURLs[0], "dev")
	if err := applyExamples(cmd.Context(), client, resources); err != nil {
		return err
	}
	if runChecks {
		return checkExampleRequests(cmd.Context(), cmd.OutOrStdout(), client, d)
	}
	if err := printURLs(cmd.OutOrStdout(), d); err != nil {
		return err
	}
	select {
	case <-cmd.Context().Done():
		return nil
	case failed := <-d.Failed():
		return failed
	}
}

// applyExamples applies the example resources and waits until they are in force.
func applyExamples(ctx context.Context, client *remote.Client, resources []kinds.Resource) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := check.ApplyResources(ctx, client, resources); err != nil {
		return eris.Wrap(err, "example resources")
	}
	return check.WaitReady(ctx, client, resources)
}

// checkExampleRequests sends the example requests and checks their outcomes.
func checkExampleRequests(ctx context.Context, out io.Writer, client *remote.Client, d *local.Deployment) error {
	requests, err := check.ReadRequests(sample.Files)
	if err != nil {
		return err
	}
	return check.Run(ctx, out, client, d.EntryURLs, requests, func(service, body string) int {
		if runLog := d.RunLogs[service]; runLog != nil {
			return runLog.Runs(body)
		}
		return 0
	})
}

// printURLs writes the base URLs of the entries and of the platform stand-in.
func printURLs(out io.Writer, d *local.Deployment) error {
	for i, e := range d.EntryURLs {
		if _, err := fmt.Fprintf(out, "entry-%d  %s\n", i+1, e); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "platform %s\n\ntry: foxtailcroft status --entry %s\n", d.PlatformURL, d.EntryURLs[0])
	return err
}
