package main

import (
	"net"

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
		Short: "Run an entry: the callers' and operators' APIs",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEntry(cmd, file)
		},
	}
	configFlag(cmd, &file)
	return cmd
}

// configFlag adds the flag that names a settings file.
func configFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "config", "", "settings file")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
}

func runEntry(cmd *cobra.Command, file string) error {
	set, err := conf.ReadEntry(file)
	if err != nil {
		return err
	}
	node := plan.Node{Name: set.Node.Name, Role: plan.Entry, Region: set.Node.Region, Domain: set.Node.Domain}
	o, err := memberOptions(node, set.Listen.Peers, set.Platform, set.Log.Level)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", set.Listen.Callers)
	if err != nil {
		return eris.Wrap(err, "caller listener")
	}
	e, closeEntry := entry.New(set, o)
	return supervise(cmd.Context(), o.Log, func(t *tree.Tree) error {
		t.OnClose(closeEntry)
		e.Start(t, callers)
		return nil
	}, e.Drain)
}
