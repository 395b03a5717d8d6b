package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"foxtailcroft/internal/core/kinds"
	"foxtailcroft/internal/entry/admin"
	"foxtailcroft/internal/oper/print"
)

func watchCommand() *cobra.Command {
	var flags entryFlags
	var revision int64
	cmd := &cobra.Command{
		Use:               "watch KIND",
		Short:             "Stream the changes to resources of a kind as they come into force",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeKinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			return runWatch(cmd, flags, args[0], revision)
		},
	}
	flags.register(cmd, print.Table)
	cmd.Flags().Int64Var(&revision, "revision", 0, "show changes after this revision; 0 starts with all resources")
	return cmd
}

func runWatch(cmd *cobra.Command, flags entryFlags, name string, revision int64) error {
	kind, err := kinds.ParseKind(name)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	err = flags.client().Watch(cmd.Context(), kind, revision, func(e admin.Event) error {
		if flags.output == print.JSON {
			return json.NewEncoder(out).Encode(e)
		}
		if e.Type == "Bookmark" {
			return nil
		}
		_, err := fmt.Fprintf(out, "%d\t%s\t%s/%s\n", e.Revision, e.Type, kind, e.Name)
		return err
	})
	if cmd.Context().Err() != nil {
		return nil
	}
	return err
}
