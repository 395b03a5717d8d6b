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
	var t target
	var revision int64
	cmd := &cobra.Command{
		Use:               "watch KIND",
		Short:             "Show the changes of a kind as they come into force",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeKinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			return runWatch(cmd, t, args[0], revision)
		},
	}
	t.add(cmd, print.Table)
	cmd.Flags().Int64Var(&revision, "revision", 0, "show the changes after this revision; 0 begins with all resources")
	return cmd
}

func runWatch(cmd *cobra.Command, t target, name string, revision int64) error {
	kind, err := kinds.Parse(name)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	err = t.client().Watch(cmd.Context(), kind, revision, func(e admin.Event) error {
		if t.output == print.JSON {
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
