package main

import (
	"github.com/spf13/cobra"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/oper/print"
)

func getCommand() *cobra.Command {
	var t target
	cmd := &cobra.Command{
		Use:               "get KIND [NAME]",
		Short:             "Show the resources of a kind, or one with its status",
		Args:              cobra.RangeArgs(1, 2),
		ValidArgsFunction: completeKinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			return runGet(cmd, t, args)
		},
	}
	t.add(cmd, print.Table)
	return cmd
}

// completeKinds completes the kind argument in a shell.
func completeKinds(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var names []string
	for _, k := range kinds.All() {
		names = append(names, string(k))
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func runGet(cmd *cobra.Command, t target, args []string) error {
	kind, err := kinds.Parse(args[0])
	if err != nil {
		return err
	}
	if len(args) == 1 {
		list, err := t.client().List(cmd.Context(), kind)
		if err != nil {
			return err
		}
		return print.Value(cmd.OutOrStdout(), t.output, list, print.Resources(list.Items))
	}
	item, err := t.client().Get(cmd.Context(), kind, args[1])
	if err != nil {
		return err
	}
	return print.Value(cmd.OutOrStdout(), t.output, item, print.Item(item))
}
