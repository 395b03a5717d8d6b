package main

import (
	"net"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailcroft/internal/base/conf"
	"foxtailcroft/internal/base/tree"
	"foxtailcroft/internal/core/plan"
	"foxtailcroft/internal/node/entry"
)

func entryCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "entry --config FILE",
		Short: "Run an entry, which serves the caller and operator APIs",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEntry(cmd, file)
		},
	}
	configFlag(cmd, &file)
	return cmd
}

// configFlag adds the required flag for the path of a settings file.
func configFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "config", "", "path of the settings file")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
}

func runEntry(cmd *cobra.Command, file string) error {
	settings, err := conf.ReadEntry(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.Requests.MemoryBytes * softMemoryLimitPercent / 100)
	node := plan.Node{Name: settings.Node.Name, Role: plan.Entry, Region: settings.Node.Region, Domain: settings.Node.Domain}
	o, err := memberOptions(node, settings.Listen.Peers, settings.Platform, settings.Log.Level)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", settings.Listen.Callers)
	if err != nil {
		return eris.Wrap(err, "caller listener")
	}
	e, closeEntry := entry.New(settings, o)
	return supervise(cmd.Context(), o.Log, func(t *tree.Supervisor) error {
		t.OnClose(closeEntry)
		e.Start(t, callers)
		return nil
	}, e.Drain)
}
