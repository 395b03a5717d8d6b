package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/oper/remote"
)

func deleteCommand() *cobra.Command {
	var flags entryFlags
	var revision int64
	var dryRun bool
	cmd := &cobra.Command{
		Use:               "delete KIND NAME",
		Short:             "Delete a resource",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeKinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, err := kinds.ParseKind(args[0])
			if err != nil {
				return err
			}
			w := remote.WriteOptions{DryRun: dryRun}
			if cmd.Flags().Changed("revision") {
				w.IfRevision = &revision
			}
			if err := flags.client().Delete(cmd.Context(), kind, args[1], w); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s deleted\n", kinds.ResourceKey(kind, args[1]))
			return err
		},
	}
	flags.register(cmd, "")
	cmd.Flags().Int64Var(&revision, "revision", 0, "delete only if the resource is at this revision")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "validate the deletion without carrying it out")
	return cmd
}
