package main

import (
	"github.com/spf13/cobra"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/oper/print"
)

func getCommand() *cobra.Command {
	var flags entryFlags
	cmd := &cobra.Command{
		Use:               "get KIND [NAME]",
		Short:             "List the resources of a kind, or show one with its status",
		Args:              cobra.RangeArgs(1, 2),
		ValidArgsFunction: completeKinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			return runGet(cmd, flags, args)
		},
	}
	flags.register(cmd, print.Table)
	return cmd
}

// completeKinds returns the shell completions of the KIND argument.
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

// runGet lists the resources of a kind, or shows one if its name is given.
func runGet(cmd *cobra.Command, flags entryFlags, args []string) error {
	kind, err := kinds.ParseKind(args[0])
	if err != nil {
		return err
	}
	if len(args) == 1 {
		list, err := flags.client().List(cmd.Context(), kind)
		if err != nil {
			return err
		}
		return print.Render(cmd.OutOrStdout(), flags.output, list, print.Resources(list.Items))
	}
	item, err := flags.client().Get(cmd.Context(), kind, args[1])
	if err != nil {
		return err
	}
	return print.Render(cmd.OutOrStdout(), flags.output, item, print.Item(item))
}
